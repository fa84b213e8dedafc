//! Calls a target over HTTP/1.1.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use flume::Sender;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::TRANSFER_ENCODING;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::HeaderField;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::port::target::CallGuard;
use sardinepath_core::port::target::TargetEvent;
use sardinepath_core::port::target::TargetPort;
use sardinepath_core::port::target::TargetStatus;
use serde_json::Value;
use serde_json::json;

use crate::runtime::Spawner;
use crate::runtime::timeout;
use crate::target::body::EventSplitter;
use crate::target::body::body_metadata;
use crate::web::is_final;

/// Longest time between two events of a stream, or two parts of another response.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for loading weights. It has to fit into the 32 s that a roll-out may take.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Header that names the request in a call and in the response to it.
const REQUEST_ID: &str = "x-request-id";

/// Maximum size of an unfinished server-sent event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Response headers that are forwarded to the caller.
const FORWARDED_HEADERS: [&str; 5] = [
    "cache-control",
    "content-type",
    "etag",
    "location",
    "retry-after",
];

/// HTTP client of one target.
#[derive(Clone, Debug)]
pub struct HttpTarget {
    spawner: Spawner,
    address: SocketAddr,
    /// Client that opens a connection for each request. On a connection that was used before, the
    /// late second copy of an answer could be taken for the answer to the request, and a target could
    /// close it while the request is on its way.
    client: Client<HttpConnector, Full<Bytes>>,
    /// Longest time between two events of a stream, or two parts of another response.
    read_timeout: Duration,
}

/// Channel for the events of a call. The call stops once the receiver is dropped.
type EventSender = Sender<TargetEvent>;

impl HttpTarget {
    /// Creates a client for the target at `address`. No connection is opened before the first call.
    pub fn new(spawner: Spawner, address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            spawner,
            address,
            client,
            read_timeout: READ_TIMEOUT,
        }
    }

    /// Sets the longest time between two events of a stream, or two parts of another response.
    pub fn with_read_timeout(self, read_timeout: Duration) -> Self {
        Self {
            read_timeout,
            ..self
        }
    }

    /// Runs a call to its end and sends its events to the channel.
    async fn run(self, call: Call, events: EventSender) {
        let forwarded = timeout(call.deadline, self.forward(&call, &events)).await;
        let expired = Failure::from(ErrorKind::DeadlinePassed);
        if let Err(failure) = forwarded.unwrap_or(Err(expired)) {
            // The channel is closed if the call was cancelled.
            let _ = events.send_async(TargetEvent::Failed(failure)).await;
        }
    }

    async fn forward(&self, call: &Call, events: &EventSender) -> Result<(), Failure> {
        let request = self.build_request(call)?;
        let response = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                Failure::from(ErrorKind::Unreachable)
            } else {
                Failure::from(ErrorKind::TargetFailed)
            }
        })?;
        let (head, body) = response.into_parts();
        check_head(&head, call)?;
        let streamed = call.streamed && is_event_stream(&head.headers);
        if !streamed && !is_framed(&head, &body) {
            return Err(Failure::from(ErrorKind::Truncated));
        }
        let head = TargetEvent::Head {
            status: head.status.as_u16(),
            fields: forwarded_headers(&head.headers),
        };
        send(events, head).await?;
        if streamed {
            forward_stream(body, events, self.read_timeout).await
        } else {
            forward_body(body, events, self.read_timeout).await
        }
    }

    fn build_request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut builder = Request::builder().method(&*call.method).uri(uri);
        for field in call.fields.iter() {
            builder = builder.header(&*field.name, &*field.value);
        }
        builder
            .header(REQUEST_ID, call.request.to_string())
            .header("x-priority", priority_name(call))
            .body(Full::new(Bytes::copy_from_slice(&call.body)))
            .map_err(|_| Failure::from(ErrorKind::BadRequest))
    }

    async fn get_json(&self, path: String) -> Result<Value, Failure> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::get(uri).body(Full::default());
        self.send_json(request, STATUS_TIMEOUT).await
    }

    /// Sends a request and returns the JSON body of a successful response.
    async fn send_json(
        &self,
        request: http::Result<Request<Full<Bytes>>>,
        limit: Duration,
    ) -> Result<Value, Failure> {
        let request = request.map_err(|_| Failure::from(ErrorKind::Internal))?;
        let response = async {
            let response = self.client.request(request).await.ok()?;
            // The late second copy of the response to a call names that call.
            let own = !response.headers().contains_key(REQUEST_ID);
            let success = own && response.status().is_success();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            success
                .then(|| serde_json::from_slice(&body).ok())
                .flatten()
        };
        timeout(limit, response)
            .await
            .ok_or(Failure::from(ErrorKind::TargetSilent))?
            .ok_or(Failure::from(ErrorKind::TargetFailed))
    }
}

impl TargetPort for HttpTarget {
    fn call(&self, call: Call, events: EventSender) -> Box<dyn CallGuard> {
        Box::new(self.spawner.spawn(self.clone().run(call, events)))
    }

    fn status(&self, after: u64) -> Result<TargetStatus, Failure> {
        let value = self
            .spawner
            .block_on(self.get_json(format!("/status?after={after}")))?;
        Ok(parse_status(&value))
    }

    fn version(&self, reply: Sender<Option<WeightVersion>>) -> Box<dyn CallGuard> {
        let target = self.clone();
        Box::new(self.spawner.spawn(async move {
            let response = target.get_json(format!("/status?after={}", u64::MAX)).await;
            let version = response
                .ok()
                .and_then(|value| value.get("version")?.as_u64());
            // The channel is closed if the query was cancelled.
            let _ = reply.send(version.map(WeightVersion));
        }))
    }

    fn load(&self, model: &ModelName, version: WeightVersion, fence: Fence) -> Result<(), Failure> {
        let body = json!({"model": model, "version": version, "fence": fence}).to_string();
        let uri = format!("http://{}/orders/load", self.address);
        let request = Request::post(uri).body(Full::new(Bytes::from(body)));
        self.spawner
            .block_on(self.send_json(request, LOAD_TIMEOUT))
            .map(|_| ())
    }
}

/// Returns an error if the response belongs to another request, is no final one or says that the call
/// did not run.
fn check_head(head: &Parts, call: &Call) -> Result<(), Failure> {
    if !is_final(head.status) {
        log::error!(
            "the target responded to request {} with status {}",
            call.request,
            head.status.as_u16()
        );
        return Err(Failure::from(ErrorKind::TargetFailed));
    }
    if let Some(id) = head.headers.get(REQUEST_ID)
        && id.as_bytes() != call.request.to_string().as_bytes()
    {
        log::error!(
            "the target responded to request {} with another id",
            call.request
        );
        return Err(Failure::from(ErrorKind::TargetFailed));
    }
    let not_run = head.headers.get("x-not-run").is_some_and(|v| v == "1");
    if head.status == StatusCode::SERVICE_UNAVAILABLE && not_run {
        return Err(Failure::from(ErrorKind::TargetBusy));
    }
    Ok(())
}

/// Returns `true` if the body is a stream of server-sent events. An error response to a streamed
/// call usually is not.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Returns `true` if the framing of the body distinguishes its end from a broken connection.
fn is_framed(head: &Parts, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING)
}

/// Forwards a stream of server-sent events, one complete event at a time.
async fn forward_stream(
    mut body: Incoming,
    events: &EventSender,
    read_timeout: Duration,
) -> Result<(), Failure> {
    let mut splitter = EventSplitter::default();
    // Bytes that complete no event are no progress.
    let mut stalled_at = Instant::now() + read_timeout;
    while let Some(data) = next_data(&mut body, stalled_at).await? {
        for (bytes, metadata) in splitter.push(&data) {
            stalled_at = Instant::now() + read_timeout;
            let event = TargetEvent::Chunk {
                bytes,
                versions: metadata.versions,
                tokens: metadata.tokens,
            };
            send(events, event).await?;
        }
        if splitter.buffered() > MAX_EVENT_BYTES {
            return Err(Failure::from(ErrorKind::AnswerTooLarge));
        }
    }
    if !splitter.is_complete() {
        return Err(Failure::from(ErrorKind::Truncated));
    }
    send(events, TargetEvent::End).await
}

/// Reads a body whose framing shows its end and forwards it as one chunk.
async fn forward_body(
    mut body: Incoming,
    events: &EventSender,
    read_timeout: Duration,
) -> Result<(), Failure> {
    let mut bytes = Vec::new();
    while let Some(data) = next_data(&mut body, Instant::now() + read_timeout).await? {
        bytes.extend_from_slice(&data);
        if bytes.len() > 8 * MAX_EVENT_BYTES {
            return Err(Failure::from(ErrorKind::AnswerTooLarge));
        }
    }
    let metadata = body_metadata(&bytes);
    let event = TargetEvent::Chunk {
        bytes,
        versions: metadata.versions,
        tokens: metadata.tokens,
    };
    send(events, event).await?;
    send(events, TargetEvent::End).await
}

/// Returns the next data frame, or `None` at the end of the body. Fails if there is none until then.
async fn next_data(body: &mut Incoming, until: Instant) -> Result<Option<Bytes>, Failure> {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        match timeout(left, body.frame()).await {
            None => return Err(Failure::from(ErrorKind::TargetSilent)),
            Some(None) => return Ok(None),
            Some(Some(Err(_))) => return Err(Failure::from(ErrorKind::Truncated)),
            Some(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

async fn send(events: &EventSender, event: TargetEvent) -> Result<(), Failure> {
    events
        .send_async(event)
        .await
        .map_err(|_| Failure::from(ErrorKind::Cancelled))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| FORWARDED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| HeaderField {
            name: Arc::from(name.as_str()),
            value: Arc::from(value.as_bytes()),
        })
        .collect()
}

fn priority_name(call: &Call) -> &'static str {
    use sardinepath_core::domain::declare::Priority;
    match call.priority {
        Priority::Training => "training",
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
    }
}

fn parse_status(value: &Value) -> TargetStatus {
    let number = |name: &str| value.get(name).and_then(Value::as_u64).unwrap_or(0);
    let count = |name: &str| u32::try_from(number(name)).unwrap_or(u32::MAX);
    let list = |name: &str| {
        let items = value.get(name).and_then(Value::as_array);
        items.map_or_else(Vec::new, |items| {
            items.iter().filter_map(Value::as_u64).collect()
        })
    };
    TargetStatus {
        version: WeightVersion(number("version")),
        running: count("running"),
        queued: count("queued"),
        capacity: count("capacity"),
        sequence: number("sequence"),
        cached: list("cached"),
        evicted: list("evicted"),
        gap: value.get("gap").and_then(Value::as_bool) == Some(true),
    }
}

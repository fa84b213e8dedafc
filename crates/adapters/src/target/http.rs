//! Calls a target over HTTP with pooled connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use crate::runtime::within;
use crate::target::body::EventSplitter;
use crate::target::body::facts_of_whole;

/// Longest silence of a target during an answer.
const PROGRESS_LIMIT: Duration = Duration::from_secs(30);

/// Time for a status answer.
const STATUS_LIMIT: Duration = Duration::from_secs(2);

/// Time for a weight load, which the roll-out's bound of 32 s has to include.
const LOAD_LIMIT: Duration = Duration::from_secs(30);

/// Largest unfinished server-sent event in bytes.
const EVENT_MOST: usize = 1 << 20;

/// Header fields of an answer that go back to the caller.
const RETURNED: [&str; 5] = [
    "cache-control",
    "content-type",
    "etag",
    "location",
    "retry-after",
];

/// Access to one target.
#[derive(Clone, Debug)]
pub struct HttpTarget {
    spawner: Spawner,
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    /// Opens a connection for each call. A target may close an idle connection at any moment,
    /// and a call that was written to it by then may have run.
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

/// Sends events, and stops the call once nobody takes them.
type Sink = Sender<TargetEvent>;

impl HttpTarget {
    /// Creates access to the target at an address.
    pub fn new(spawner: Spawner, address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector.clone());
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            spawner,
            address,
            client,
            unpooled,
        }
    }

    /// Runs a call to its end and passes its events on.
    async fn run(self, call: Call, sink: Sink) {
        let forwarded = within(call.deadline, self.forward(&call, &sink)).await;
        let passed = Failure::from(ErrorKind::DeadlinePassed);
        if let Err(failure) = forwarded.unwrap_or(Err(passed)) {
            // A closed channel means that the call was abandoned.
            let _ = sink.send_async(TargetEvent::Failed(failure)).await;
        }
    }

    async fn forward(&self, call: &Call, sink: &Sink) -> Result<(), Failure> {
        let request = self.request(call)?;
        let client = if call.idempotent {
            &self.client
        } else {
            &self.unpooled
        };
        let response = client.request(request).await.map_err(|e| {
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
            fields: returned(&head.headers),
        };
        send(sink, head).await?;
        if streamed {
            stream(body, sink).await
        } else {
            whole(body, sink).await
        }
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut builder = Request::builder().method(&*call.method).uri(uri);
        for field in call.fields.iter() {
            builder = builder.header(&*field.name, &*field.value);
        }
        builder
            .header("x-request-id", call.request.to_string())
            .header("x-priority", priority(call))
            .body(Full::new(Bytes::copy_from_slice(&call.body)))
            .map_err(|_| Failure::from(ErrorKind::BadRequest))
    }

    async fn get(&self, path: String) -> Result<Value, Failure> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::get(uri).body(Full::default());
        self.json(request, STATUS_LIMIT).await
    }

    async fn json(
        &self,
        request: http::Result<Request<Full<Bytes>>>,
        limit: Duration,
    ) -> Result<Value, Failure> {
        let request = request.map_err(|_| Failure::from(ErrorKind::Internal))?;
        let answer = async {
            let response = self.client.request(request).await.ok()?;
            let fine = response.status().is_success();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            fine.then(|| serde_json::from_slice(&body).ok()).flatten()
        };
        within(limit, answer)
            .await
            .ok_or(Failure::from(ErrorKind::TargetSilent))?
            .ok_or(Failure::from(ErrorKind::TargetFailed))
    }
}

impl TargetPort for HttpTarget {
    fn call(&self, call: Call, events: Sink) -> Box<dyn CallGuard> {
        Box::new(self.spawner.spawn(self.clone().run(call, events)))
    }

    fn status(&self, after: u64) -> Result<TargetStatus, Failure> {
        let value = self
            .spawner
            .block_on(self.get(format!("/status?after={after}")))?;
        Ok(status(&value))
    }

    fn version(&self, reply: Sender<Option<WeightVersion>>) -> Box<dyn CallGuard> {
        let target = self.clone();
        Box::new(self.spawner.spawn(async move {
            let answer = target.get(format!("/status?after={}", u64::MAX)).await;
            let version = answer.ok().and_then(|value| value.get("version")?.as_u64());
            // A closed channel means that the question was given up.
            let _ = reply.send(version.map(WeightVersion));
        }))
    }

    fn load(&self, model: &ModelName, version: WeightVersion, fence: Fence) -> Result<(), Failure> {
        let body = json!({"model": model, "version": version, "fence": fence}).to_string();
        let uri = format!("http://{}/orders/load", self.address);
        let request = Request::post(uri).body(Full::new(Bytes::from(body)));
        self.spawner
            .block_on(self.json(request, LOAD_LIMIT))
            .map(|_| ())
    }
}

/// Refuses an answer that is none to this call, or that says that the call was not started.
fn check_head(head: &Parts, call: &Call) -> Result<(), Failure> {
    if let Some(id) = head.headers.get("x-request-id")
        && id.as_bytes() != call.request.to_string().as_bytes()
    {
        log::error!(
            "the target answered request {} with another id",
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

/// Returns true if the body is a stream of server-sent events. An error answer of a streaming
/// call usually is not.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Returns true if the end of the body can be told from a broken connection.
fn is_framed(head: &Parts, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING)
}

/// Passes on a stream of server-sent events, whole events at a time.
async fn stream(mut body: Incoming, sink: &Sink) -> Result<(), Failure> {
    let mut splitter = EventSplitter::default();
    while let Some(part) = next_part(&mut body).await? {
        for (bytes, facts) in splitter.push(&part) {
            let event = TargetEvent::Chunk {
                bytes,
                versions: facts.naming,
                tokens: facts.tokens,
            };
            send(sink, event).await?;
        }
        if splitter.buffered() > EVENT_MOST {
            return Err(Failure::from(ErrorKind::AnswerTooLarge));
        }
    }
    if !splitter.is_whole() {
        return Err(Failure::from(ErrorKind::Truncated));
    }
    send(sink, TargetEvent::End).await
}

/// Passes on a body that is complete by its length.
async fn whole(mut body: Incoming, sink: &Sink) -> Result<(), Failure> {
    let mut bytes = Vec::new();
    while let Some(part) = next_part(&mut body).await? {
        bytes.extend_from_slice(&part);
        if bytes.len() > 8 * EVENT_MOST {
            return Err(Failure::from(ErrorKind::AnswerTooLarge));
        }
    }
    let facts = facts_of_whole(&bytes);
    let event = TargetEvent::Chunk {
        bytes,
        versions: facts.naming,
        tokens: facts.tokens,
    };
    send(sink, event).await?;
    send(sink, TargetEvent::End).await
}

async fn next_part(body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
    loop {
        match within(PROGRESS_LIMIT, body.frame()).await {
            None => return Err(Failure::from(ErrorKind::TargetSilent)),
            Some(None) => return Ok(None),
            Some(Some(Err(_))) => return Err(Failure::from(ErrorKind::Truncated)),
            Some(Some(Ok(frame))) => {
                if let Ok(part) = frame.into_data() {
                    return Ok(Some(part));
                }
            }
        }
    }
}

async fn send(sink: &Sink, event: TargetEvent) -> Result<(), Failure> {
    sink.send_async(event)
        .await
        .map_err(|_| Failure::from(ErrorKind::Cancelled))
}

fn returned(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| RETURNED.contains(&name.as_str()))
        .map(|(name, value)| HeaderField {
            name: Arc::from(name.as_str()),
            value: Arc::from(value.as_bytes()),
        })
        .collect()
}

fn priority(call: &Call) -> &'static str {
    use sardinepath_core::domain::declare::Priority;
    match call.priority {
        Priority::Training => "training",
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
    }
}

fn status(value: &Value) -> TargetStatus {
    let number = |name: &str| value.get(name).and_then(Value::as_u64).unwrap_or(0);
    let small = |name: &str| u32::try_from(number(name)).unwrap_or(u32::MAX);
    let list = |name: &str| {
        let items = value.get(name).and_then(Value::as_array);
        items.map_or_else(Vec::new, |items| {
            items.iter().filter_map(Value::as_u64).collect()
        })
    };
    TargetStatus {
        version: WeightVersion(number("version")),
        running: small("running"),
        queued: small("queued"),
        capacity: small("capacity"),
        sequence: number("sequence"),
        cached: list("cached"),
        evicted: list("evicted"),
        gap: value.get("gap").and_then(Value::as_bool) == Some(true),
    }
}

//! Calls a target over HTTP with pooled connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::Field;
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
use crate::target::body::facts;

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
}

/// Sends events, and stops the call once nobody takes them.
type Sink = Sender<TargetEvent>;

impl HttpTarget {
    /// Creates access to the target at an address.
    pub fn new(spawner: Spawner, address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            spawner,
            address,
            client,
        }
    }

    /// Runs a call to its end and passes its events on.
    async fn run(self, call: Call, sink: Sink) {
        if let Err(failure) = self.forward(&call, &sink).await {
            // A closed channel means that the call was abandoned.
            let _ = sink.send_async(TargetEvent::Failed(failure)).await;
        }
    }

    async fn forward(&self, call: &Call, sink: &Sink) -> Result<(), Failure> {
        let request = self.request(call)?;
        let response = within(call.deadline, self.client.request(request))
            .await
            .ok_or(Failure::from(ErrorKind::DeadlinePassed))?
            .map_err(|e| {
                if e.is_connect() {
                    Failure::from(ErrorKind::Unreachable)
                } else {
                    Failure::from(ErrorKind::TargetFailed)
                }
            })?;
        let (head, body) = response.into_parts();
        let head = TargetEvent::Head {
            status: head.status.as_u16(),
            fields: returned(&head.headers),
        };
        send(sink, head).await?;
        if call.streamed {
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

    fn load(&self, model: &ModelName, version: WeightVersion, fence: Fence) -> Result<(), Failure> {
        let body = json!({"model": model, "version": version, "fence": fence}).to_string();
        let uri = format!("http://{}/orders/load", self.address);
        let request = Request::post(uri).body(Full::new(Bytes::from(body)));
        self.spawner
            .block_on(self.json(request, LOAD_LIMIT))
            .map(|_| ())
    }
}

/// Passes on a stream of server-sent events, whole events at a time.
async fn stream(mut body: Incoming, sink: &Sink) -> Result<(), Failure> {
    let mut splitter = EventSplitter::default();
    while let Some(part) = next_part(&mut body).await? {
        for (bytes, facts) in splitter.push(&part) {
            let event = TargetEvent::Chunk {
                bytes,
                version: facts.version,
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
    send(sink, TargetEvent::Whole).await
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
    let facts = facts(&bytes);
    let event = TargetEvent::Chunk {
        bytes,
        version: facts.version,
        tokens: facts.tokens,
    };
    send(sink, event).await?;
    send(sink, TargetEvent::Whole).await
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

fn returned(headers: &http::HeaderMap) -> Vec<Field> {
    headers
        .iter()
        .filter(|(name, _)| RETURNED.contains(&name.as_str()))
        .map(|(name, value)| Field {
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

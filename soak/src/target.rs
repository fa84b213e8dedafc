//! Stand-in of a target: model replica and plain service in one, with books of what it ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use sardinepath_adapters::web::Body;
use sardinepath_platform::names;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::body;
use crate::store::StoreStandIn;
use crate::store::answer;

/// Name of the only model.
pub const MODEL: &str = "m0";

/// Events of each generation.
pub const EVENTS: u64 = 12;

/// Time of a load of weights.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// What a target did.
#[derive(Clone, Debug, Default)]
pub struct Books {
    /// Times at which requests began to run, by id.
    pub runs: BTreeMap<String, Vec<Instant>>,
    /// Workspace of each request.
    pub workspaces: BTreeMap<String, String>,
    /// Headers that must not arrive.
    pub leaks: Vec<String>,
    /// Holder and fencing token of each accepted order, in their order.
    pub orders: Vec<(String, u64)>,
}

/// A target.
#[derive(Debug)]
pub struct TargetStandIn {
    name: String,
    store: Arc<StoreStandIn>,
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    books: Books,
    version: u64,
    accepted: u64,
    fence: u64,
    busy: bool,
    /// Time between two events.
    pace: Duration,
    leaving: bool,
}

impl TargetStandIn {
    /// Starts a target and registers it under a pool.
    pub async fn start(
        store: Arc<StoreStandIn>,
        name: &str,
        pool: &str,
    ) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Arc::new(Self {
            name: name.to_owned(),
            store,
            address: listener.local_addr()?,
            state: Mutex::new(State {
                books: Books::default(),
                version: 1,
                accepted: 0,
                fence: 0,
                busy: false,
                pace: Duration::from_millis(15),
                leaving: false,
            }),
        });
        target.register(pool);
        let (served, pool) = (target.clone(), pool.to_owned());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(connection(served.clone(), stream, pool.clone()));
            }
        });
        Ok(target)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what the target did.
    pub fn books(&self) -> Books {
        self.lock().books.clone()
    }

    /// Sets the time between two events.
    pub fn set_pace(&self, pace: Duration) {
        self.lock().pace = pace;
    }

    /// Says that the target takes no new requests.
    pub fn leave(&self, pool: &str) {
        self.lock().leaving = true;
        self.register(pool);
    }

    fn register(&self, pool: &str) {
        let state = self.lock();
        let spec = json!({
            "service": pool, "address": self.address.to_string(), "zone": "z", "version": "v1",
            "slots": 8, "state": if state.leaving { "draining" } else { "ready" },
            "coldRemainingMs": 0, "stage": "both", "sequence": 1, "born": 1,
            "models": [{ "name": MODEL, "version": state.version, "adapters": [] }],
        });
        drop(state);
        self.store.put("servers", &self.name, &spec);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a request began to run.
    fn begin(&self, headers: &HeaderMap) -> String {
        let id = text(headers, names::REQUEST_ID).unwrap_or_default();
        let mut state = self.lock();
        state
            .books
            .runs
            .entry(id.clone())
            .or_default()
            .push(Instant::now());
        if let Some(workspace) = text(headers, names::WORKSPACE) {
            state.books.workspaces.insert(id.clone(), workspace);
        }
        if headers.contains_key(names::KEY) {
            state.books.leaks.push(id.clone());
        }
        id
    }

    async fn order(self: Arc<Self>, body: &Value, pool: String) -> Response<Body> {
        let fence = body["fencingToken"].as_u64().unwrap_or(0);
        let version = body["version"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            if fence < state.fence {
                return answer(StatusCode::PRECONDITION_FAILED, &json!({}));
            }
            state.fence = fence;
            if state.version >= version {
                return answer(StatusCode::OK, &json!({}));
            }
            let expected = body["precondition"].as_u64();
            if state.busy || expected.is_some_and(|e| e != state.accepted) {
                return answer(StatusCode::CONFLICT, &json!({}));
            }
            state.busy = true;
            state.accepted += 1;
            let holder = body["holder"].as_str().unwrap_or("").to_owned();
            state.books.orders.push((holder, fence));
        }
        tokio::spawn(async move {
            sleep(LOAD_TIME).await;
            {
                let mut state = self.lock();
                state.busy = false;
                state.version = state.version.max(version);
            }
            self.register(&pool);
        });
        answer(StatusCode::ACCEPTED, &json!({}))
    }

    fn report(&self) -> Response<Body> {
        let state = self.lock();
        let value = json!({
            "stage": "both", "busy": state.busy, "sequence": state.accepted,
            "models": [{ "name": MODEL, "version": state.version, "adapters": [] }],
        });
        answer(StatusCode::OK, &value)
    }
}

/// Returns the data of an event of an item.
pub fn event_data(id: &str, event: u64) -> String {
    format!("{id}-{event}")
}

/// Serves a connection. Generations are written by hand, because they are streams; everything
/// else goes through a server.
async fn connection(target: Arc<TargetStandIn>, stream: TcpStream, pool: String) {
    let mut peeked = [0; 16];
    let Ok(read) = stream.peek(&mut peeked).await else {
        return;
    };
    if peeked[..read].starts_with(b"POST /roll/") {
        generation(target, stream).await;
        return;
    }
    let service = service_fn(move |request| {
        let answered = plain(target.clone(), request, pool.clone());
        async move { Ok::<_, std::convert::Infallible>(answered.await) }
    });
    let io = sardinepath_adapters::web::io(stream);
    // The other side may leave at any time.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn plain(
    target: Arc<TargetStandIn>,
    request: Request<Incoming>,
    pool: String,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = body::json(body).await;
    let expected = text(&head.headers, names::EXPECT_TARGET);
    if expected.is_some_and(|expected| expected != target.name) {
        return answer(StatusCode::MISDIRECTED_REQUEST, &json!({}));
    }
    match head.uri.path() {
        "/report" => target.report(),
        "/order" => target.order(&body, pool).await,
        _ => {
            let id = target.begin(&head.headers);
            sleep(Duration::from_millis(5)).await;
            let mut response = Response::new(Body::new(Bytes::from(format!("answer to {id}"))));
            let headers = response.headers_mut();
            for (name, value) in [
                (names::REQUEST_ID, id.clone()),
                (names::DIGEST, format!("d.{id}")),
            ] {
                if let Ok(value) = value.parse() {
                    headers.insert(name, value);
                }
            }
            response
        }
    }
}

/// Reads one request and streams its events.
async fn generation(target: Arc<TargetStandIn>, mut stream: TcpStream) {
    let Some(headers) = read_head(&mut stream).await else {
        return;
    };
    let (busy, pace, version) = {
        let state = target.lock();
        (state.busy, state.pace, state.version)
    };
    if text(&headers, names::EXPECT_TARGET).is_some_and(|expected| expected != target.name) {
        let _ = stream
            .write_all(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")
            .await;
        return;
    }
    if busy {
        let refusal =
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\ncontent-length: 0\r\n\r\n";
        let _ = stream.write_all(refusal).await;
        return;
    }
    let id = target.begin(&headers);
    let first = text(&headers, names::LAST_EVENT_ID)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: d.{id}\r\n{}: {version}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        names::REQUEST_ID,
        names::DIGEST,
        names::WEIGHT_VERSION,
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    let mut known = version;
    for event in first + 1..=EVENTS {
        sleep(pace).await;
        let now = target.lock().version;
        let changed = match now != known {
            true => format!("{}: {now}\n", names::WEIGHT_VERSION),
            false => String::new(),
        };
        known = now;
        let event = format!("{changed}id: {event}\ndata: {}\n\n", event_data(&id, event));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
    }
    // Each generation has a connection of its own here.
    let _ = stream.write_all(b"0\r\n\r\n").await;
    let _ = stream.shutdown().await;
}

/// Reads a request with a body of known length. Returns its headers.
async fn read_head(stream: &mut TcpStream) -> Option<HeaderMap> {
    let mut buffer = Vec::new();
    let mut headers = HeaderMap::new();
    let end = loop {
        let read = stream.read_buf(&mut buffer).await.ok()?;
        if read == 0 {
            return None;
        }
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    for line in head.lines().skip(1) {
        let (name, value) = line.split_once(':')?;
        let name: http::HeaderName = name.trim().parse().ok()?;
        headers.append(name, value.trim().parse().ok()?);
    }
    let length: usize = text(&headers, "content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    while buffer.len() < end + 4 + length {
        if stream.read_buf(&mut buffer).await.ok()? == 0 {
            return None;
        }
    }
    Some(headers)
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

//! Stand-in of a target that serves both generations and plain requests, and logs what it executed.

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
use sardinepath_adapters::web::ResponseBody;
use sardinepath_adapters::web::streamed_body;
use sardinepath_adapters::web::whole_body;
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
use crate::store::json_response;

/// Name of the only model of a fleet.
pub const MODEL: &str = "m0";

/// Number of events in each generation.
pub const GENERATION_EVENTS: u64 = 12;

/// Time that a weight load takes.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Requests and orders that a target executed.
#[derive(Clone, Debug, Default)]
pub struct TargetLog {
    /// Start times of the executions of each request, by request id.
    pub runs: BTreeMap<String, Vec<Instant>>,
    /// Workspace that each request named, by request id.
    pub workspaces: BTreeMap<String, String>,
    /// Ids of requests that arrived with an API key, which gateways must remove.
    pub leaked_keys: Vec<String>,
    /// Holder and fencing token of each accepted order, in order of arrival.
    pub orders: Vec<(String, u64)>,
}

/// Running target that is registered in the store.
#[derive(Debug)]
pub struct TargetStandIn {
    name: String,
    software: String,
    store: Arc<StoreStandIn>,
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    log: TargetLog,
    version: u64,
    /// Number of accepted orders, which later orders name as their precondition.
    accepted: u64,
    /// Highest fencing token of an order so far.
    fence: u64,
    /// True while a weight load runs. Generations are then refused as not run.
    busy: bool,
    /// Time before each event of a generation.
    event_interval: Duration,
    leaving: bool,
    /// Request limit that each answer states, in requests a second.
    limit: Option<f64>,
    /// Number of events after which a stream that was not resumed breaks, or `None`.
    break_after: Option<u64>,
}

impl TargetStandIn {
    /// Starts a target of the software version `v1` on a free loopback port and registers it in the
    /// store under a pool.
    pub async fn start(
        store: Arc<StoreStandIn>,
        name: &str,
        pool: &str,
    ) -> anyhow::Result<Arc<Self>> {
        Self::start_version(store, name, pool, "v1").await
    }

    /// Starts a target of a software version.
    pub async fn start_version(
        store: Arc<StoreStandIn>,
        name: &str,
        pool: &str,
        software: &str,
    ) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Arc::new(Self {
            name: name.to_owned(),
            software: software.to_owned(),
            store,
            address: listener.local_addr()?,
            state: Mutex::new(State {
                log: TargetLog::default(),
                version: 1,
                accepted: 0,
                fence: 0,
                busy: false,
                event_interval: Duration::from_millis(15),
                leaving: false,
                limit: None,
                break_after: None,
            }),
        });
        target.register(pool);
        let (served, pool) = (target.clone(), pool.to_owned());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(handle_connection(served.clone(), stream, pool.clone()));
            }
        });
        Ok(target)
    }

    /// Returns the address on which the target listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests and orders that the target executed so far.
    pub fn log(&self) -> TargetLog {
        self.lock().log.clone()
    }

    /// Sets the time before each event of a generation.
    pub fn set_event_interval(&self, interval: Duration) {
        self.lock().event_interval = interval;
    }

    /// Sets the request limit that each answer to a plain request states.
    pub fn set_limit(&self, limit: Option<f64>) {
        self.lock().limit = limit;
    }

    /// Sets the number of events after which streams that were not resumed break.
    pub fn set_break_after(&self, events: Option<u64>) {
        self.lock().break_after = events;
    }

    /// Removes the entry of the target, which goes on serving.
    pub fn remove_entry(&self) {
        self.store.remove("servers", &self.name);
    }

    /// Registers the target as draining, so that gateways send it no new requests.
    pub fn leave(&self, pool: &str) {
        self.lock().leaving = true;
        self.register(pool);
    }

    fn register(&self, pool: &str) {
        let state = self.lock();
        let spec = json!({
            "service": pool, "address": self.address.to_string(), "zone": "z", "version": self.software,
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

    /// Records the start of a request and returns its id.
    fn record_start(&self, headers: &HeaderMap) -> String {
        let id = header(headers, names::REQUEST_ID).unwrap_or_default();
        let mut state = self.lock();
        state
            .log
            .runs
            .entry(id.clone())
            .or_default()
            .push(Instant::now());
        if let Some(workspace) = header(headers, names::WORKSPACE) {
            state.log.workspaces.insert(id.clone(), workspace);
        }
        if headers.contains_key(names::KEY) {
            state.log.leaked_keys.push(id.clone());
        }
        id
    }

    async fn order(self: Arc<Self>, body: &Value, pool: String) -> Response<Body> {
        let fence = body["fencingToken"].as_u64().unwrap_or(0);
        let version = body["version"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            if fence < state.fence {
                return json_response(StatusCode::PRECONDITION_FAILED, &json!({}));
            }
            state.fence = fence;
            if state.version >= version {
                return json_response(StatusCode::OK, &json!({}));
            }
            let expected = body["precondition"].as_u64();
            if state.busy || expected.is_some_and(|e| e != state.accepted) {
                return json_response(StatusCode::CONFLICT, &json!({}));
            }
            state.busy = true;
            state.accepted += 1;
            let holder = body["holder"].as_str().unwrap_or("").to_owned();
            state.log.orders.push((holder, fence));
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
        json_response(StatusCode::ACCEPTED, &json!({}))
    }

    fn report(&self) -> Response<Body> {
        let state = self.lock();
        let value = json!({
            "stage": "both", "busy": state.busy, "sequence": state.accepted,
            "models": [{ "name": MODEL, "version": state.version, "adapters": [] }],
        });
        json_response(StatusCode::OK, &value)
    }
}

/// Returns the data of an event in the generation of a request. Events count from 1.
pub fn event_data(id: &str, event: u64) -> String {
    format!("{id}-{event}")
}

/// Serves a connection. Generations are streams and are written to the socket directly; `hyper`
/// serves everything else.
async fn handle_connection(target: Arc<TargetStandIn>, stream: TcpStream, pool: String) {
    let mut peeked = [0; 16];
    let Ok(read) = stream.peek(&mut peeked).await else {
        return;
    };
    if peeked[..read].starts_with(b"POST /roll/") {
        serve_generation(target, stream).await;
        return;
    }
    let service = service_fn(move |request| {
        let response = serve_plain(target.clone(), request, pool.clone());
        async move { Ok::<_, std::convert::Infallible>(response.await) }
    });
    let io = sardinepath_adapters::web::hyper_io(stream);
    // An error means that the caller closed the connection.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn serve_plain(
    target: Arc<TargetStandIn>,
    request: Request<Incoming>,
    pool: String,
) -> Response<ResponseBody> {
    if request.uri().path().starts_with("/stream/") {
        return serve_stream(target, request).await;
    }
    let (head, body) = request.into_parts();
    let body = body::json(body).await;
    let expected = header(&head.headers, names::EXPECT_TARGET);
    if expected.is_some_and(|expected| expected != target.name) {
        return json_response(StatusCode::MISDIRECTED_REQUEST, &json!({})).map(whole_body);
    }
    let response = match head.uri.path() {
        "/report" => target.report(),
        "/order" => target.order(&body, pool).await,
        _ => {
            let id = target.record_start(&head.headers);
            sleep(Duration::from_millis(5)).await;
            let mut response = Response::new(Body::new(Bytes::from(format!("answer to {id}"))));
            let headers = response.headers_mut();
            let limit = target.lock().limit;
            let limit = limit.map(|limit| (names::REQUEST_LIMIT, limit.to_string()));
            let signed = [
                (names::REQUEST_ID, id.clone()),
                (names::DIGEST, format!("d.{id}")),
            ];
            for (name, value) in signed.into_iter().chain(limit) {
                if let Ok(value) = value.parse() {
                    headers.insert(name, value);
                }
            }
            response
        }
    };
    response.map(whole_body)
}

/// Streams the events of a stream for a caller, after the last one that the caller has. The data of
/// each event is the software version of the target.
async fn serve_stream(
    target: Arc<TargetStandIn>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    // The request body has no effect.
    let _ = body::json(body).await;
    if header(&head.headers, names::EXPECT_TARGET).is_some_and(|name| name != target.name) {
        return json_response(StatusCode::MISDIRECTED_REQUEST, &json!({})).map(whole_body);
    }
    let id = target.record_start(&head.headers);
    let last_event = last_event(&head.headers);
    let (interval, break_after) = {
        let state = target.lock();
        (state.event_interval, state.break_after)
    };
    let (sender, body) = streamed_body();
    let mut response = Response::new(body);
    for (name, value) in [
        (names::REQUEST_ID, id.clone()),
        (names::DIGEST, format!("d.{id}")),
        ("content-type", "text/event-stream".to_owned()),
    ] {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    tokio::spawn(async move {
        for event in last_event + 1..=GENERATION_EVENTS {
            sleep(interval).await;
            if last_event == 0 && break_after.is_some_and(|last| event > last) {
                return sender.abort("the target breaks the stream").await;
            }
            let event = format!("id: {event}\ndata: {}\n\n", target.software);
            if sender.send(Bytes::from(event)).await.is_err() {
                return;
            }
        }
    });
    response
}

/// Returns the number of the last event that a caller has, or 0.
fn last_event(headers: &HeaderMap) -> u64 {
    let stated = header(headers, names::LAST_EVENT_ID).and_then(|n| n.parse().ok());
    stated.unwrap_or(0)
}

/// Reads one request and streams its events, starting after the last event that the caller has.
async fn serve_generation(target: Arc<TargetStandIn>, mut stream: TcpStream) {
    let Some(headers) = read_request(&mut stream).await else {
        return;
    };
    let (busy, event_interval, version) = {
        let state = target.lock();
        (state.busy, state.event_interval, state.version)
    };
    if header(&headers, names::EXPECT_TARGET).is_some_and(|expected| expected != target.name) {
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
    let id = target.record_start(&headers);
    let last_event = last_event(&headers);
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
    let mut sent_version = version;
    for event in last_event + 1..=GENERATION_EVENTS {
        sleep(event_interval).await;
        let now = target.lock().version;
        let changed = match now != sent_version {
            true => format!("{}: {now}\n", names::WEIGHT_VERSION),
            false => String::new(),
        };
        sent_version = now;
        let event = format!("{changed}id: {event}\ndata: {}\n\n", event_data(&id, event));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
    }
    // Each generation uses its own connection, so the connection closes with it.
    let _ = stream.write_all(b"0\r\n\r\n").await;
    let _ = stream.shutdown().await;
}

/// Reads a request up to the end of its body and returns its headers. Returns `None` if the
/// connection closes early or the head is malformed.
async fn read_request(stream: &mut TcpStream) -> Option<HeaderMap> {
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
    let length: usize = header(&headers, "content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    while buffer.len() < end + 4 + length {
        if stream.read_buf(&mut buffer).await.ok()? == 0 {
            return None;
        }
    }
    Some(headers)
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

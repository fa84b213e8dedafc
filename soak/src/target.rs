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
use sardinepath_adapters::clock::HostClock;
use sardinepath_adapters::web::Body;
use sardinepath_adapters::web::ResponseBody;
use sardinepath_adapters::web::whole_body;
use sardinepath_core::port::clock::Clock;
use sardinepath_platform::names;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::body;
use crate::generation::serve_generation;
use crate::generation::serve_stream;
use crate::refusal::misdirected;
use crate::store::StoreStandIn;
use crate::store::json_response;
use crate::told::LateRequest;
use crate::told::Told;

/// Name of the only model of a fleet.
pub const MODEL: &str = "m0";

/// Data centre of a target that is not moved to another one.
pub const DEFAULT_CENTRE: &str = "z";

/// Data centre of the targets that are moved to another one.
pub const OTHER_CENTRE: &str = "y";

/// Time after which a process that was told that a target is leaving must not send to it.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);

/// End of the paths of requests that crash each target which runs them.
pub const CRASHING_PATH_END: &str = "/crash";

/// Time after which a target crashes under such a request.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// Time that a weight load takes.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Requests and orders that a target executed.
#[derive(Clone, Debug, Default)]
pub struct TargetLog {
    /// Start times of the executions of each request, by request id.
    pub runs: BTreeMap<String, Vec<Instant>>,
    /// Number of answers that said that an item failed or can never be done, by its id.
    pub failures: BTreeMap<String, usize>,
    /// Workspace that each request named, by request id.
    pub workspaces: BTreeMap<String, String>,
    /// Ids of requests that arrived with an API key, which gateways must remove.
    pub leaked_keys: Vec<String>,
    /// Holder and fencing token of each accepted order, in order of arrival.
    pub orders: Vec<(String, u64)>,
    /// Requests that came over a connection on which the target had said longer than [`DRAIN_TIME`]
    /// ago that it is leaving.
    pub late_requests: Vec<LateRequest>,
    /// Times at which the target crashed under a request.
    pub crashes: Vec<Instant>,
}

/// Running target that is registered in the store.
#[derive(Debug)]
pub struct TargetStandIn {
    pub(crate) name: String,
    pub(crate) software: String,
    store: Arc<StoreStandIn>,
    address: SocketAddr,
    state: Mutex<State>,
}

/// State of a target that its requests and its owner share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) log: TargetLog,
    pub(crate) version: u64,
    /// Number of accepted orders, which later orders name as their precondition.
    accepted: u64,
    /// Highest fencing token of an order so far.
    fence: u64,
    /// True while a weight load runs. Generations are then refused as not run.
    pub(crate) busy: bool,
    /// Time before each event of a generation.
    pub(crate) event_interval: Duration,
    /// Time before the answer to a plain request.
    plain_delay: Duration,
    leaving: bool,
    /// Data centre that the entry states.
    centre: String,
    /// Whether each answer states that the target is leaving.
    pub(crate) says_leaving: bool,
    /// Start of this run, as the entry states it.
    pub(crate) born: u64,
    /// Request limit that each answer states, in requests a second.
    limit: Option<f64>,
    /// Number of events after which a stream that was not resumed breaks, or `None`.
    pub(crate) break_after: Option<u64>,
    /// Ends the listener and all connections when it is dropped, or `None` while the target is down.
    pub(crate) running: Option<watch::Sender<()>>,
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
                plain_delay: Duration::from_millis(5),
                leaving: false,
                centre: DEFAULT_CENTRE.to_owned(),
                says_leaving: false,
                born: wall_millis(),
                limit: None,
                break_after: None,
                running: None,
            }),
        });
        target.register(pool);
        target.clone().listen(listener, pool);
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

    /// Sets the time before the answer to a plain request.
    pub fn set_plain_delay(&self, delay: Duration) {
        self.lock().plain_delay = delay;
    }

    /// States in each answer from now on that the target is leaving. Its entry does not change.
    pub fn say_leaving(&self) {
        self.lock().says_leaving = true;
    }

    /// Starts the target anew under its name, as a run that is not leaving.
    pub fn start_anew(&self, pool: &str) {
        {
            let mut state = self.lock();
            state.says_leaving = false;
            state.leaving = false;
            state.born = wall_millis().max(state.born + 1);
        }
        self.register(pool);
    }

    /// Registers the target in another data centre.
    pub fn move_to(&self, pool: &str, centre: &str) {
        centre.clone_into(&mut self.lock().centre);
        self.register(pool);
    }

    /// Returns the data centre that the entry states.
    pub fn centre(&self) -> String {
        self.lock().centre.clone()
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

    /// Writes the entry of the target.
    pub fn register(&self, pool: &str) {
        let state = self.lock();
        let spec = json!({
            "service": pool, "address": self.address.to_string(), "zone": state.centre,
            "version": self.software,
            "slots": 8, "state": if state.leaving { "draining" } else { "ready" },
            "coldRemainingMs": 0, "stage": "both", "sequence": 1, "born": state.born,
            "models": [{ "name": MODEL, "version": state.version, "adapters": [] }],
        });
        drop(state);
        self.store.put("servers", &self.name, &spec);
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the headers in which an answer to a request describes the target.
    pub(crate) fn statements(&self) -> Vec<(&'static str, String)> {
        let state = self.lock();
        let limit = state
            .limit
            .map(|limit| (names::REQUEST_LIMIT, limit.to_string()));
        let leaving = state.says_leaving.then(|| (names::LEAVING, "1".to_owned()));
        limit.into_iter().chain(leaving).collect()
    }

    /// Records the start of a request and returns its id.
    pub(crate) fn record_start(&self, headers: &HeaderMap) -> String {
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

/// Serves a connection. Generations are streams and are written to the socket directly; `hyper`
/// serves everything else.
pub(crate) async fn handle_connection(target: Arc<TargetStandIn>, stream: TcpStream, pool: String) {
    let mut peeked = [0; 16];
    let Ok(read) = stream.peek(&mut peeked).await else {
        return;
    };
    if peeked[..read].starts_with(b"POST /roll/") {
        serve_generation(target, stream).await;
        return;
    }
    // Time at which the target first said on this connection that it is leaving.
    let told: Arc<Mutex<Option<Told>>> = Arc::default();
    let service = service_fn(move |request| {
        target.check_told(&told, &request);
        let (target, told) = (target.clone(), told.clone());
        let response = serve_plain(target.clone(), request, pool.clone());
        async move {
            let response = response.await;
            target.note_told(&told, response.headers());
            Ok::<_, std::convert::Infallible>(response)
        }
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
        return misdirected(&head.headers).map(whole_body);
    }
    let response = match head.uri.path() {
        "/report" => target.report(),
        "/order" => target.order(&body, pool).await,
        _ => {
            let id = target.record_start(&head.headers);
            if head.uri.path().ends_with(CRASHING_PATH_END) {
                sleep(CRASH_DELAY).await;
                target.crash(pool);
                // The connection ends with the target.
                return std::future::pending().await;
            }
            let delay = target.lock().plain_delay;
            sleep(delay).await;
            let mut response = Response::new(Body::new(Bytes::from(format!("answer to {id}"))));
            let headers = response.headers_mut();
            let signed = [
                (names::REQUEST_ID, id.clone()),
                (names::DIGEST, format!("d.{id}")),
            ];
            for (name, value) in signed.into_iter().chain(target.statements()) {
                if let Ok(value) = value.parse() {
                    headers.insert(name, value);
                }
            }
            response
        }
    };
    response.map(whole_body)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
fn wall_millis() -> u64 {
    HostClock.wall_time().0
}

pub(crate) fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

//! Stand-in of the object API over HTTP, with faults.
//!
//! It uses `hyper`, since the thread pool of `tiny_http` can leave a connection waiting if several
//! arrive at once. With watches that occupy its threads, the wait lasts until a watch ends.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::objects::MemoryObjects;

/// Maximum number of calls that are served at once. Each waiting watch occupies a thread.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Time within which waiting watches must end when the API stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum wait of a watch in milliseconds, which also bounds the time to stop the API.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Interval at which a waiting watch checks whether the API stops or is made unavailable.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Response to a call.
type Reply = Response<Full<Bytes>>;

/// Request with its complete body.
type Call = Request<Bytes>;

/// Availability of the API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Calls are answered.
    #[default]
    Up,
    /// Every call is refused with status 503 and has no effect.
    Refusing,
    /// Calls are accepted, but are never answered and have no effect.
    Silent,
}

/// Faults of the API.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Availability of the API.
    pub availability: Availability,
    /// Time before each call is carried out.
    pub delay: Duration,
    /// Number of upcoming writes that take effect and are not answered.
    pub lost_answers: u32,
    /// Number of upcoming watch answers that omit their changes.
    pub omitted_changes: u32,
    /// Number of upcoming watch answers that repeat the whole history.
    pub repeated_history: u32,
}

/// Number of calls by kind, including refused ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of one object.
    pub get: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Creations and updates.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Watches.
    pub watch: u64,
}

/// Running object API that stops when dropped.
pub struct ObjectApi {
    /// Address on which the API listens.
    pub address: SocketAddr,
    /// Object store that the API serves.
    pub objects: Arc<MemoryObjects>,
    shared: Arc<Shared>,
    runtime: Option<Runtime>,
}

struct Shared {
    objects: Arc<MemoryObjects>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    faults: Faults,
    calls: Calls,
    stopped: bool,
}

/// Treatment of a call after it was processed.
enum Delivery {
    /// Send the reply.
    Send(Reply),
    /// Close the connection without an answer.
    Lose,
    /// Keep the connection open without an answer.
    Withhold,
}

impl ObjectApi {
    /// Starts an API for an object store on a free loopback port.
    pub fn start(objects: Arc<MemoryObjects>) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .max_blocking_threads(MAX_CONCURRENT_CALLS)
            .enable_all()
            .build()?;
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            objects: objects.clone(),
            state: Mutex::default(),
        });
        runtime.spawn(accept(listener, shared.clone()));
        Ok(Self {
            address,
            objects,
            shared,
            runtime: Some(runtime),
        })
    }

    /// Changes the faults of the API.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Returns the current faults, with the counts that are not used up.
    pub fn faults(&self) -> Faults {
        self.shared.lock().faults.clone()
    }

    /// Returns the numbers of calls so far.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }
}

impl Drop for ObjectApi {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(STOP_TIMEOUT);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Carries out a call with the faults that apply to it.
    fn answer(&self, request: &Call) -> Delivery {
        let faults = self.record_call(request);
        thread::sleep(faults.delay);
        match faults.availability {
            Availability::Refusing => return Delivery::Send(error_reply(503, "down")),
            Availability::Silent => return Delivery::Withhold,
            Availability::Up => {}
        }
        let is_write = matches!(*request.method(), Method::PUT | Method::DELETE);
        let reply = self.handle(request);
        let mut state = self.lock();
        if is_write && state.faults.lost_answers > 0 && reply.status() == 200 {
            state.faults.lost_answers -= 1;
            return Delivery::Lose;
        }
        // A read that waited while the API became unavailable must not return any data.
        match state.faults.availability {
            Availability::Silent => return Delivery::Withhold,
            Availability::Refusing if !is_write => return Delivery::Send(error_reply(503, "down")),
            Availability::Refusing | Availability::Up => {}
        }
        Delivery::Send(reply)
    }

    /// Counts a call and returns the faults that apply to it.
    fn record_call(&self, request: &Call) -> Faults {
        let mut state = self.lock();
        let calls = &mut state.calls;
        let watch = request.uri().path().starts_with("/v1/watch");
        let list = request.uri().path().starts_with("/v1/list");
        match *request.method() {
            Method::PUT => calls.put += 1,
            Method::DELETE => calls.delete += 1,
            _ if watch => calls.watch += 1,
            _ if list => calls.list += 1,
            _ => calls.get += 1,
        }
        state.faults.clone()
    }

    fn handle(&self, request: &Call) -> Reply {
        let path = request.uri().path();
        let query = request.uri().query().unwrap_or("");
        if let Some(path) = path.strip_prefix("/v1/objects/") {
            let path = percent_decode(path);
            return match *request.method() {
                Method::GET => self.get(&path),
                Method::PUT => self.put(&path, request),
                Method::DELETE => self.delete(&path, request),
                _ => error_reply(400, "the method is not known"),
            };
        }
        let query = parameters(query);
        match path {
            "/v1/list" => self.list(&query),
            "/v1/watch" => self.watch(&query),
            _ => error_reply(400, "the path is not known"),
        }
    }

    fn get(&self, path: &str) -> Reply {
        match self.objects.get(path) {
            Ok(Some(object)) => {
                let mut reply = text_reply(200, &object.value);
                let revision = object.revision.0.into();
                reply.headers_mut().insert("x-revision", revision);
                reply
            }
            Ok(None) => error_reply(404, "the object does not exist"),
            Err(e) => refusal(&e),
        }
    }

    fn put(&self, path: &str, request: &Call) -> Reply {
        let Some(expect) = precondition(request) else {
            return error_reply(400, "a write needs a condition");
        };
        let Ok(value) = std::str::from_utf8(request.body()) else {
            return error_reply(400, "the value is not text");
        };
        match self.objects.put(path, value, expect) {
            Ok(revision) => json_reply(200, &json!({"revision": revision})),
            Err(e) => refusal(&e),
        }
    }

    fn delete(&self, path: &str, request: &Call) -> Reply {
        let Some(Precondition::At(at)) = precondition(request) else {
            return error_reply(400, "a deletion needs a revision");
        };
        match self.objects.delete(path, at) {
            Ok(revision) => json_reply(200, &json!({"revision": revision})),
            Err(e) => refusal(&e),
        }
    }

    fn list(&self, query: &HashMap<String, String>) -> Reply {
        let prefix = query.get("prefix").map_or("", String::as_str);
        match self.objects.list(prefix) {
            Ok(listing) => {
                let objects: Vec<_> = listing.objects.iter().map(encode_object).collect();
                json_reply(
                    200,
                    &json!({"revision": listing.revision, "objects": objects}),
                )
            }
            Err(e) => refusal(&e),
        }
    }

    fn watch(&self, query: &HashMap<String, String>) -> Reply {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (Some(after), Some(wait)) = (number("after"), number("wait")) else {
            return error_reply(400, "a watch needs a revision and a wait");
        };
        let prefix = query.get("prefix").map_or("", String::as_str);
        let mut remaining = Duration::from_millis(wait.min(MAX_WATCH_WAIT_MS));
        loop {
            let interval = remaining.min(WATCH_CHECK_INTERVAL);
            let found = self.objects.watch(prefix, Revision(after), interval);
            remaining -= interval;
            let is_empty = found.as_ref().is_ok_and(|(_, changes)| changes.is_empty());
            if is_empty && !remaining.is_zero() && !self.must_interrupt() {
                continue;
            }
            return match found {
                Ok((revision, changes)) => self.watch_reply(prefix, revision, changes),
                Err(e) => refusal(&e),
            };
        }
    }

    /// Returns `true` if waiting watches must end.
    fn must_interrupt(&self) -> bool {
        let state = self.lock();
        state.stopped || state.faults.availability != Availability::Up
    }

    /// Returns the reply to a watch, with changes omitted or repeated if a fault applies.
    fn watch_reply(&self, prefix: &str, revision: Revision, mut changes: Vec<Change>) -> Reply {
        let mut state = self.lock();
        if !changes.is_empty() && state.faults.omitted_changes > 0 {
            state.faults.omitted_changes -= 1;
            changes.clear();
        } else if !changes.is_empty() && state.faults.repeated_history > 0 {
            state.faults.repeated_history -= 1;
            let history = self.objects.watch(prefix, Revision(0), Duration::ZERO);
            changes.extend(history.map(|(_, all)| all).unwrap_or_default());
        }
        let changes: Vec<_> = changes.iter().map(encode_change).collect();
        json_reply(200, &json!({"revision": revision, "changes": changes}))
    }
}

/// Accepts connections until the runtime ends.
async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        let service = service_fn(move |request| serve(shared.clone(), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // An error means that the client disconnected or that a fault closed the connection.
            let _ = connection.await;
        });
    }
}

/// Serves a call on a blocking thread. An error closes the connection without an answer.
async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> io::Result<Reply> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let call = Request::from_parts(head, body);
    let delivery = tokio::task::spawn_blocking(move || shared.answer(&call)).await?;
    match delivery {
        Delivery::Send(reply) => Ok(reply),
        Delivery::Lose => Err(io::Error::other(
            "a fault closed the connection without an answer",
        )),
        Delivery::Withhold => std::future::pending().await,
    }
}

/// Returns the precondition of a write, or `None` if it is missing or malformed.
fn precondition(request: &Call) -> Option<Precondition> {
    let field = |name| request.headers().get(name)?.to_str().ok();
    if field("if-none-match") == Some("*") {
        return Some(Precondition::Absent);
    }
    let revision = field("if-match")?.parse().ok()?;
    Some(Precondition::At(Revision(revision)))
}

/// Returns the decoded query parameters.
fn parameters(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}

fn encode_object(object: &Object) -> Value {
    json!({"path": object.path, "revision": object.revision, "value": object.value})
}

fn encode_change(change: &Change) -> Value {
    match change {
        Change::Put(put) => encode_object(put),
        Change::Delete { path, revision } => {
            json!({"path": path, "revision": revision, "value": null})
        }
    }
}

/// Returns the reply to a call that the object store refused.
fn refusal(error: &ObjectError) -> Reply {
    match error {
        ObjectError::Conflict(found) => json_reply(412, &json!({"revision": found})),
        ObjectError::Compacted => error_reply(410, "the history was compacted"),
        ObjectError::Invalid(text) => error_reply(413, text),
        ObjectError::Unavailable(text) => error_reply(503, text),
        ObjectError::Unknown(text) => error_reply(500, text),
    }
}

fn error_reply(status: u16, text: &str) -> Reply {
    json_reply(status, &json!({"error": text}))
}

fn json_reply(status: u16, value: &Value) -> Reply {
    text_reply(status, &value.to_string())
}

fn text_reply(status: u16, text: &str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    reply
}

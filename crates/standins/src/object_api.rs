//! The object API over HTTP, with faults that a test switches on.
//!
//! `hyper` serves it. The thread pool of `tiny_http` leaves a connection waiting if several arrive
//! at once, and with watches that hold its threads that lasts until one of them ends.

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

/// Most calls that are served at once. Each waiting watch takes a thread.
const THREADS: usize = 64;

/// Time for waiting watches to end when the API stops.
const STOP_LIMIT: Duration = Duration::from_secs(1);

/// Longest wait of a watch in milliseconds. It bounds the time to stop.
const WAIT_MOST: u64 = 30_000;

/// Interval at which a waiting watch looks whether the server stops or a fault was switched on.
const WATCH_SLICE: Duration = Duration::from_millis(200);

type Reply = Response<Full<Bytes>>;

type Call = Request<Bytes>;

/// Whether the API answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Service {
    /// It answers.
    #[default]
    Up,
    /// It refuses every call with status 503, so that no call has an effect.
    Refusing,
    /// It takes calls and never answers, and no call has an effect.
    Silent,
}

/// Faults of the API.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether the API answers.
    pub service: Service,
    /// Time before each answer.
    pub delay: Duration,
    /// Number of writes whose answer is lost after the effect.
    pub lost: u32,
    /// Number of watch answers that leave their changes out.
    pub skipped: u32,
    /// Number of watch answers that repeat the whole history.
    pub replayed: u32,
}

/// Number of calls by kind.
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

/// A running object API. It stops when dropped.
pub struct ObjectApi {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// The objects.
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

/// What to do with an answer.
enum Delivery {
    Send(Reply),
    /// Close the connection.
    Lose,
    /// Leave the connection open without an answer.
    Withhold,
}

impl ObjectApi {
    /// Starts an API with these objects on a free port of the loopback.
    pub fn start(objects: Arc<MemoryObjects>) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .max_blocking_threads(THREADS)
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

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Returns the faults that are still to come.
    pub fn faults(&self) -> Faults {
        self.shared.lock().faults.clone()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }
}

impl Drop for ObjectApi {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(STOP_LIMIT);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers one call.
    fn answer(&self, request: &Call) -> Delivery {
        let faults = self.faults_of_call(request);
        thread::sleep(faults.delay);
        match faults.service {
            Service::Refusing => return Delivery::Send(failure(503, "down")),
            Service::Silent => return Delivery::Withhold,
            Service::Up => {}
        }
        let is_write = matches!(*request.method(), Method::PUT | Method::DELETE);
        let reply = self.handle(request);
        let mut state = self.lock();
        if is_write && state.faults.lost > 0 && reply.status() == 200 {
            state.faults.lost -= 1;
            return Delivery::Lose;
        }
        // A read that waited while the API went down gives nothing away.
        match state.faults.service {
            Service::Silent => return Delivery::Withhold,
            Service::Refusing if !is_write => return Delivery::Send(failure(503, "down")),
            Service::Refusing | Service::Up => {}
        }
        Delivery::Send(reply)
    }

    /// Counts a call and returns the faults that apply to it.
    fn faults_of_call(&self, request: &Call) -> Faults {
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
            let path = decoded(path);
            return match *request.method() {
                Method::GET => self.get(&path),
                Method::PUT => self.put(&path, request),
                Method::DELETE => self.delete(&path, request),
                _ => failure(400, "the method is not known"),
            };
        }
        let query = parameters(query);
        match path {
            "/v1/list" => self.list(&query),
            "/v1/watch" => self.watch(&query),
            _ => failure(400, "the path is not known"),
        }
    }

    fn get(&self, path: &str) -> Reply {
        match self.objects.get(path) {
            Ok(Some(object)) => {
                let mut reply = text(200, &object.value);
                let revision = object.revision.0.into();
                reply.headers_mut().insert("x-revision", revision);
                reply
            }
            Ok(None) => failure(404, "the object does not exist"),
            Err(e) => refused(&e),
        }
    }

    fn put(&self, path: &str, request: &Call) -> Reply {
        let Some(expect) = condition(request) else {
            return failure(400, "a write needs a condition");
        };
        let Ok(value) = std::str::from_utf8(request.body()) else {
            return failure(400, "the value is not text");
        };
        match self.objects.put(path, value, expect) {
            Ok(revision) => body(200, &json!({"revision": revision})),
            Err(e) => refused(&e),
        }
    }

    fn delete(&self, path: &str, request: &Call) -> Reply {
        let Some(Precondition::At(at)) = condition(request) else {
            return failure(400, "a deletion needs a revision");
        };
        match self.objects.delete(path, at) {
            Ok(revision) => body(200, &json!({"revision": revision})),
            Err(e) => refused(&e),
        }
    }

    fn list(&self, query: &HashMap<String, String>) -> Reply {
        let prefix = query.get("prefix").map_or("", String::as_str);
        match self.objects.list(prefix) {
            Ok(listing) => {
                let objects: Vec<_> = listing.objects.iter().map(object).collect();
                body(
                    200,
                    &json!({"revision": listing.revision, "objects": objects}),
                )
            }
            Err(e) => refused(&e),
        }
    }

    fn watch(&self, query: &HashMap<String, String>) -> Reply {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (Some(after), Some(wait)) = (number("after"), number("wait")) else {
            return failure(400, "a watch needs a revision and a wait");
        };
        let prefix = query.get("prefix").map_or("", String::as_str);
        let mut left = Duration::from_millis(wait.min(WAIT_MOST));
        loop {
            let slice = left.min(WATCH_SLICE);
            let found = self.objects.watch(prefix, Revision(after), slice);
            left -= slice;
            let is_empty = found.as_ref().is_ok_and(|(_, changes)| changes.is_empty());
            if is_empty && !left.is_zero() && !self.interrupts() {
                continue;
            }
            return match found {
                Ok((revision, changes)) => self.changes(prefix, revision, changes),
                Err(e) => refused(&e),
            };
        }
    }

    /// Tells whether a waiting watch has to end.
    fn interrupts(&self) -> bool {
        let state = self.lock();
        state.stopped || state.faults.service != Service::Up
    }

    /// Answers a watch, with changes left out or repeated if a test asked for it.
    fn changes(&self, prefix: &str, revision: Revision, mut changes: Vec<Change>) -> Reply {
        let mut state = self.lock();
        if !changes.is_empty() && state.faults.skipped > 0 {
            state.faults.skipped -= 1;
            changes.clear();
        } else if !changes.is_empty() && state.faults.replayed > 0 {
            state.faults.replayed -= 1;
            let history = self.objects.watch(prefix, Revision(0), Duration::ZERO);
            changes.extend(history.map(|(_, all)| all).unwrap_or_default());
        }
        let changes: Vec<_> = changes.iter().map(change).collect();
        body(200, &json!({"revision": revision, "changes": changes}))
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        let service = service_fn(move |request| serve(shared.clone(), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // A connection ends with an error if its client goes or its answer is lost.
            let _ = connection.await;
        });
    }
}

/// Serves one call on a blocking thread. An error closes the connection without an answer.
async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> io::Result<Reply> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let call = Request::from_parts(head, body);
    let delivery = tokio::task::spawn_blocking(move || shared.answer(&call)).await?;
    match delivery {
        Delivery::Send(reply) => Ok(reply),
        Delivery::Lose => Err(io::Error::other("the answer is lost")),
        Delivery::Withhold => std::future::pending().await,
    }
}

fn condition(request: &Call) -> Option<Precondition> {
    let field = |name| request.headers().get(name)?.to_str().ok();
    if field("if-none-match") == Some("*") {
        return Some(Precondition::Absent);
    }
    let revision = field("if-match")?.parse().ok()?;
    Some(Precondition::At(Revision(revision)))
}

fn parameters(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), decoded(value)))
        .collect()
}

fn decoded(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}

fn object(object: &Object) -> Value {
    json!({"path": object.path, "revision": object.revision, "value": object.value})
}

fn change(change: &Change) -> Value {
    match change {
        Change::Put(put) => object(put),
        Change::Delete { path, revision } => {
            json!({"path": path, "revision": revision, "value": null})
        }
    }
}

fn refused(error: &ObjectError) -> Reply {
    match error {
        ObjectError::Conflict(found) => body(412, &json!({"revision": found})),
        ObjectError::Compacted => failure(410, "the history was compacted"),
        ObjectError::Invalid(text) => failure(413, text),
        ObjectError::Unavailable(text) => failure(503, text),
        ObjectError::Unknown(text) => failure(500, text),
    }
}

fn failure(status: u16, text: &str) -> Reply {
    body(status, &json!({"error": text}))
}

fn body(status: u16, value: &Value) -> Reply {
    text(status, &value.to_string())
}

fn text(status: u16, text: &str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    reply
}

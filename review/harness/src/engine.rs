//! Stand-ins of replicas: model replicas that stream events, and replicas of a plain service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use sardinepath_adapters::web::Body;
use sardinepath_adapters::web::Listener;
use sardinepath_adapters::web::ResponseBody;
use sardinepath_adapters::web::Shutdown;
use sardinepath_adapters::web::streamed_body;
use sardinepath_adapters::web::whole_body;
use sardinepath_soak::store::LISTENER_LIMITS;
use sardinepath_soak::store::StoreStandIn;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::record::Record;

/// Model that all model replicas serve.
pub const MODEL: &str = "m0";

/// Requests that a replica processes at once.
pub const SLOTS: usize = 8;

/// Requests that wait at a replica. Any further ones are rejected.
const QUEUE: usize = 24;

/// Memory of a model replica in tokens, as the sheet of the site states it.
pub const KV_TOKENS: u64 = 42_925;

/// What a replica answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model replica.
    Model,
    /// A replica of a plain service.
    Plain,
}

/// One arrival of a request at a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// All values of the tenant header, in order.
    pub tenants: Vec<String>,
    /// All values of the key header.
    pub keys: Vec<String>,
    /// Status of the answer. Status 503 and 421 are refusals, which do not run the request.
    pub status: u16,
}

/// Behaviour and log of a replica.
#[derive(Debug)]
pub struct Replica {
    pub name: String,
    kind: Kind,
    pool: String,
    address: SocketAddr,
    store: Arc<StoreStandIn>,
    record: Record,
    slots: Semaphore,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    arrivals: Vec<Arrival>,
    version: u64,
    orders: u64,
    fence: u64,
    running: usize,
    /// Whether two of five requests get an answer of 500.
    grey: bool,
    requests: u64,
    events: u64,
    interval: Duration,
    born: u64,
}

impl Replica {
    /// Starts a replica on a free loopback port and registers it.
    pub async fn start(
        store: Arc<StoreStandIn>,
        record: Record,
        kind: Kind,
        name: &str,
        pool: &str,
    ) -> anyhow::Result<Arc<Self>> {
        let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.address()?;
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        let replica = Arc::new(Self {
            name: name.to_owned(),
            kind,
            pool: pool.to_owned(),
            address,
            store,
            record,
            slots: Semaphore::new(SLOTS),
            state: Mutex::new(State {
                arrivals: Vec::new(),
                version: 1,
                orders: 0,
                fence: 0,
                running: 0,
                grey: false,
                requests: 0,
                events: 28,
                interval: match kind {
                    Kind::Model => Duration::from_millis(10),
                    Kind::Plain => Duration::from_millis(25),
                },
                born: u64::try_from(born.as_millis())?,
            }),
        });
        replica.register();
        let served = replica.clone();
        let handle = move |request| served.clone().serve(request);
        tokio::spawn(listener.serve(Shutdown::default(), || LISTENER_LIMITS, handle));
        Ok(replica)
    }

    /// Returns all arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Lets two of five requests get an answer of 500.
    pub fn set_grey(&self) {
        self.lock().grey = true;
    }

    /// Sets the number of events of a generation and the time before each, or the time that a plain
    /// request takes.
    pub fn set_pace(&self, events: u64, interval: Duration) {
        let mut state = self.lock();
        state.events = events;
        state.interval = interval;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self) {
        let state = self.lock();
        let mut spec = json!({
            "service": self.pool, "address": self.address.to_string(), "zone": "z", "version": "v1",
            "slots": SLOTS, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": state.born,
        });
        if self.kind == Kind::Model {
            spec["stage"] = json!("both");
            spec["models"] = json!([{ "name": MODEL, "version": state.version, "adapters": [] }]);
        }
        drop(state);
        self.store.put("servers", &self.name, &spec);
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return answer(StatusCode::BAD_REQUEST, &json!({})),
        };
        match head.uri.path() {
            "/report" => return self.report(),
            "/health" => return answer(StatusCode::OK, &json!({})),
            "/order" => return self.order(&body),
            _ => {}
        }
        self.request(&head, &body).await
    }

    async fn request(
        self: Arc<Self>,
        head: &http::request::Parts,
        body: &[u8],
    ) -> Response<ResponseBody> {
        let id = first(&head.headers, "x-attempt-id");
        let prompt = digest(body);
        if first(&head.headers, "x-expect-replica") != self.name {
            self.arrived(&id, &head.headers, 421);
            let mut response = answer(StatusCode::MISDIRECTED_REQUEST, &json!({}));
            set(&mut response, "x-replica-id", &self.name);
            return response;
        }
        let waiting = {
            let mut state = self.lock();
            state.running += 1;
            state.running
        };
        let leave = Leave(self.clone());
        if waiting > SLOTS + QUEUE {
            self.arrived(&id, &head.headers, 503);
            let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            set(&mut response, "x-not-run", "1");
            set(&mut response, "x-attempt-id", &id);
            return response;
        }
        let permit = self.slots.acquire().await.ok().map(|permit| {
            permit.forget();
            Slot(self.clone())
        });
        if self.must_fail() {
            self.arrived(&id, &head.headers, 500);
            let mut response = answer(StatusCode::INTERNAL_SERVER_ERROR, &json!({}));
            set(&mut response, "x-attempt-id", &id);
            set(&mut response, "x-server-stamp", &format!("d.{id}"));
            return response;
        }
        self.arrived(&id, &head.headers, 200);
        let (sender, body) = streamed_body();
        let mut response = Response::new(body);
        set(&mut response, "x-attempt-id", &id);
        set(&mut response, "x-server-stamp", &format!("d.{id}"));
        if self.kind == Kind::Plain {
            let work = self.lock().interval;
            tokio::spawn(async move {
                let _held = (permit, leave);
                sleep(work).await;
                let _ = sender.send(Bytes::from(format!("answer to {id}"))).await;
            });
            return response;
        }
        let (version, events, interval) = {
            let state = self.lock();
            (state.version, state.events, state.interval)
        };
        set(&mut response, "x-weight-versions", &version.to_string());
        set(&mut response, "content-type", "text/event-stream");
        let after: u64 = first(&head.headers, "last-event-id").parse().unwrap_or(0);
        let replica = self.clone();
        tokio::spawn(async move {
            let _held = (permit, leave);
            let mut told = version;
            for event in after + 1..=events {
                sleep(interval).await;
                let now = replica.lock().version;
                let line = match now == told {
                    true => String::new(),
                    false => format!("x-weight-versions: {now}\n"),
                };
                told = now;
                let text = format!(
                    "{line}id: {event}\ndata: {}\n\n",
                    event_data(&prompt, event)
                );
                if sender.send(Bytes::from(text)).await.is_err() {
                    return;
                }
            }
        });
        response
    }

    fn must_fail(&self) -> bool {
        let mut state = self.lock();
        state.requests += 1;
        state.grey && matches!(state.requests % 5, 1 | 3)
    }

    fn arrived(&self, id: &str, headers: &HeaderMap, status: u16) {
        let arrival = Arrival {
            id: id.to_owned(),
            at: Instant::now(),
            tenants: all(headers, "x-tenant"),
            keys: all(headers, "x-key"),
            status,
        };
        self.record.line(&format!(
            "replica {} got {id}: {status}, x-tenant {:?}, x-key {:?}",
            self.name, arrival.tenants, arrival.keys
        ));
        self.lock().arrivals.push(arrival);
    }

    fn report(&self) -> Response<ResponseBody> {
        let state = self.lock();
        let models = json!([{ "name": MODEL, "version": state.version, "adapters": [] }]);
        answer(
            StatusCode::OK,
            &json!({ "stage": "both", "busy": false, "sequence": state.orders, "models": models,
                "waiting": 0, "running": state.running, "kvUsed": 0, "kvTotal": KV_TOKENS, "handles": 0 }),
        )
    }

    fn order(&self, body: &[u8]) -> Response<ResponseBody> {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.lock();
        let fence = body["fencingToken"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return answer(StatusCode::PRECONDITION_FAILED, &json!({}));
        }
        state.fence = fence;
        let version = body["version"].as_u64().unwrap_or(0);
        if state.version >= version {
            return answer(StatusCode::OK, &json!({}));
        }
        state.orders += 1;
        state.version = version;
        drop(state);
        self.register();
        answer(StatusCode::ACCEPTED, &json!({}))
    }
}

/// Returns a digest of a prompt, from which the text that a replica generates for it follows.
pub fn digest(prompt: &[u8]) -> String {
    let hash = prompt.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    });
    format!("{hash:016x}")
}

/// Returns the data of an event that is generated for a prompt.
pub fn event_data(prompt: &str, event: u64) -> String {
    format!("{prompt}-{event}")
}

/// Counts a request as gone when it is dropped.
struct Leave(Arc<Replica>);

impl Drop for Leave {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

/// Returns a slot when it is dropped.
struct Slot(Arc<Replica>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.slots.add_permits(1);
    }
}

fn answer(status: StatusCode, value: &Value) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(Body::new(Bytes::from(value.to_string()))));
    *response.status_mut() = status;
    response
}

fn set(response: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

fn all(headers: &HeaderMap, name: &str) -> Vec<String> {
    let values = headers.get_all(name).iter();
    values
        .map(|v| String::from_utf8_lossy(v.as_bytes()).into_owned())
        .collect()
}

fn first(headers: &HeaderMap, name: &str) -> String {
    all(headers, name).into_iter().next().unwrap_or_default()
}

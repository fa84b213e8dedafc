//! In-memory stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use sardinepath_adapters::web::Body;
use sardinepath_adapters::web::Listener;
use sardinepath_adapters::web::ServerLimits;
use sardinepath_adapters::web::Shutdown;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::body;

/// Limits of the stand-ins' HTTP listeners.
pub const LISTENER_LIMITS: ServerLimits = ServerLimits {
    max_head: 64 * 1024,
    idle_timeout: Duration::from_secs(60),
    max_connections: 4_000,
};

/// Fault that the store applies to all calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call is refused with status 503.
    Busy,
    /// No call is answered or has an effect.
    Silent,
    /// Every call is delayed by this time before it is carried out.
    Slow(Duration),
    /// Writes take effect and are not answered.
    AnswerLost,
    /// Writes take effect after this time and are not answered.
    Late(Duration),
}

/// In-memory store with faults and a change history.
#[derive(Debug, Default)]
pub struct StoreStandIn {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), Value>,
    /// Texts of the objects that another writer stored, by the marker that stands for each of them.
    foreign: BTreeMap<String, Vec<u8>>,
    /// Changes as revision, kind, object and whether the object was removed.
    history: Vec<(u64, String, Value, bool)>,
    revision: u64,
    /// Revision of the oldest change that the history may contain. A watch that needs an earlier
    /// change gets status 410.
    oldest: u64,
    fault: StoreFault,
    /// Number of read calls since the start, answered or not.
    reads: u64,
}

impl StoreStandIn {
    /// Starts a store on a free loopback port.
    pub async fn start() -> anyhow::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        store.lock().revision = 10;
        let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.address()?;
        let served = store.clone();
        let handle = move |request| serve(served.clone(), request);
        tokio::spawn(listener.serve(Shutdown::default(), || LISTENER_LIMITS, handle));
        Ok((store, address))
    }

    /// Returns the number of read calls since the start, answered or not.
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    /// Applies a fault to all calls until the next call of this method.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Creates an object or replaces its `spec`, as an operator, trainer or target does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.lock().put(kind, name, spec.clone());
        self.changed.notify_waiters();
    }

    /// Creates an object or replaces it as a whole by a text, as another writer may do. The text need
    /// not be readable.
    pub fn put_foreign(&self, kind: &str, name: &str, text: &[u8]) {
        let mut state = self.lock();
        state.revision += 1;
        let at = state.revision;
        let marker = format!("foreign object {at}");
        state.foreign.insert(marker.clone(), text.to_vec());
        let object = Value::String(marker);
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object.clone());
        state.history.push((at, kind.to_owned(), object, false));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns a text in which the foreign objects stand in place of their markers.
    fn with_foreign(&self, text: String) -> Vec<u8> {
        let mut text = text.into_bytes();
        for (marker, foreign) in &self.lock().foreign {
            let marker = format!("\"{marker}\"").into_bytes();
            while let Some(at) = text.windows(marker.len()).position(|part| part == marker) {
                text.splice(at..at + marker.len(), foreign.iter().copied());
            }
        }
        text
    }

    /// Removes an object if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().remove(kind, name);
        self.changed.notify_waiters();
    }

    /// Drops the change history, so that clients have to list again before they watch.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.oldest = state.revision + 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns an object, or `None` if it does not exist.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        self.lock()
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned()
    }

    /// Returns the `spec` of each object of a kind, by object name.
    pub fn all(&self, kind: &str) -> BTreeMap<String, Value> {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        of_kind
            .map(|((_, name), object)| (name.clone(), object["spec"].clone()))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn watch(&self, kind: &str, revision: u64, wait: Duration) -> (StatusCode, Value) {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if revision + 1 < state.oldest {
                    return (StatusCode::GONE, json!({}));
                }
                let new = state
                    .history
                    .iter()
                    .filter(|(at, of, ..)| *at > revision && of == kind);
                let events: Vec<Value> = new
                    .map(|(_, _, object, gone)| json!({ "object": object, "deleted": gone }))
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let at = state.revision;
                    return (
                        StatusCode::OK,
                        json!({ "events": events, "storeRevision": at }),
                    );
                }
            }
            // The loop checks the deadline, so the result of the timeout is not needed.
            let _ = timeout(until.saturating_duration_since(Instant::now()), changed).await;
        }
    }

    fn write(
        &self,
        method: &Method,
        kind: &str,
        name: Option<&str>,
        body: &Value,
        revision: Option<u64>,
    ) -> (StatusCode, Value) {
        let mut state = self.lock();
        let named = body["metadata"]["name"].as_str();
        let Some(name) = name.or(named) else {
            return (StatusCode::BAD_REQUEST, json!({}));
        };
        let (name, status) = match name.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let found = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        let expected = body["metadata"]["revision"].as_u64().or(revision);
        let result = match (method, found) {
            (&Method::POST, Some(object)) => (StatusCode::CONFLICT, object),
            (&Method::PUT | &Method::DELETE, None) => (StatusCode::NOT_FOUND, json!({})),
            (_, Some(object))
                if expected.is_some_and(|e| Some(e) != object["metadata"]["revision"].as_u64()) =>
            {
                (StatusCode::CONFLICT, object)
            }
            (&Method::DELETE, Some(object)) => {
                state.remove(kind, name);
                (StatusCode::OK, object)
            }
            (_, Some(mut object)) if status => {
                object["status"] = body["status"].clone();
                state
                    .objects
                    .insert((kind.to_owned(), name.to_owned()), object.clone());
                (StatusCode::OK, object)
            }
            _ => (StatusCode::OK, state.put(kind, name, body["spec"].clone())),
        };
        drop(state);
        self.changed.notify_waiters();
        result
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.get(&key)
            && object["spec"] == spec
        {
            return object.clone();
        }
        self.revision += 1;
        let at = self.revision;
        let object = json!({ "metadata": { "name": name, "revision": at }, "spec": spec });
        self.objects.insert(key, object.clone());
        self.history
            .push((at, kind.to_owned(), object.clone(), false));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some(object) = removed {
            self.revision += 1;
            self.history
                .push((self.revision, kind.to_owned(), object, true));
        }
    }
}

async fn serve(store: Arc<StoreStandIn>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = body::json(body).await;
    let is_write = head.method != Method::GET;
    let fault = {
        let mut state = store.lock();
        state.reads += u64::from(!is_write);
        state.fault
    };
    match fault {
        StoreFault::Busy => return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
        StoreFault::Silent => std::future::pending().await,
        StoreFault::Slow(time) => sleep(time).await,
        StoreFault::Late(time) if is_write => sleep(time).await,
        _ => {}
    }
    let path = head.uri.path().trim_start_matches("/objects/").to_owned();
    let (kind, name) = match path.split_once('/') {
        Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
        None => (path, None),
    };
    let query = head.uri.query().unwrap_or("");
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    };
    let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
    let (status, value) = if is_write {
        let name = name.as_deref();
        store.write(&head.method, &kind, name, &body, number("revision"))
    } else if let Some(name) = name {
        match store.get(&kind, &name) {
            Some(object) => (StatusCode::OK, object),
            None => (StatusCode::NOT_FOUND, json!({})),
        }
    } else if let Some(revision) = number("watch") {
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        store.watch(&kind, revision, wait).await
    } else {
        (StatusCode::OK, store.list(&kind, field("after").as_deref()))
    };
    if is_write && matches!(fault, StoreFault::AnswerLost | StoreFault::Late(_)) {
        std::future::pending().await
    }
    let mut response = Response::new(Body::new(Bytes::from(
        store.with_foreign(value.to_string()),
    )));
    *response.status_mut() = status;
    response
}

impl StoreStandIn {
    /// Returns a page of objects. Pages are small, so that clients have to request several.
    fn list(&self, kind: &str, after: Option<&str>) -> Value {
        const PAGE_ITEMS: usize = 2;
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let rest: Vec<&Value> = of_kind
            .filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after))
            .map(|(_, object)| object)
            .collect();
        json!({
            "items": rest.iter().take(PAGE_ITEMS).collect::<Vec<_>>(),
            "morePages": rest.len() > PAGE_ITEMS,
            "storeRevision": state.revision,
        })
    }
}

/// Returns a response with a JSON body.
pub fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(Body::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response
}

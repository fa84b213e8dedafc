//! Stand-in of the platform's metadata store, after the page PROTOCOL.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Next;
use crate::json::Json;
use crate::json::num;
use crate::json::obj;
use crate::json::text;

/// Time that an answer takes in a small deployment.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Status that stands for a watch that is cut off, which gets no answer.
const CUT: u16 = 0;

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is carried out and answered.
    None,
    /// The call is carried out after this time and never answered.
    Late(Duration),
}

/// Decides what happens to a call.
pub type FaultRule = Box<dyn Fn(&Message) -> Fault + Send + Sync>;

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), (u64, Json, Json)>,
    history: Vec<(u64, String, Json, bool)>,
    revision: u64,
    writes: u64,
    lost: u64,
    cuts: BTreeMap<String, u64>,
    log: Vec<(Instant, String)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    rule: Arc<Mutex<FaultRule>>,
    /// Address on which the store listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let rule: Arc<Mutex<FaultRule>> = Arc::new(Mutex::new(Box::new(|_| Fault::None)));
        let mut store = Self {
            state,
            rule,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        store.lock().revision = 100;
        let served = store.clone();
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        store.address = http::serve(ip, move |request, _| served.answer(request));
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets what happens to calls from now on.
    pub fn set_rule(&self, rule: impl Fn(&Message) -> Fault + Send + Sync + 'static) {
        *self.rule.lock().unwrap_or_else(|e| e.into_inner()) = Box::new(rule);
    }

    /// Cuts off the watches of a kind that wait now. Their channels are reset.
    pub fn cut_watches(&self, kind: &str) {
        *self.lock().cuts.entry(kind.to_owned()).or_default() += 1;
        self.state.1.notify_all();
    }

    /// Returns the numbers of writing calls and of those whose answers were lost.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.writes, state.lost)
    }

    /// Returns the lines that the store logged, with their times.
    pub fn log(&self) -> Vec<(Instant, String)> {
        self.lock().log.clone()
    }

    /// Creates or replaces an object, as operators, trainers and replicas do. Returns the time of the ack.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> Instant {
        let mut state = self.lock();
        state.put(kind, name, spec, None);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Removes an object. Returns the time of the ack.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        self.lock().remove(kind, name);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Returns the content of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().objects.get(&key).map(|object| object.1.clone())
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let of_kind = state.objects.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    fn answer(&self, request: &Message) -> Next {
        let writes = request.method != "GET";
        let fault = {
            let rule = self.rule.lock().unwrap_or_else(|e| e.into_inner());
            rule(request)
        };
        if writes {
            let mut state = self.lock();
            state.writes += 1;
            state.lost += u64::from(matches!(fault, Fault::Late(_)));
        }
        match fault {
            Fault::None => {}
            Fault::Late(time) => {
                thread::sleep(time);
                self.execute(request);
                // A channel on which a response is lost returns nothing further.
                thread::sleep(Duration::from_secs(20));
                return Next::Close;
            }
        }
        thread::sleep(ANSWER_TIME);
        let (status, body) = self.execute(request);
        if status == CUT {
            return Next::Close;
        }
        let kind = ("content-type".to_owned(), "application/json".to_owned());
        Next::Answer(status, vec![kind], body.to_string().into_bytes())
    }

    fn execute(&self, request: &Message) -> (u16, Json) {
        let path = request.route().trim_start_matches("/objects/").to_owned();
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(ToOwned::to_owned);
        let status = parts.next() == Some("status");
        if request.method != "GET" {
            return self.write(request, &kind, name, status);
        }
        if let Some(name) = name {
            let state = self.lock();
            return match state.object(&kind, &name) {
                Some(object) => (200, object),
                None => (404, obj(vec![])),
            };
        }
        if let Some(from) = request.query("watch").and_then(|text| text.parse().ok()) {
            let wait = request.query("waitMs").and_then(|text| text.parse().ok());
            return self.watch(&kind, from, Duration::from_millis(wait.unwrap_or(0)));
        }
        let state = self.lock();
        let names = state.objects.keys().filter(|(k, _)| *k == kind);
        let items = names
            .filter_map(|(_, name)| state.object(&kind, name))
            .collect();
        let listing = vec![
            ("items", Json::Arr(items)),
            ("morePages", Json::Bool(false)),
            ("storeRevision", num(state.revision)),
        ];
        (200, obj(listing))
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, Json) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let cuts = state.cuts.get(kind).copied();
        loop {
            if state.cuts.get(kind).copied() != cuts {
                return (CUT, Json::Null);
            }
            let new = state
                .history
                .iter()
                .filter(|(at, of, ..)| *at > from && of == kind);
            let event = |object: &Json, gone: bool| {
                obj(vec![
                    ("object", object.clone()),
                    ("deleted", Json::Bool(gone)),
                ])
            };
            let events: Vec<Json> = new
                .map(|(_, _, object, gone)| event(object, *gone))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = num(state.revision);
                let found = vec![("events", Json::Arr(events)), ("storeRevision", revision)];
                return (200, obj(found));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn write(
        &self,
        request: &Message,
        kind: &str,
        name: Option<String>,
        status: bool,
    ) -> (u16, Json) {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let name = name.unwrap_or_else(|| metadata.get("name").str().to_owned());
        let stated = request.query("revision").and_then(|text| text.parse().ok());
        let expected = metadata.get("revision").int().or(stated);
        let mut state = self.lock();
        let found = state.object(kind, &name);
        let at = found
            .as_ref()
            .and_then(|o| o.get("metadata").get("revision").int());
        let result = match (request.method.as_str(), found) {
            ("POST", Some(object)) => (409, object),
            ("PUT" | "DELETE", None) => (404, obj(vec![])),
            (_, Some(object)) if expected.is_some() && expected != at => (409, object),
            ("DELETE", Some(object)) => {
                state.remove(kind, &name);
                (200, object)
            }
            _ if status => {
                let spec = state
                    .objects
                    .get(&(kind.to_owned(), name.clone()))
                    .map(|o| o.1.clone());
                let status = body.get("status").clone();
                (
                    200,
                    state.put(kind, &name, spec.unwrap_or(Json::Null), Some(status)),
                )
            }
            _ => (200, state.put(kind, &name, body.get("spec").clone(), None)),
        };
        if !kind.ends_with("leases") {
            let line = format!("{} {kind}/{name} -> {}", request.method, result.0);
            state.log.push((Instant::now(), line));
        }
        drop(state);
        self.state.1.notify_all();
        result
    }
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<Json> {
        let (revision, spec, status) = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        let metadata = vec![("name", text(name)), ("revision", num(revision))];
        Some(obj(vec![
            ("metadata", obj(metadata)),
            ("spec", spec.clone()),
            ("status", status.clone()),
        ]))
    }

    fn put(&mut self, kind: &str, name: &str, spec: Json, status: Option<Json>) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        let kept = known.map_or(Json::Null, |known| known.2.clone());
        let status = status.unwrap_or(kept);
        if known.is_none_or(|known| known.1 != spec || known.2 != status) {
            self.revision += 1;
            self.objects.insert(key, (self.revision, spec, status));
            let object = self.object(kind, name).unwrap_or(Json::Null);
            self.history
                .push((self.revision, kind.to_owned(), object, false));
        }
        self.object(kind, name).unwrap_or(Json::Null)
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(object) = self.object(kind, name) else {
            return;
        };
        self.objects.remove(&(kind.to_owned(), name.to_owned()));
        self.revision += 1;
        self.history
            .push((self.revision, kind.to_owned(), object, true));
    }
}

//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::Json;

/// Objects of a page of a listing.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Json>,
    history: Vec<(u64, String, Json, bool)>,
    revision: u64,
}

/// In-memory store. It answers soundly; a case that needs a fault puts it in front.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

fn table(fields: &[(&str, Json)]) -> Json {
    let fields = fields
        .iter()
        .map(|(name, value)| ((*name).to_owned(), value.clone()));
    Json::Table(fields.collect())
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 10;
        let served = store.clone();
        http::serve(address, move |request, stream| {
            served.answer(request, stream)
        })?;
        Ok(store)
    }

    /// Creates or replaces an object, as the operator, a trainer or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = json::parse(spec).expect("the spec is JSON");
        self.state.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_owned())
        };
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let body = std::str::from_utf8(&request.body)
            .ok()
            .and_then(json::parse);
        let (status, value) = if request.method() == "GET" {
            match (name, field("watch")) {
                (Some(name), _) => self.read(kind, name),
                (None, Some(from)) => {
                    let wait = field("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, from.parse().unwrap_or(0), Duration::from_millis(wait))
                }
                (None, None) => self.list(kind, field("after").as_deref()),
            }
        } else {
            let revision = field("revision").and_then(|r| r.parse().ok());
            let result = self.state.lock().unwrap().write(
                request.method(),
                kind,
                name,
                &body.unwrap_or(Json::Null),
                revision,
            );
            self.changed.notify_all();
            result
        };
        let headers = [("Content-Type", "application/json")];
        http::respond(stream, status, &headers, value.write().as_bytes()).is_ok()
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object.clone()),
            None => (404, table(&[])),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let rest: Vec<Json> = of_kind
            .filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after))
            .map(|(_, object)| object.clone())
            .collect();
        let more = rest.len() > PAGE_ITEMS;
        let items = rest.into_iter().take(PAGE_ITEMS).collect();
        let page = table(&[
            ("items", Json::List(items)),
            ("morePages", Json::Bool(more)),
            ("storeRevision", number(state.revision)),
        ]);
        (200, page)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, Json) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state
                .history
                .iter()
                .filter(|(at, of, ..)| *at > from && of == kind);
            let events: Vec<Json> = new
                .map(|(_, _, object, gone)| {
                    table(&[("object", object.clone()), ("deleted", Json::Bool(*gone))])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = number(state.revision);
                let value = table(&[("events", Json::List(events)), ("storeRevision", revision)]);
                return (200, value);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key).cloned();
        if let Some(before) = before.as_ref().filter(|before| *before.get("spec") == spec) {
            return before.clone();
        }
        self.revision += 1;
        let created = before.map_or(number(self.revision), |before| {
            before.get("metadata").get("createdRev").clone()
        });
        let metadata = table(&[
            ("name", Json::Text(name.to_owned())),
            ("revision", number(self.revision)),
            ("createdRev", created),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        let object = table(&[
            ("metadata", metadata),
            ("spec", spec),
            ("status", Json::Null),
        ]);
        self.objects.insert(key, object.clone());
        self.history
            .push((self.revision, kind.to_owned(), object.clone(), false));
        object
    }

    fn write(
        &mut self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        body: &Json,
        revision: Option<u64>,
    ) -> (u16, Json) {
        let named = body.get("metadata").get("name").text();
        let Some(name) = name.or(named).map(ToOwned::to_owned) else {
            return (400, table(&[]));
        };
        let (name, status) = match name.strip_suffix("/status") {
            Some(name) => (name.to_owned(), true),
            None => (name, false),
        };
        let key = (kind.to_owned(), name.clone());
        let found = self.objects.get(&key).cloned();
        let expected = revision.or(body.get("metadata").get("revision").number());
        let Some(mut object) = found else {
            return match method {
                "POST" => (200, self.put(kind, &name, body.get("spec").clone())),
                _ => (404, table(&[])),
            };
        };
        let at = object.get("metadata").get("revision").number();
        if method == "POST" || expected.is_some_and(|expected| Some(expected) != at) {
            return (409, object);
        }
        if method == "DELETE" {
            self.objects.remove(&key);
            self.revision += 1;
            self.history
                .push((self.revision, kind.to_owned(), object.clone(), true));
            return (200, object);
        }
        if status {
            object.set("status", body.get("status").clone());
            self.objects.insert(key, object.clone());
            return (200, object);
        }
        (200, self.put(kind, &name, body.get("spec").clone()))
    }
}

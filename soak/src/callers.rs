//! Callers of the gateways, which check what they are promised.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http::response::Parts;
use hyper::Request;
use sardinepath_adapters::web::Body;
use sardinepath_adapters::web::Pool;
use sardinepath_adapters::web::SendError;
use sardinepath_platform::names;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::target::EVENTS;
use crate::target::MODEL;
use crate::target::event_data;

/// Host of all routes.
pub const HOST: &str = "dreams.example";

/// Key that stays valid.
pub const KEY: &str = "key-of-the-press";

/// Workspace of the key.
pub const WORKSPACE: &str = "press";

/// Items of a batch job.
const ITEMS: usize = 12;

/// Time for one call.
const LIMIT: Duration = Duration::from_secs(4);

/// Most bytes of an answer.
const MOST: usize = 8 << 20;

/// Returns a version of the configuration.
pub fn config(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, public: bool| {
        json!({
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 3_000,
            "targetLatencyMs": 150, "priority": 0, "service": service, "maxAttempts": 3,
            "public": public, "resultDeadlineMs": 7_500, "retentionS": 600,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("roll", "/roll/", "rollout", "engines", false),
            route("page", "/page/", "safe", "shop", false),
            route("once", "/once/", "unsafe", "shop", false),
            route("score", "/score/", "safe", "shop", true),
        ],
        "services": [
            { "name": "engines", "engine": { "models": [{ "name": MODEL }] } },
            { "name": "shop" },
        ],
        "limits": {
            "headerBytes": 16_384, "bodyBytes": 1_048_576, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
        "tenants": [{ "name": WORKSPACE, "apiKeys": keys }],
    })
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Broken promises.
    pub faults: Vec<String>,
    /// Requests that were told that they did not run.
    pub refused: Vec<String>,
    /// Plain requests that were answered.
    pub answered: usize,
    /// Results of accepted jobs by position.
    pub results: BTreeMap<String, Vec<Value>>,
    /// Jobs of which every submission was refused.
    pub refused_jobs: Vec<String>,
    /// Jobs whose submission had no clear end.
    pub unclear_jobs: usize,
}

/// The callers of a fleet.
#[derive(Clone, Debug)]
pub struct Callers {
    fronts: Vec<SocketAddr>,
    /// What was seen.
    pub seen: Arc<Mutex<Seen>>,
}

impl Callers {
    /// Creates callers of these gateways.
    pub fn new(fronts: Vec<SocketAddr>) -> Self {
        let seen = Arc::default();
        Self { fronts, seen }
    }

    /// Locks what was seen.
    pub fn seen(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a call at a gateway on a connection of its own.
    async fn call(
        &self,
        pool: &Pool,
        gateway: usize,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<(Parts, Bytes), SendError> {
        let front = self.fronts[gateway % self.fronts.len()];
        let request = request
            .header("host", HOST)
            .header(names::KEY, KEY)
            .body(Body::new(body));
        let request = request.map_err(|e| SendError::NotSent(e.to_string()))?;
        pool.call(front, request, LIMIT, MOST).await
    }

    /// Sends plain requests until `until`, also on kept connections.
    pub async fn plain(self, name: usize, path: &'static str, until: Instant) {
        let pool = Pool::default();
        let mut count = 0;
        while Instant::now() < until {
            count += 1;
            let id = format!("{}{name}-{count}", path.trim_matches('/'));
            let request = Request::post(format!("{path}x"))
                .header(names::REQUEST_ID, &id)
                .header(names::DEADLINE, "2500");
            let answer = self
                .call(&pool, name + count, request, Bytes::from_static(b"order"))
                .await;
            let Ok((head, body)) = answer else {
                sleep(Duration::from_millis(30)).await;
                continue;
            };
            self.note_answer(id, head.status, &body);
            sleep(Duration::from_millis(25)).await;
        }
    }

    fn note_answer(&self, id: String, status: StatusCode, body: &Bytes) {
        let mut seen = self.seen();
        match status {
            StatusCode::OK if body == format!("answer to {id}").as_bytes() => seen.answered += 1,
            StatusCode::OK => {
                seen.faults
                    .push(format!("{id}: not its own answer: {body:?}"));
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                seen.refused.push(id);
            }
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {}
            other => seen.faults.push(format!("{id}: unexpected status {other}")),
        }
    }

    /// Runs a step: submits a job, reads its results to the end and checks them.
    pub async fn step(&self, name: &str, least: u64, until: Instant) {
        if !self.submit(name, least, until).await {
            return;
        }
        let pool = Pool::default();
        let mut gateway = 0;
        while Instant::now() < until {
            gateway += 1;
            if self.read(&pool, name, gateway, least).await >= ITEMS {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let count = self.seen().results.get(name).map_or(0, Vec::len);
        self.seen().faults.push(format!(
            "{name}: accepted, but only {count} of {ITEMS} results came"
        ));
    }

    /// Submits a job at one gateway after the other. Returns true once it is accepted.
    async fn submit(&self, name: &str, least: u64, until: Instant) -> bool {
        let pool = Pool::default();
        let body = Bytes::from(submission(name, least).to_string());
        let mut clear = true;
        let tries = Instant::now() + Duration::from_secs(12);
        for gateway in 0.. {
            if Instant::now() >= tries.min(until) {
                break;
            }
            let request = Request::post(format!("/roll/{name}")).header(names::REQUEST_ID, name);
            match self
                .call(&pool, gateway, request, body.clone())
                .await
                .map(|a| a.0.status)
            {
                Ok(StatusCode::ACCEPTED) => return true,
                Ok(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
                | Err(SendError::NotSent(_)) => {}
                Ok(StatusCode::BAD_GATEWAY) | Err(_) => clear = false,
                Ok(other) => {
                    self.seen()
                        .faults
                        .push(format!("{name}: submission got {other}"));
                    return false;
                }
            }
            sleep(Duration::from_millis(150)).await;
        }
        let mut seen = self.seen();
        match clear {
            true => seen.refused_jobs.push(name.to_owned()),
            false => seen.unclear_jobs += 1,
        }
        false
    }

    /// Reads results from a position that is sometimes an earlier one. Returns how many are known.
    async fn read(&self, pool: &Pool, name: &str, gateway: usize, least: u64) -> usize {
        let known = self.seen().results.get(name).map_or(0, Vec::len);
        let after = if gateway.is_multiple_of(4) { 0 } else { known };
        let path = format!("/lots/{name}?after={after}");
        let request = Request::get(path).header(names::RESULT_WAIT, "500");
        let answer = self.call(pool, gateway, request, Bytes::new()).await;
        let Ok((head, body)) = answer else {
            return known;
        };
        let mut seen = self.seen();
        if head.status == StatusCode::NOT_FOUND {
            seen.faults
                .push(format!("{name}: an accepted job is absent"));
        }
        if head.status != StatusCode::OK {
            return known;
        }
        let page: Value = serde_json::from_slice(&body).unwrap_or_default();
        let new = page["results"].as_array().cloned().unwrap_or_default();
        for (index, result) in new.into_iter().enumerate() {
            let at = after + index;
            let listed = seen.results.entry(name.to_owned()).or_default();
            if let Some(before) = listed.get(at) {
                let same = *before == result;
                if !same {
                    seen.faults
                        .push(format!("{name}: position {at} has changed"));
                }
                continue;
            }
            let twice = listed.iter().any(|r| r["id"] == result["id"]);
            listed.push(result.clone());
            if twice {
                seen.faults
                    .push(format!("{name}: {} is listed twice", result["id"]));
            }
            if let Some(fault) = wrong(&result, least) {
                seen.faults.push(format!("{name}: {fault}: {result}"));
            }
        }
        seen.results.get(name).map_or(0, Vec::len)
    }

    /// Reads a finished job again at every gateway, then ends it.
    pub async fn reread(&self, name: &str, least: u64) {
        let pool = Pool::default();
        for gateway in 0..self.fronts.len() {
            // Multiples of four read from the start.
            self.read(&pool, name, gateway * 4, least).await;
        }
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("/lots/{name}"));
        let ended = self.call(&pool, 0, request, Bytes::new()).await;
        if !ended.is_ok_and(|(head, _)| head.status == StatusCode::OK) {
            self.seen()
                .faults
                .push(format!("{name}: cannot be ended in calm"));
        }
    }
}

/// Makes the submission of a job.
fn submission(name: &str, least: u64) -> Value {
    let item = |index: usize| {
        let id = format!("{name}.{index}");
        json!({
            "id": id, "path": format!("/roll/{id}"), "headers": { "X-Model": MODEL },
            "body": STANDARD.encode("prompt"), "tokenCount": 100, "group": format!("{name}.g{}", index / 4),
            "scorer": {
                "id": format!("{id}.s"), "host": HOST, "path": "/score/x", "body": STANDARD.encode("text"),
            },
        })
    };
    let items: Vec<Value> = (0..ITEMS).map(item).collect();
    json!({ "step": 0, "model": MODEL, "minVersion": least, "desiredCount": 3, "items": items })
}

/// Tells what is wrong with a result.
fn wrong(result: &Value, least: u64) -> Option<&'static str> {
    let id = result["id"].as_str().unwrap_or("");
    let events: Vec<String> = (1..=EVENTS).map(|event| event_data(id, event)).collect();
    let versions = result["versions"].as_array().cloned().unwrap_or_default();
    if result["state"] != "completed" {
        return Some("given up without a reason");
    }
    if result["text"] != events.join("\n") {
        return Some("the text is not whole");
    }
    if versions.is_empty()
        || versions
            .iter()
            .any(|v| v.as_u64().is_none_or(|v| v < least))
    {
        return Some("a version is too old or missing");
    }
    if result["score"] != format!("d.{id}.s") {
        return Some("not its own score");
    }
    None
}

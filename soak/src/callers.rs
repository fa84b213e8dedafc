//! Clients that call the gateways and check the guarantees of their answers.

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

use crate::failing::MAX_ATTEMPTS;
use crate::failing::failing_status;
use crate::generation::GENERATION_EVENTS;
use crate::generation::event_data;
use crate::target::CRASHING_PATH_END;
use crate::target::MODEL;

/// Host name of all routes.
pub const HOST: &str = "dreams.example";

/// API key that stays valid during the whole run.
pub const KEY: &str = "key-of-the-press";

/// Workspace to which [`KEY`] belongs.
pub const WORKSPACE: &str = "press";

/// Start of the ids of requests that crash targets.
pub const CRASHING_ID: &str = "crash-";

/// Delay before such a request comes again.
const CRASHING_INTERVAL: Duration = Duration::from_millis(300);

/// Number of items in a batch job.
const BATCH_ITEMS: usize = 12;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum length of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Returns the configuration with this version and these API keys.
pub fn config(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, public: bool| {
        json!({
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 3_000,
            "targetLatencyMs": 150, "priority": 0, "service": service, "maxAttempts": MAX_ATTEMPTS,
            "public": public, "resultDeadlineMs": 7_500, "retentionS": 600,
            "resumable": kind == "streaming",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("roll", "/roll/", "rollout", "engines", false),
            route("page", "/page/", "safe", "shop", false),
            route("once", "/once/", "unsafe", "shop", false),
            route("stream", "/stream/", "streaming", "shop", false),
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

/// Observations of all callers.
#[derive(Debug, Default)]
pub struct Observations {
    /// Violated guarantees.
    pub faults: Vec<String>,
    /// Ids of plain requests that were refused as not run (status 503 or 429).
    pub refused: Vec<String>,
    /// Number of plain requests that were answered with status 200.
    pub answered: usize,
    /// Results of accepted jobs in order of their position, by job name.
    pub results: BTreeMap<String, Vec<Value>>,
    /// Names of jobs whose submissions were all refused.
    pub refused_jobs: Vec<String>,
    /// Number of jobs that were not accepted, and for which at least one submission may
    /// have had an effect.
    pub unclear_jobs: usize,
}

/// Callers of all gateways of a fleet. Clones share their observations.
#[derive(Clone, Debug)]
pub struct Callers {
    gateways: Vec<SocketAddr>,
    /// Observations so far.
    pub observations: Arc<Mutex<Observations>>,
}

impl Callers {
    /// Creates callers for gateways with these front addresses.
    pub fn new(gateways: Vec<SocketAddr>) -> Self {
        let observations = Arc::default();
        Self {
            gateways,
            observations,
        }
    }

    /// Locks the observations.
    pub fn observations(&self) -> std::sync::MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request with the API key to a gateway and waits for the answer.
    async fn call(
        &self,
        pool: &Pool,
        gateway: usize,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<(Parts, Bytes), SendError> {
        let address = self.gateways[gateway % self.gateways.len()];
        let request = request
            .header("host", HOST)
            .header(names::KEY, KEY)
            .body(Body::new(body));
        let request = request.map_err(|e| SendError::NotSent(e.to_string()))?;
        pool.call(address, request, CALL_TIMEOUT, MAX_ANSWER_BYTES)
            .await
    }

    /// Sends plain requests to the gateways in turn until `until`, and reuses connections.
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
            self.record_answer(id, head.status, &body);
            sleep(Duration::from_millis(25)).await;
        }
    }

    /// Sends a request that crashes each target which runs it to the gateways in turn until `until`.
    pub async fn crashing(self, until: Instant) {
        let pool = Pool::default();
        for count in 0.. {
            if Instant::now() >= until {
                return;
            }
            let id = format!("{CRASHING_ID}{count}");
            let request = Request::post(format!("/page{CRASHING_PATH_END}"))
                .header(names::REQUEST_ID, &id)
                .header(names::DEADLINE, "2500");
            let answer = self
                .call(&pool, count, request, Bytes::from_static(b"order"))
                .await;
            if let Ok((head, body)) = answer {
                self.record_answer(id, head.status, &body);
            }
            sleep(CRASHING_INTERVAL).await;
        }
    }

    fn record_answer(&self, id: String, status: StatusCode, body: &Bytes) {
        let mut seen = self.observations();
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

    /// Runs a training step: submits a batch job, reads all its results and checks them.
    pub async fn run_step(&self, name: &str, min_version: u64, until: Instant) {
        if !self.submit(name, min_version, until).await {
            return;
        }
        let pool = Pool::default();
        let mut gateway = 0;
        while Instant::now() < until {
            gateway += 1;
            if self.read_results(&pool, name, gateway, min_version).await >= BATCH_ITEMS {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let count = self.observations().results.get(name).map_or(0, Vec::len);
        self.observations().faults.push(format!(
            "{name}: accepted, but only {count} of {BATCH_ITEMS} results came"
        ));
    }

    /// Submits a job to one gateway after the other. Returns `true` once a gateway accepts it.
    async fn submit(&self, name: &str, min_version: u64, until: Instant) -> bool {
        let pool = Pool::default();
        let body = Bytes::from(submission(name, min_version).to_string());
        let mut all_refused = true;
        let deadline = Instant::now() + Duration::from_secs(12);
        for gateway in 0.. {
            if Instant::now() >= deadline.min(until) {
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
                Ok(StatusCode::BAD_GATEWAY) | Err(_) => all_refused = false,
                Ok(other) => {
                    self.observations()
                        .faults
                        .push(format!("{name}: submission got {other}"));
                    return false;
                }
            }
            sleep(Duration::from_millis(150)).await;
        }
        let mut seen = self.observations();
        match all_refused {
            true => seen.refused_jobs.push(name.to_owned()),
            false => seen.unclear_jobs += 1,
        }
        false
    }

    /// Reads the next results of a job and returns the number of known results. Every fourth call
    /// starts at position 0, to check that earlier results have not changed.
    async fn read_results(
        &self,
        pool: &Pool,
        name: &str,
        gateway: usize,
        min_version: u64,
    ) -> usize {
        let known = self.observations().results.get(name).map_or(0, Vec::len);
        let after = if gateway.is_multiple_of(4) { 0 } else { known };
        let path = format!("/lots/{name}?after={after}");
        let request = Request::get(path).header(names::RESULT_WAIT, "500");
        let answer = self.call(pool, gateway, request, Bytes::new()).await;
        let Ok((head, body)) = answer else {
            return known;
        };
        let mut seen = self.observations();
        if head.status == StatusCode::NOT_FOUND {
            seen.faults
                .push(format!("{name}: an accepted job is absent"));
        }
        if head.status != StatusCode::OK {
            return known;
        }
        let page: Value = serde_json::from_slice(&body).unwrap_or_default();
        let page_results = page["results"].as_array().cloned().unwrap_or_default();
        for (index, result) in page_results.into_iter().enumerate() {
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
            let repeated = listed.iter().any(|r| r["id"] == result["id"]);
            listed.push(result.clone());
            if repeated {
                seen.faults
                    .push(format!("{name}: {} is listed twice", result["id"]));
            }
            if let Some(fault) = result_fault(&result, min_version) {
                seen.faults.push(format!("{name}: {fault}: {result}"));
            }
        }
        seen.results.get(name).map_or(0, Vec::len)
    }

    /// Reads a finished job again from every gateway, then deletes it.
    pub async fn reread(&self, name: &str, min_version: u64) {
        let pool = Pool::default();
        for gateway in 0..self.gateways.len() {
            // Multiples of four read the results from position 0.
            self.read_results(&pool, name, gateway * 4, min_version)
                .await;
        }
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("/lots/{name}"));
        let ended = self.call(&pool, 0, request, Bytes::new()).await;
        if !ended.is_ok_and(|(head, _)| head.status == StatusCode::OK) {
            self.observations().faults.push(format!(
                "{name}: could not be ended without faults in effect"
            ));
        }
    }
}

/// Returns the body of a batch submission.
pub fn submission(name: &str, min_version: u64) -> Value {
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
    let items: Vec<Value> = (0..BATCH_ITEMS).map(item).collect();
    json!({ "step": 0, "model": MODEL, "minVersion": min_version, "desiredCount": 3, "items": items })
}

/// Returns the fault of a result, or `None` if the result is correct.
fn result_fault(result: &Value, min_version: u64) -> Option<&'static str> {
    let id = result["id"].as_str().unwrap_or("");
    let events: Vec<String> = (1..=GENERATION_EVENTS)
        .map(|event| event_data(id, event))
        .collect();
    let versions = result["versions"].as_array().cloned().unwrap_or_default();
    if failing_status(id).is_some() {
        let given_up = result["state"] == "terminated";
        return (!given_up).then_some("complete though each run failed");
    }
    if result["state"] != "completed" {
        return Some("given up without a reason");
    }
    if result["text"] != events.join("\n") {
        return Some("the text is incomplete");
    }
    if versions.is_empty()
        || versions
            .iter()
            .any(|v| v.as_u64().is_none_or(|v| v < min_version))
    {
        return Some("a version is too old or missing");
    }
    if result["score"] != format!("d.{id}.s") {
        return Some("not its own score");
    }
    None
}

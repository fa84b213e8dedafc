//! Callers of a non-idempotent route, and the check of their results against the records of the
//! targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use sardinepath_standins::http::ReceivedRequest;
use serde_json::Value;

use crate::process_support::Fleet;
use crate::process_support::HOLD_TIME;
use crate::process_support::KEY;
use crate::process_support::WAIT_TIMEOUT;
use crate::process_support::await_true;
use crate::process_support::node::Node;

/// Maximum number of calls of one caller, for a load that is never stopped.
const MAX_CALLS: usize = 20_000;

/// Delay of a caller after a call that was not answered.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time within which calls that their caller has given up still reach a target.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Result of a call from its caller's point of view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer.
    Answered(String),
    /// An error answer with its code and run state.
    Failed(String, String),
    /// The connection was refused.
    NotConnected,
    /// The connection broke, or the answer was truncated.
    Lost(String),
}

/// A call with the index of its entry and its result.
#[derive(Clone, Debug)]
pub struct Call {
    pub path: String,
    pub entry: usize,
    pub outcome: Outcome,
}

/// A set of running callers.
pub struct Load {
    stopped: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<Call>>>,
}

impl Load {
    /// Starts callers that each send one call at a time, to the entries in turn.
    pub fn start(fleet: &Fleet, callers: usize) -> Self {
        let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.address).collect();
        let stopped = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let caller = |number| {
            let entries = entries.clone();
            let (stopped, answered) = (stopped.clone(), answered.clone());
            thread::spawn(move || run(number, &entries, &stopped, &answered))
        };
        Self {
            callers: (0..callers).map(caller).collect(),
            stopped,
            answered,
        }
    }

    /// Waits until `more` further calls have been answered.
    pub fn await_answers(&self, more: usize) {
        let total = self.answered.load(Ordering::Relaxed) + more;
        await_true("answers", || self.answered.load(Ordering::Relaxed) >= total);
    }

    /// Stops the callers and returns all their calls.
    pub fn stop(self) -> Vec<Call> {
        self.stopped.store(true, Ordering::Relaxed);
        let calls = self.callers.into_iter().flat_map(|c| c.join().unwrap());
        calls.collect()
    }
}

fn run(
    number: usize,
    entries: &[SocketAddr],
    stopped: &AtomicBool,
    answered: &AtomicUsize,
) -> Vec<Call> {
    let mut calls = Vec::new();
    while !stopped.load(Ordering::Relaxed) && calls.len() < MAX_CALLS {
        let path = format!("call/{number}/{}", calls.len());
        let entry = (number + calls.len()) % entries.len();
        let outcome = send(entries[entry], "POST", &path);
        match outcome {
            Outcome::Answered(_) => _ = answered.fetch_add(1, Ordering::Relaxed),
            _ => thread::sleep(RETRY_DELAY),
        }
        calls.push(Call {
            path,
            entry,
            outcome,
        });
    }
    calls
}

/// Sends one call of the plain route to an entry.
pub fn call(entry: &Node, method: &str, path: &str) -> Outcome {
    send(entry.address, method, path)
}

fn send(entry: SocketAddr, method: &str, path: &str) -> Outcome {
    let url = format!("http://{entry}/print/orders/{path}");
    let method = minreq::Method::Custom(method.to_owned());
    let request = minreq::Request::new(method, url)
        .with_header("authorization", format!("Bearer {KEY}"))
        .with_timeout(WAIT_TIMEOUT.as_secs());
    let answer = match request.send() {
        Ok(answer) => answer,
        Err(minreq::Error::IoError(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Outcome::NotConnected;
        }
        Err(e) => return Outcome::Lost(e.to_string()),
    };
    let text = answer.as_str().unwrap_or_default();
    let mut fields = answer.headers.iter();
    let length = fields.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.map(|(_, length)| length.parse());
    if length != Some(Ok(text.len())) {
        return Outcome::Lost(format!(
            "body has {} bytes, content-length is {length:?}",
            text.len()
        ));
    }
    if answer.status_code == 200 {
        return Outcome::Answered(text.to_owned());
    }
    let error: Value = serde_json::from_str(text).unwrap();
    let field = |name: &str| error["error"][name].as_str().unwrap().to_owned();
    Outcome::Failed(field("code"), field("run"))
}

/// Checks the calls against the records of the targets: no call ran twice, each answer belongs to
/// its call, each stated run state is true, and no target received the key.
pub fn verify_calls(fleet: &Fleet, calls: &[Call]) {
    thread::sleep(SETTLE_TIME + HOLD_TIME);
    let executed = count_executions(fleet);
    for call in calls {
        let path = format!("/{}", call.path);
        let runs = executed.get(&path).copied().unwrap_or(0);
        assert!(runs <= 1, "{call:?} ran {runs} times");
        let is_true = match &call.outcome {
            Outcome::Answered(text) => runs == 1 && *text == format!("executed POST {path}"),
            Outcome::Failed(_, run) if run == "not_run" => runs == 0,
            Outcome::Failed(_, run) if run == "ran" => runs == 1,
            Outcome::Failed(_, run) => run == "may_have_run",
            Outcome::NotConnected => runs == 0,
            Outcome::Lost(_) => true,
        };
        assert!(is_true, "{call:?} ran {runs} times");
    }
    assert_no_key(fleet);
}

/// Returns the number of executions of each path, summed over all plain services.
pub fn count_executions(fleet: &Fleet) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for seen in fleet.services.iter().flat_map(|s| s.executed()) {
        *runs.entry(seen.path).or_default() += 1;
    }
    runs
}

/// Checks that no target received the key.
pub fn assert_no_key(fleet: &Fleet) {
    let plain = fleet.services.iter().flat_map(|s| s.executed());
    for seen in plain.chain(fleet.engine.log().requests) {
        assert!(!contains_key(&seen), "a target received the key: {seen:?}");
    }
}

fn contains_key(seen: &ReceivedRequest) -> bool {
    let body = String::from_utf8_lossy(&seen.body);
    let fields = seen.headers.iter().map(String::as_str);
    let mut texts = fields.chain([seen.path.as_str(), body.as_ref()]);
    texts.any(|text| text.contains(KEY))
}

/// Returns the calls without a complete answer.
pub fn unanswered(calls: &[Call]) -> Vec<&Call> {
    let failed = |call: &&Call| !matches!(call.outcome, Outcome::Answered(_));
    calls.iter().filter(failed).collect()
}

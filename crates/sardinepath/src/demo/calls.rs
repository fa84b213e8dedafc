//! Calls of several workspaces: completions, non-idempotent calls and calls that must be refused.

use std::net::SocketAddr;
use std::thread;

use sardinepath_standins::http::ReceivedRequest;

use crate::demo::fleet::Fleet;
use crate::demo::fleet::WORKSPACES;
use crate::demo::report::Summary;

/// Completions that each caller sends.
const COMPLETIONS_PER_CALLER: usize = 20;

/// Number of concurrent callers.
const CALLERS: usize = 6;

/// Number of non-idempotent calls.
const ORDER_COUNT: usize = 30;

/// Timeout of one call in seconds.
pub const CALL_TIMEOUT_SECONDS: u64 = 60;

/// Sends all calls and checks their answers against the records of the targets.
pub fn run(fleet: &Fleet, summary: &mut Summary) {
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| scope.spawn(move || send_completions(fleet.entry(n), n)))
            .collect();
        let orders = scope.spawn(|| send_orders(fleet));
        let mut all = orders.join().unwrap_or_default();
        for caller in callers {
            all.extend(caller.join().unwrap_or_default());
        }
        all
    });
    for outcome in outcomes.into_iter().chain(send_refused(fleet)) {
        summary.requests += 1;
        match outcome {
            Outcome::Answered => summary.answered += 1,
            Outcome::Refused => summary.refused += 1,
            Outcome::Crossed => summary.crossed += 1,
            Outcome::Lost => summary.lost += 1,
        }
    }
    summary.orders = u64::try_from(ORDER_COUNT).unwrap_or(u64::MAX);
    summary.orders_executed = count_executions(fleet);
    summary.keys_seen = count_key_leaks(fleet);
}

/// Result of a call from its caller's point of view.
enum Outcome {
    /// The complete answer to this request.
    Answered,
    /// The refusal that this request must get.
    Refused,
    /// The answer to another request.
    Crossed,
    /// No complete answer, or an unexpected refusal.
    Lost,
}

/// Sends completions, of which every other one is streamed.
fn send_completions(entry: SocketAddr, caller: usize) -> Vec<Outcome> {
    let call = |n: usize| {
        let tag = format!("c{caller}n{n}.");
        let body = serde_json::json!({
            "prompt": format!("The same long beginning of every dream, told at night. tag:{tag} go on"),
            "max_tokens": 8 + n % 16,
            "stream": n.is_multiple_of(2),
        });
        let answer = minreq::post(format!("http://{entry}/press/press.suggest/v1/completions"))
            .with_header("authorization", format!("Bearer {}", WORKSPACES[0].secret))
            .with_body(body.to_string())
            .with_timeout(CALL_TIMEOUT_SECONDS)
            .send();
        classify(answer, &format!("tag:{tag}"), &format!("end:{tag}"))
    };
    (0..COMPLETIONS_PER_CALLER).map(call).collect()
}

/// Sends calls that must not be repeated.
fn send_orders(fleet: &Fleet) -> Vec<Outcome> {
    let call = |n: usize| {
        let entry = fleet.entry(n);
        let answer = minreq::post(format!("http://{entry}/field/dispatch/trucks/{n}"))
            .with_header("x-api-key", WORKSPACES[2].secret)
            .with_timeout(CALL_TIMEOUT_SECONDS)
            .send();
        let text = format!("executed POST /trucks/{n}");
        classify(answer, &text, &text)
    };
    (0..ORDER_COUNT).map(call).collect()
}

/// Sends calls that must be refused: without a key, with an unknown key, with a key of another team
/// and to an unknown route.
fn send_refused(fleet: &Fleet) -> Vec<Outcome> {
    let calls = [
        ("field/dispatch/refused/1", None, 401),
        ("field/dispatch/refused/2", Some("no-such-key-0000"), 401),
        ("field/dispatch/refused/3", Some(WORKSPACES[0].secret), 403),
        ("field/nothing/refused/4", Some(WORKSPACES[2].secret), 404),
    ];
    let call = |(path, key, status): (&str, Option<&str>, u16)| {
        let mut request = minreq::post(format!("http://{}/{path}", fleet.entry(0)));
        if let Some(key) = key {
            request = request.with_header("x-api-key", key);
        }
        match request.with_timeout(CALL_TIMEOUT_SECONDS).send() {
            Ok(answer) if answer.status_code == status => {
                let is_not_run = answer.as_str().is_ok_and(|text| text.contains("not_run"));
                if is_not_run {
                    Outcome::Refused
                } else {
                    Outcome::Lost
                }
            }
            _ => Outcome::Lost,
        }
    };
    calls.into_iter().map(call).collect()
}

/// Classifies an answer by the texts that only the complete answer to this request contains.
fn classify(answer: Result<minreq::Response, minreq::Error>, first: &str, last: &str) -> Outcome {
    match answer {
        Ok(answer) if answer.status_code == 200 => match answer.as_str() {
            Ok(text) if text.contains(first) && text.contains(last) => Outcome::Answered,
            _ => Outcome::Crossed,
        },
        _ => Outcome::Lost,
    }
}

/// Returns the number of executions of non-idempotent calls. A call that ran twice counts twice.
fn count_executions(fleet: &Fleet) -> u64 {
    let logs = fleet.services.iter().flat_map(|service| service.executed());
    let orders = logs.filter(|call| call.path.starts_with("/trucks/"));
    u64::try_from(orders.count()).unwrap_or(u64::MAX)
}

/// Returns the number of calls at targets that contained the secret of a key.
fn count_key_leaks(fleet: &Fleet) -> u64 {
    let services = fleet.services.iter().flat_map(|service| service.executed());
    let engines = fleet
        .engines
        .iter()
        .flat_map(|engine| engine.log().requests);
    let contains_key = |seen: &ReceivedRequest| {
        let body = String::from_utf8_lossy(&seen.body);
        let text = [&seen.path, &seen.headers.join("\n"), &*body].join("\n");
        WORKSPACES.iter().any(|item| text.contains(item.secret))
    };
    u64::try_from(services.chain(engines).filter(contains_key).count()).unwrap_or(u64::MAX)
}

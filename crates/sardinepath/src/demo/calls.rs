//! Callers of several workspaces: completions, calls that may not be repeated, refusals.

use std::net::SocketAddr;
use std::thread;

use sardinepath_standins::http::ReceivedRequest;

use crate::demo::fleet::Fleet;
use crate::demo::fleet::WORKSPACES;
use crate::demo::report::Summary;

/// Completions of each caller.
const COMPLETIONS: usize = 20;

/// Callers that send at the same time.
const CALLERS: usize = 6;

/// Non-idempotent calls.
const ORDERS: usize = 30;

/// Limit of one call in seconds.
pub const CALL_LIMIT: u64 = 60;

/// Sends all calls and compares the answers and the logs of the targets.
pub fn play(fleet: &Fleet, summary: &mut Summary) {
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| scope.spawn(move || complete(fleet.entry(n), n)))
            .collect();
        let orders = scope.spawn(|| order(fleet));
        let mut all = orders.join().unwrap_or_default();
        for caller in callers {
            all.extend(caller.join().unwrap_or_default());
        }
        all
    });
    for outcome in outcomes.into_iter().chain(refusals(fleet)) {
        summary.requests += 1;
        match outcome {
            Outcome::Own => summary.answered += 1,
            Outcome::Refused => summary.refused += 1,
            Outcome::Crossed => summary.crossed += 1,
            Outcome::Lost => summary.lost += 1,
        }
    }
    summary.orders = u64::try_from(ORDERS).unwrap_or(u64::MAX);
    summary.orders_executed = executed(fleet);
    summary.keys_seen = keys_seen(fleet);
}

/// What a caller got.
enum Outcome {
    /// The whole answer to its own request.
    Own,
    /// A refusal that was expected.
    Refused,
    /// An answer to another request.
    Crossed,
    /// Neither.
    Lost,
}

/// Sends completions, every other one streamed.
fn complete(entry: SocketAddr, caller: usize) -> Vec<Outcome> {
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
            .with_timeout(CALL_LIMIT)
            .send();
        judge(answer, &format!("tag:{tag}"), &format!("end:{tag}"))
    };
    (0..COMPLETIONS).map(call).collect()
}

/// Sends calls that may not be repeated.
fn order(fleet: &Fleet) -> Vec<Outcome> {
    let call = |n: usize| {
        let entry = fleet.entry(n);
        let answer = minreq::post(format!("http://{entry}/field/dispatch/trucks/{n}"))
            .with_header("x-api-key", WORKSPACES[2].secret)
            .with_timeout(CALL_LIMIT)
            .send();
        let text = format!("executed POST /trucks/{n}");
        judge(answer, &text, &text)
    };
    (0..ORDERS).map(call).collect()
}

/// Sends calls that have to be refused: without a key, with an unknown key, with a key of another
/// team, and to a route that does not exist.
fn refusals(fleet: &Fleet) -> Vec<Outcome> {
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
        match request.with_timeout(CALL_LIMIT).send() {
            Ok(answer) if answer.status_code == status => {
                let true_refusal = answer.as_str().is_ok_and(|text| text.contains("not_run"));
                if true_refusal {
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

/// Judges an answer by the texts that only the answer to this request has.
fn judge(answer: Result<minreq::Response, minreq::Error>, first: &str, last: &str) -> Outcome {
    match answer {
        Ok(answer) if answer.status_code == 200 => match answer.as_str() {
            Ok(text) if text.contains(first) && text.contains(last) => Outcome::Own,
            _ => Outcome::Crossed,
        },
        _ => Outcome::Lost,
    }
}

/// Counts the executions of non-idempotent calls. A call that ran twice counts twice.
fn executed(fleet: &Fleet) -> u64 {
    let logs = fleet.services.iter().flat_map(|service| service.executed());
    let trucks = logs.filter(|call| call.path.starts_with("/trucks/"));
    u64::try_from(trucks.count()).unwrap_or(u64::MAX)
}

/// Counts the calls in which a target saw a key.
fn keys_seen(fleet: &Fleet) -> u64 {
    let services = fleet.services.iter().flat_map(|service| service.executed());
    let engines = fleet
        .engines
        .iter()
        .flat_map(|engine| engine.log().requests);
    let shows_key = |seen: &ReceivedRequest| {
        let body = String::from_utf8_lossy(&seen.body);
        let text = [&seen.path, &seen.headers.join("\n"), &*body].join("\n");
        WORKSPACES.iter().any(|item| text.contains(item.secret))
    };
    u64::try_from(services.chain(engines).filter(shows_key).count()).unwrap_or(u64::MAX)
}

//! Tests of configuration changes while callers are connected to entries in separate processes.

#![allow(clippy::unwrap_used, missing_docs)]

mod process_support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use sardinepath_core::decision::config::apply::Settled;
use sardinepath_standins::engine::Ending;
use serde_json::Value;
use serde_json::json;

use crate::process_support::Fleet;
use crate::process_support::KEY;
use crate::process_support::WAIT_TIMEOUT;
use crate::process_support::apply;
use crate::process_support::apply_at;
use crate::process_support::await_true;
use crate::process_support::load::Outcome;
use crate::process_support::load::assert_no_key;
use crate::process_support::load::call;
use crate::process_support::node::Node;
use crate::process_support::start_fleet;
use crate::process_support::tree;

/// Maximum time from the withdrawal of a key to the end of its streams on a small fleet.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

/// Time after which the pending watch call of a paused entry has been answered.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// Number of tokens of a streamed answer. At 20 ms per token it takes 80 s unless it is cancelled.
const STREAM_TOKENS: u64 = 4000;

/// Number of rounds in which two operators apply conflicting changes.
const RACE_ROUNDS: usize = 5;

/// Requests a streamed answer and waits for its first token.
fn start_stream(entry: &Node, tag: &str) -> TcpStream {
    let body = json!({"prompt": format!("tag:{tag}"), "max_tokens": STREAM_TOKENS, "stream": true});
    let body = body.to_string();
    let mut stream = TcpStream::connect(entry.address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    write!(
        stream,
        "POST /print/diary/v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    let mut text = String::new();
    while !text.contains(&format!("tag:{tag}")) {
        let mut chunk = [0; 1024];
        let size = stream.read(&mut chunk).unwrap();
        assert!(size > 0, "the stream ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&chunk[..size]));
    }
    stream
}

/// Reads a stream until it ends or its connection breaks.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A broken connection returns an error after the bytes that arrived before it.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn tree_with_withdrawn_key(fleet: &Fleet) -> Value {
    let mut tree = tree(fleet);
    tree["keys"]["app"]["withdrawn"] = json!(true);
    tree
}

/// Guards against streams that outlive the withdrawal of their key on any entry, and against
/// engines that go on generating for them.
#[test]
fn withdrawn_key_ends_running_streams_on_all_entries() {
    let fleet = start_fleet("withdrawn", 2, 1);
    let streams = fleet.entries.iter().enumerate();
    let streams: Vec<_> = streams
        .map(|(i, entry)| start_stream(entry, &format!("stream-{i}")))
        .collect();

    apply(&fleet, "withdrawn", &tree_with_withdrawn_key(&fleet)).unwrap();
    let applied = Instant::now();
    let answers: Vec<_> = streams.into_iter().map(read_to_end).collect();
    let elapsed = applied.elapsed();

    assert!(elapsed < WITHDRAWAL_LIMIT, "took {elapsed:?}");
    for text in &answers {
        assert!(text.contains("key_withdrawn"), "{text}");
        assert!(!text.contains("[DONE]"), "{text}");
    }
    await_true("the engine to cancel", || {
        let executions = fleet.engine.log().executions;
        executions.len() == 2 && executions.iter().all(|e| e.ending == Ending::Cancelled)
    });
    for entry in &fleet.entries {
        let refused = Outcome::Failed("bad_key".to_owned(), "not_run".to_owned());
        assert_eq!(call(entry, "GET", "after"), refused);
    }
    assert_no_key(&fleet);
}

/// Guards against an entry that, after a pause, accepts a key that was withdrawn during the pause.
#[test]
fn entry_that_was_paused_never_serves_a_key_withdrawn_meanwhile() {
    let fleet = start_fleet("paused-withdrawn", 2, 1);
    fleet.entries[0].signal(Signal::STOP);
    // Lets the pending watch call return first. Otherwise its answer, buffered in a socket of the
    // paused entry, would already contain the withdrawal.
    thread::sleep(WATCH_WAIT);
    apply(&fleet, "withdrawn", &tree_with_withdrawn_key(&fleet)).unwrap();
    let address = fleet.entries[0].address;
    let calls = (0..8).map(|i| {
        let url = format!("http://{address}/print/orders/paused/{i}");
        thread::spawn(move || {
            minreq::get(url)
                .with_header("authorization", format!("Bearer {KEY}"))
                .with_timeout(WAIT_TIMEOUT.as_secs())
                .send()
                .unwrap()
                .status_code
        })
    });
    let calls: Vec<_> = calls.collect();
    thread::sleep(Duration::from_secs(7));

    fleet.entries[0].signal(Signal::CONT);
    let statuses: Vec<_> = calls.into_iter().map(|c| c.join().unwrap()).collect();

    assert!(
        statuses.iter().all(|s| [401, 503].contains(s)),
        "{statuses:?}"
    );
    let executed = fleet.services[0].executed();
    assert!(!executed.iter().any(|seen| seen.path.contains("paused")));
}

/// Guards against two operators who are both told that their conflicting change was applied, and
/// against entries that ever use the rejected change.
#[test]
fn race_of_two_operators_has_one_winner_on_all_entries() {
    let fleet = start_fleet("race", 2, 1);
    for round in 1..=RACE_ROUNDS {
        let names = [format!("first-{round}"), format!("second-{round}")];
        let trees = names.each_ref().map(|name| {
            let mut tree = tree(&fleet);
            tree["routes"][name] =
                json!({"pool": "orders", "access": {"workspaces": ["dream-diary"]}});
            tree
        });
        let base = json!({"print": round});

        let won: Vec<bool> = thread::scope(|scope| {
            let operators = names.iter().zip(&trees).map(|(name, tree)| {
                let (fleet, base) = (&fleet, base.clone());
                scope.spawn(move || is_applied(fleet, name, tree, base))
            });
            let operators: Vec<_> = operators.collect();
            operators.into_iter().map(|o| o.join().unwrap()).collect()
        });

        assert_eq!(won.iter().filter(|won| **won).count(), 1, "{won:?}");
        let (winner, loser) = if won[0] { (0, 1) } else { (1, 0) };
        for entry in &fleet.entries {
            await_true("the winner's route", || {
                assert_eq!(status(entry, &names[loser]), 404);
                status(entry, &names[winner]) == 200
            });
            assert_eq!(status(entry, &names[loser]), 404);
        }
    }
}

/// Applies declarations and returns `true` if they were reported as applied.
fn is_applied(fleet: &Fleet, name: &str, tree: &Value, base: Value) -> bool {
    let applied = apply_at(fleet, name, tree, base);
    applied.is_ok_and(|applied| {
        let settled = applied.teams.first().and_then(|team| team.settled.as_ref());
        matches!(settled, Some(Settled::Applied(_)))
    })
}

fn status(entry: &Node, route: &str) -> u16 {
    let url = format!("http://{}/print/{route}/x", entry.address);
    let request = minreq::get(url).with_header("authorization", format!("Bearer {KEY}"));
    let answer = request.with_timeout(WAIT_TIMEOUT.as_secs()).send().unwrap();
    answer.status_code
}

//! Attempts that fail between caller and target, judged by what the targets executed.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod request_support;

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use request_support::KEY;
use request_support::RequestPath;
use request_support::read_until;
use request_support::start_agent;
use request_support::start_path;
use request_support::wait_until;
use sardinepath_standins::relay::Direction;

/// Posts in the background, calls `act` once the target has started the call, and returns the
/// status and body.
fn post_and_act(path: &RequestPath, route: &str, rest: &str, act: impl FnOnce()) -> (i32, String) {
    thread::scope(|scope| {
        let answer = scope.spawn(|| path.post(route, rest));
        wait_until("the target runs the call", || path.count_runs(rest) > 0);
        act();
        answer.join().unwrap()
    })
}

/// Asserts that a call failed after it ran once, and that the answer says that it may have run.
fn assert_may_have_run(path: &RequestPath, answer: &(i32, String), rest: &str) {
    assert!(matches!(answer.0, 502 | 504), "{answer:?}");
    assert!(answer.1.contains("\"run\":\"may_have_run\""), "{answer:?}");
    assert_eq!(path.count_runs(rest), 1);
}

/// Guards against a truncated or malformed answer, or the answer to another request, that is
/// accepted as complete, and against a second run of the call after it.
#[test]
fn broken_answers_fail_and_do_not_run_again() {
    let path = start_path(1);
    for rest in ["truncated/1", "unframed/1", "crash/1", "crossed/1"] {
        let answer = path.post("once", rest);

        assert_may_have_run(&path, &answer, rest);
    }
}

/// Guards against an error answer of a target that is treated as a failure of the attempt, so that
/// the call is repeated or the answer replaced.
#[test]
fn error_answers_of_targets_reach_the_caller() {
    let path = start_path(1);

    let answers = ["error/1", "plain503/1"].map(|rest| path.post("again", rest));

    assert_eq!(answers[0], (500, "{\"error\":\"mine\"}".to_owned()));
    assert_eq!(answers[1], (503, "ran".to_owned()));
    assert_eq!(
        (path.count_runs("error/1"), path.count_runs("plain503/1")),
        (1, 1)
    );
}

/// Guards against an error answer to a streaming call that is reported as a truncated stream.
#[test]
fn error_answer_to_a_streaming_call_reaches_the_caller() {
    let path = start_path(1);

    let answer = read_until(&mut path.open_stream("again", "error/1"), "mine");

    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
}

/// Guards against a non-idempotent call that fails although the target refused it before it
/// started, so that another attempt is safe.
#[test]
fn refusal_before_the_start_is_repeated() {
    let path = start_path(1);
    path.targets[0].log.busy.store(2, Ordering::SeqCst);

    let answer = path.post("once", "busy/1");

    assert_eq!(answer, (200, "ran /busy/1".to_owned()));
    assert_eq!(path.count_runs("busy/1"), 1);
}

/// Guards against answers that reach the wrong caller when many calls are answered late at the same
/// time.
#[test]
fn concurrent_late_answers_reach_their_callers() {
    let path = start_path(2);
    for relay in &path.relays {
        relay.delay(Duration::from_millis(20));
    }

    let answers: Vec<_> = thread::scope(|scope| {
        let path = &path;
        let calls: Vec<_> = (0..16)
            .map(|n| scope.spawn(move || path.post("once", &format!("late/{n}"))))
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });

    for (n, answer) in answers.into_iter().enumerate() {
        assert_eq!(answer, (200, format!("late /late/{n}")));
        assert_eq!(path.count_runs(&format!("/late/{n} ")), 1);
    }
}

/// Guards against an answer that says `not_run`, and against a second run, after the agent was
/// killed while the target ran the call.
#[test]
fn agent_killed_during_a_call() {
    let mut path = start_path(1);
    let agent = path.agents.pop();

    let answer = post_and_act(&path, "once", "late/1", || drop(agent));

    assert_may_have_run(&path, &answer, "late/1");
}

/// Guards against a call that runs or is answered as successful although its agent was killed
/// before.
#[test]
fn agent_killed_before_a_call() {
    let mut path = start_path(1);
    path.agents.clear();
    path.relays[0].cut();

    let answer = path.post("hasty", "plain/1");

    assert!(answer.0 >= 500, "{answer:?}");
    assert_eq!(path.count_runs("plain/1"), 0);
}

/// Guards against an idempotent call that fails although its agent was restarted before the retry,
/// and against a non-idempotent call that is retried there.
#[test]
fn agent_restarted_between_an_attempt_and_its_retry() {
    for (route, status, runs) in [("again", 200, 2), ("once", 502, 1)] {
        let mut path = start_path(1);
        let agent = path.agents.pop();
        let next = start_agent(path.targets[0].address, 0);

        let answer = post_and_act(&path, route, "late/1", || {
            // The connection is cut before the agent ends, so that the retry is not cut too.
            path.relays[0].redirect(next.address);
            path.relays[0].cut();
            drop(agent);
        });

        assert_eq!(answer.0, status, "{answer:?}");
        assert_eq!(path.count_runs("late/1"), runs);
        assert_eq!(answer.1.contains("may_have_run"), status != 200);
    }
}

/// Guards against a call that never ends because its connection delivers nothing in one direction,
/// and against a second run of a non-idempotent call. An idempotent call is repeated on a new
/// connection.
#[test]
fn silent_connections_are_found_in_both_directions() {
    for direction in [Direction::Forward, Direction::Backward] {
        for route in ["once", "again"] {
            let path = start_path(1);
            path.relays[0].freeze(direction);

            let answer = path.post(route, "plain/1");

            if route == "again" {
                assert_eq!(answer, (200, "ran /plain/1".to_owned()));
            } else {
                assert!(matches!(answer.0, 502 | 504), "{answer:?}");
                assert!(answer.1.contains("may_have_run"), "{answer:?}");
                assert!(path.count_runs("plain/1") <= 1);
            }
        }
    }
}

/// Guards against work that continues at the target after the caller closed its connection, before
/// the answer or during a stream.
#[test]
fn target_work_is_cancelled_when_the_caller_hangs_up() {
    let path = start_path(1);
    for rest in ["hang/1", "endless/1"] {
        let mut stream = path.open_stream("once", rest);
        wait_until("the target runs the call", || path.count_runs(rest) == 1);
        if rest.starts_with("endless") {
            read_until(&mut stream, "first");
        }

        stream.shutdown(Shutdown::Both).unwrap();
        drop(stream);

        let log = &path.targets[0].log;
        wait_until("the call is cancelled", || {
            log.cancelled
                .lock()
                .unwrap()
                .iter()
                .any(|p| p.contains(rest))
        });
        assert_eq!(path.count_runs(rest), 1);
    }
}

/// Guards against a second answer to one call that is read as the answer to the next call on the
/// connection.
#[test]
fn doubled_answers_do_not_reach_the_next_call() {
    let path = start_path(1);

    let answers = ["doubled/1", "plain/2", "doubled/3"].map(|rest| path.post("again", rest));

    let texts = answers.map(|answer| answer.1);
    assert_eq!(
        texts,
        ["1 of /doubled/1", "ran /plain/2", "1 of /doubled/3"]
    );
}

/// Guards against work that continues at the target after the entry was killed.
#[test]
fn target_work_is_cancelled_when_the_entry_dies() {
    let path = start_path(1);
    let mut stream = path.open_stream("once", "endless/1");
    read_until(&mut stream, "first");

    drop(path.entry);

    let log = &path.targets[0].log;
    wait_until("the call is cancelled", || {
        !log.cancelled.lock().unwrap().is_empty()
    });
}

/// Guards against a stream that continues after its key was withdrawn, because events arrive
/// without a pause in which the withdrawal is noticed.
#[test]
fn withdrawn_key_ends_a_steady_stream() {
    let path = start_path(1);
    let mut stream = path.open_stream("again", "firehose/1");
    read_until(&mut stream, "more");

    path.withdraw_key();
    let answer = read_until(&mut stream, "key_withdrawn");

    assert!(answer.contains("event: error"));
    assert_eq!(path.post("again", "plain/2").0, 401);
    assert_eq!(path.count_runs("plain/2"), 0);
}

/// Guards against a deadline that each event of a stream extends, and against work that continues
/// at the target after the deadline.
#[test]
fn deadline_ends_a_stream_and_its_work() {
    let path = start_path(1);
    let mut stream = path.open_stream("hasty", "endless/1");

    let answer = read_until(&mut stream, "deadline_passed");

    assert!(answer.contains("event: error"), "{answer}");
    let log = &path.targets[0].log;
    wait_until("the call is cancelled", || {
        !log.cancelled.lock().unwrap().is_empty()
    });
}

/// Guards against a key that is passed on to the target in a header, path or body, as plain text,
/// percent-encoded or with JSON escapes.
#[test]
fn target_never_sees_the_key() {
    let path = start_path(1);
    let escaped: String = KEY.bytes().map(|b| format!("\\u{b:04X}")).collect();
    let percent: String = KEY.bytes().map(|b| format!("%{b:02x}")).collect();

    let valid = path.post("once", "plain/1");
    let statuses = [
        post_raw(
            path.entry.address,
            &format!("x-request-tag: {percent}\r\n"),
            "/",
            "",
        ),
        post_raw(path.entry.address, "", &format!("/a?k={percent}"), ""),
        post_raw(
            path.entry.address,
            "",
            "/",
            &format!("{{\"a\":\"{escaped}\""),
        ),
        post_raw(path.entry.address, &format!("{KEY}: x\r\n"), "/", ""),
        post_raw(
            path.entry.address,
            &format!("cookie: k={KEY}\r\nx-api-key: {KEY}\r\n"),
            "/",
            "",
        ),
    ];

    assert_eq!(valid.0, 200);
    let executed = path.targets[0].log.executed.lock().unwrap().join("\n");
    assert!(executed.contains("/plain/1"));
    for form in [KEY, &percent, &escaped] {
        assert!(!executed.contains(form), "{executed}");
    }
    assert_eq!(statuses, ["400", "400", "400", "400", "200"]);
}

/// Posts with the key and additional header lines, and returns the status.
fn post_raw(entry: SocketAddr, fields: &str, rest: &str, body: &str) -> String {
    let mut stream = std::net::TcpStream::connect(entry).unwrap();
    stream
        .set_read_timeout(Some(request_support::WAIT_TIMEOUT))
        .unwrap();
    let length = body.len();
    let head = format!("POST /print/again{rest} HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n");
    let call = format!("{head}{fields}content-length: {length}\r\n\r\n{body}");
    stream.write_all(call.as_bytes()).unwrap();
    let answer = read_until(&mut stream, "\r\n");
    answer.split(' ').nth(1).unwrap().to_owned()
}

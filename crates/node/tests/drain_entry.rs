//! Drain of an entry.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod fixture;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::decision::process::DrainEnd;

use crate::fixture::WAIT_TIMEOUT;
use crate::fixture::call_on;
use crate::fixture::drain_entry;
use crate::fixture::fetch;
use crate::fixture::get;
use crate::fixture::set_delay;
use crate::fixture::start_fleet;
use crate::fixture::wait_for;
use crate::fixture::wait_for_slow_calls;

/// Duration of slow calls. It is longer than the time for which a draining entry refuses requests
/// before it closes idle connections.
const SLOW_DELAY: Duration = Duration::from_secs(5);

/// Guards against a drain that aborts running requests.
#[test]
fn drain_lets_running_requests_finish() {
    let fleet = start_fleet(1);
    set_delay(&fleet, SLOW_DELAY);

    let (answers, end) = thread::scope(|scope| {
        let call = |i| {
            scope.spawn({
                let fleet = &fleet;
                move || get(fleet, &format!("slow/{i}")).unwrap()
            })
        };
        let calls: Vec<_> = (0..8).map(call).collect();
        wait_for_slow_calls(&fleet, 8);
        let end = drain_entry(&fleet, WAIT_TIMEOUT);
        let answers = calls.into_iter().map(|call| call.join().unwrap());
        (answers.collect::<Vec<_>>(), end)
    });

    let expected = |i| (200, format!("executed GET /slow/{i}"));
    assert_eq!(answers, (0..8).map(expected).collect::<Vec<_>>());
    assert_eq!(end, DrainEnd::Finished);
    assert!(TcpStream::connect(fleet.address).is_err());
}

/// Guards against a request on a persistent connection that is executed during the drain, or whose
/// connection is closed without an answer.
#[test]
fn kept_connection_is_told_that_the_entry_drains() {
    let fleet = start_fleet(1);
    let mut kept = TcpStream::connect(fleet.address).unwrap();
    let first = call_on(&mut kept, "before");

    let second = thread::scope(|scope| {
        scope.spawn(|| drain_entry(&fleet, WAIT_TIMEOUT));
        let ready = format!("http://{}/readyz", fleet.admin);
        wait_for("the start of the drain", || fetch(&ready).unwrap().0 == 503);
        call_on(&mut kept, "during")
    });

    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    assert!(second.starts_with("HTTP/1.1 503"), "{second}");
    assert!(second.contains("\"draining\"") && second.contains("\"not_run\""));
    assert!(second.contains("connection: close"));
    let executed = fleet.services[0].executed();
    assert!(executed.iter().all(|call| call.path != "/during"));
}

/// Guards against requests during the drain that get neither a complete answer nor a refusal,
/// because their connection is closed.
#[test]
fn load_during_the_drain_is_answered_or_refused() {
    let fleet = start_fleet(1);
    // The calls end before the entry closes its listener, which resets the connections that wait
    // there.
    let (start, end) = (Instant::now(), Duration::from_secs(1));

    let answers = thread::scope(|scope| {
        let caller = || {
            let mut answers = Vec::new();
            while start.elapsed() < end && answers.len() < 2_000 {
                answers.push(get(&fleet, "load"));
            }
            answers
        };
        let callers: Vec<_> = (0..4).map(|_| scope.spawn(caller)).collect();
        thread::sleep(Duration::from_millis(300));
        scope.spawn(|| drain_entry(&fleet, WAIT_TIMEOUT));
        let answers = callers.into_iter().flat_map(|c| c.join().unwrap());
        answers.collect::<Vec<_>>()
    });

    let status =
        |wanted| move |a: &Result<(u16, String), _>| a.as_ref().is_ok_and(|a| a.0 == wanted);
    let served = answers.iter().filter(|a| status(200)(a)).count();
    let refused = answers.iter().filter(|a| status(503)(a)).count();
    assert!(
        served > 0 && refused > 0,
        "{served} served, {refused} refused"
    );
    assert_eq!(served + refused, answers.len());
}

/// Guards against a drain that never ends because a request does not end.
#[test]
fn drain_limit_ends_the_drain() {
    let fleet = start_fleet(1);
    set_delay(&fleet, Duration::from_secs(8));

    let (end, answer) = thread::scope(|scope| {
        let call = scope.spawn(|| get(&fleet, "slow/1"));
        wait_for_slow_calls(&fleet, 1);
        let end = drain_entry(&fleet, Duration::from_secs(1));
        (end, call.join().unwrap())
    });

    assert_eq!(end, DrainEnd::LimitReached);
    // The call has started at the target, so an answer may be missing but must not say `not_run`.
    if let Ok((status, text)) = answer {
        assert_eq!(status, 503, "{text}");
        assert!(text.contains("\"may_have_run\""), "{text}");
    }
}

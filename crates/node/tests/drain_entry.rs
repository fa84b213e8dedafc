//! Drain of an entry.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod fixture;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::decision::process::DrainEnd;

use crate::fixture::WAIT_LIMIT;
use crate::fixture::await_slow;
use crate::fixture::await_true;
use crate::fixture::call_on;
use crate::fixture::end_entry;
use crate::fixture::fetch;
use crate::fixture::get;
use crate::fixture::set_delay;
use crate::fixture::start_fleet;

/// Longer than the time for which a draining entry refuses before it closes idle connections.
const DELAY: Duration = Duration::from_secs(5);

/// Guards against a drain that cuts running requests.
#[test]
fn drain_lets_running_requests_finish() {
    let fleet = start_fleet(1);
    set_delay(&fleet, DELAY);

    let (answers, end) = thread::scope(|scope| {
        let call = |i| {
            scope.spawn({
                let fleet = &fleet;
                move || get(fleet, &format!("slow/{i}")).unwrap()
            })
        };
        let calls: Vec<_> = (0..8).map(call).collect();
        await_slow(&fleet, 8);
        let end = end_entry(&fleet, WAIT_LIMIT);
        let answers = calls.into_iter().map(|call| call.join().unwrap());
        (answers.collect::<Vec<_>>(), end)
    });

    let expected = |i| (200, format!("executed GET /slow/{i}"));
    assert_eq!(answers, (0..8).map(expected).collect::<Vec<_>>());
    assert_eq!(end, DrainEnd::Finished);
    assert!(TcpStream::connect(fleet.address).is_err());
}

/// Guards against a request on a kept connection that is cut or runs during the drain.
#[test]
fn kept_connection_is_told_that_the_entry_drains() {
    let fleet = start_fleet(1);
    let mut kept = TcpStream::connect(fleet.address).unwrap();
    let first = call_on(&mut kept, "before");

    let second = thread::scope(|scope| {
        scope.spawn(|| end_entry(&fleet, WAIT_LIMIT));
        let ready = format!("http://{}/readyz", fleet.admin);
        await_true("the drain", || fetch(&ready).unwrap().0 == 503);
        call_on(&mut kept, "during")
    });

    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    assert!(second.starts_with("HTTP/1.1 503"), "{second}");
    assert!(second.contains("\"draining\"") && second.contains("\"not_run\""));
    assert!(second.contains("connection: close"));
    let executed = fleet.services[0].executed();
    assert!(executed.iter().all(|call| call.path != "/during"));
}

/// Guards against a request under load that gets neither a whole answer nor a refusal.
#[test]
fn load_during_the_drain_is_answered_or_refused() {
    let fleet = start_fleet(1);
    // The calls end before the listener is closed, which resets connections in its queue.
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
        scope.spawn(|| end_entry(&fleet, WAIT_LIMIT));
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

/// Guards against a drain that never ends because a request does not.
#[test]
fn drain_limit_ends_the_drain() {
    let fleet = start_fleet(1);
    set_delay(&fleet, Duration::from_secs(8));

    let (end, answer) = thread::scope(|scope| {
        let call = scope.spawn(|| get(&fleet, "slow/1"));
        await_slow(&fleet, 1);
        let end = end_entry(&fleet, Duration::from_secs(1));
        (end, call.join().unwrap())
    });

    assert_eq!(end, DrainEnd::LimitReached);
    // The target has begun, so the answer may be missing but must not deny that.
    if let Ok((status, text)) = answer {
        assert_eq!(status, 503, "{text}");
        assert!(text.contains("\"may_have_run\""), "{text}");
    }
}

//! Bounds on the requests at a target in any span of time, not only in whole seconds.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time::Duration;

use proptest::collection::vec;
use proptest::prop_assert;
use proptest::proptest;
use sardinepath_core::decision::opening::COUNTED_VALIDITY;
use sardinepath_core::decision::opening::Sends;
use sardinepath_core::decision::permit::Bucket;
use sardinepath_core::decision::permit::Share;
use sardinepath_core::domain::limit::RequestLimit;
use sardinepath_core::domain::time::Time;

/// Longest time from the choice of a target to the arrival of the request, in milliseconds.
const LATEST_ARRIVAL: u64 = 100 + COUNTED_VALIDITY.as_millis() as u64;

/// Returns the largest number of times in any span of this length.
fn most_within(times: &[u64], span: u64) -> usize {
    let within = |start: &u64| {
        let end = start + span;
        times
            .iter()
            .filter(|at| (*start..end).contains(*at))
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

proptest! {
    /// Fails if requests whose targets were chosen in different seconds arrive within the same one and
    /// are more than the share together.
    #[test]
    fn a_share_holds_in_any_second(steps in vec((0_u64..300, 0..=LATEST_ARRIVAL), 1..200), share in 1_u32..20) {
        let mut sends = Sends::default();
        let mut now = 0;
        let mut arrivals = Vec::new();
        for (wait, delay) in steps {
            now += wait;
            if sends.count(Time(now)) < share {
                sends.record(Time(now));
                arrivals.push(now + delay);
            }
        }

        prop_assert!(most_within(&arrivals, 1_000) <= share as usize);
    }

    /// Fails if a granter gives more permits in a span than the rate allows with one burst.
    #[test]
    fn permits_hold_in_any_span(steps in vec((0_u64..400, 1_u32..6), 1..200), rate in 0.2_f64..50.0, span in 200_u64..5_000) {
        let share = Share::new(RequestLimit::new(rate).unwrap(), 0).unwrap();
        let mut bucket = Bucket::new(Time(0));
        let mut now = 0;
        let mut permits = Vec::new();
        for (wait, count) in steps {
            now += wait;
            let (taken, _) = bucket.take(Time(now), share, count, false);
            permits.extend((0..taken).map(|_| now));
        }

        let burst = 2.0_f64.max(rate * Duration::from_millis(200).as_secs_f64());
        let most = rate * Duration::from_millis(span).as_secs_f64() + burst;
        prop_assert!(most_within(&permits, span) as f64 <= most + 1e-6);
    }
}

//! Items that no target can do, to which each target gives the same answer.

use std::collections::BTreeMap;

use http::StatusCode;

use crate::run::Run;

/// First letter of the names of the jobs that have such items.
pub(crate) const FAILING_JOB: char = 'f';

/// Number of failed attempts that the route allows an item (`maxAttempts`).
pub(crate) const MAX_ATTEMPTS: usize = 3;

/// Number of answers after which an item must not reach a target again, for items that fail.
const MAX_FAILURES: usize = 3 * MAX_ATTEMPTS;

/// The same for items that can never be done.
const MAX_IMPOSSIBLE: usize = 3;

/// Returns the answer of each target to an item that it cannot do, or `None` for other requests.
pub(crate) fn failing_status(id: &str) -> Option<StatusCode> {
    let (job, item) = id.split_once('.')?;
    let number = job.strip_prefix(FAILING_JOB)?;
    match item {
        _ if number.parse::<u64>().is_err() => None,
        "0" => Some(StatusCode::INTERNAL_SERVER_ERROR),
        "1" => Some(StatusCode::UNPROCESSABLE_ENTITY),
        _ => None,
    }
}

impl Run {
    /// Checks that items which always fail were not sent again and again by one runner after the other.
    pub(crate) fn check_failing(&mut self) {
        let mut failures: BTreeMap<String, usize> = BTreeMap::new();
        for target in &self.targets {
            for (id, count) in target.log().failures {
                *failures.entry(id).or_default() += count;
            }
        }
        for (id, count) in failures {
            let most = match failing_status(&id) {
                Some(StatusCode::UNPROCESSABLE_ENTITY) => MAX_IMPOSSIBLE,
                _ => MAX_FAILURES,
            };
            if count > most {
                let fault = format!("{id}: sent again until it had failed {count} times");
                self.faults.push(fault);
            }
        }
    }
}

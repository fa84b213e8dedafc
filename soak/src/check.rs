//! Checks of the guarantees at the end of a run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::callers::CRASHING_ID;
use crate::callers::Callers;
use crate::fleet::Reports;
use crate::run::Run;
use crate::target::TargetLog;
use crate::target::TargetStandIn;

/// Time within which gateways that reach the store must know of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of times that targets may get a request after it has crashed three of them.
const MAX_LATE_RETRIES: usize = 3;

impl Run {
    /// Compares the observations of the callers with the logs of the targets and the usage reports.
    pub(crate) fn check_guarantees(&mut self, callers: &Callers, reports: &Reports) {
        let mut seen = callers.observations();
        let mut faults = std::mem::take(&mut seen.faults);
        for target in &self.targets {
            let log = target.log();
            for id in &seen.refused {
                if log.runs.contains_key(id) {
                    faults.push(format!("{id}: reported as not run, but it ran"));
                }
            }
            for id in log.runs.keys() {
                let job = id.split('.').next().unwrap_or("");
                if seen.refused_jobs.iter().any(|name| name == job) {
                    faults.push(format!("{id}: ran although its job was always refused"));
                }
            }
            faults.extend(
                log.leaked_keys
                    .iter()
                    .map(|id| format!("{id}: a key reached a target")),
            );
            faults.extend(
                log.late_requests
                    .iter()
                    .map(|late| format!("sent to a target that had said that it leaves: {late:?}")),
            );
            for pair in log.orders.windows(2) {
                let (first, second) = (&pair[0], &pair[1]);
                if second.1 < first.1 || (second.1 == first.1 && second.0 != first.0) {
                    faults.push(format!("orders of two holders: {first:?}, {second:?}"));
                }
            }
        }
        faults.extend(repeated_runs(&self.targets));
        let mut figures: BTreeMap<u64, _> = BTreeMap::new();
        for (window, _, _, counts) in reports {
            if figures.entry(*window).or_insert(counts) != &counts {
                faults.push(format!(
                    "window {window} was reported with different figures"
                ));
            }
        }
        self.faults.extend(faults);
    }

    /// Checks that targets hardly get a request any more which has crashed three of them, once all
    /// gateways had contact to the store for a while after the faults ended.
    pub(crate) fn check_crashes(&mut self, healed: Instant) {
        let logs: Vec<TargetLog> = self.targets.iter().map(|target| target.log()).collect();
        let crashes = logs.iter().flat_map(|log| log.crashes.iter().copied());
        let mut crashes: Vec<Instant> = crashes.collect();
        crashes.sort();
        let Some(third) = crashes.get(2) else {
            return;
        };
        let known = healed.max(*third) + CONTACT_TIME;
        let runs = logs.iter().flat_map(|log| &log.runs);
        let crashing = runs.filter(|(id, _)| id.starts_with(CRASHING_ID));
        let late = crashing
            .flat_map(|(_, times)| times)
            .filter(|at| **at > known);
        let late = late.count();
        if late > MAX_LATE_RETRIES {
            let count = crashes.len();
            self.faults.push(format!(
                "a request that crashed {count} targets was sent {late} times more"
            ));
        }
    }
}

/// Returns a fault for each request to an unsafe route that was executed more than once.
fn repeated_runs(targets: &[Arc<TargetStandIn>]) -> Vec<String> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for target in targets {
        for (id, times) in target.log().runs {
            if id.starts_with("once") {
                *runs.entry(id).or_default() += times.len();
            }
        }
    }
    let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
    repeated
        .map(|(id, count)| format!("{id}: ran {count} times"))
        .collect()
}

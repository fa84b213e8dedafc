//! State of one target as seen by an entry: load, health and cached prefixes.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use slotmap::new_key_type;

use crate::domain::error::ErrorKind;
use crate::domain::target::Report;
use crate::domain::target::ServingState;
use crate::domain::time::Time;

/// Age of the last report beyond which a target is not chosen. Reports come every second.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay after which reports include a start or an end at the target. It covers the delay of the
/// engine, the polling interval of the agent and the transfer to the entry.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Number of consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Duration of the first ejection. It doubles with each consecutive one.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Duration of the slow start, in which the limit of a target grows to its full capacity after
/// a restart, a change of weights or an ejection.
const SLOW_START_WINDOW: Duration = Duration::from_secs(10);

/// Ratio of the limit to the capacity at the beginning of a slow start.
const SLOW_START_RATIO: f64 = 0.1;

/// Maximum number of prefix hashes kept for one target. The oldest ones are dropped first.
const MAX_PREFIXES: usize = 4096;

/// Number of slots assumed for a target that reports no capacity.
const DEFAULT_CAPACITY: u32 = 16;

new_key_type! {
    /// Identifies a target within one entry.
    pub(super) struct TargetKey;
}

/// Health of a target according to the outcome of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Gets requests. The number counts consecutive failures.
    Healthy(u32),
    /// Gets no requests until the given time. The number counts consecutive ejections.
    Ejected(Time, u32),
    /// Gets one request that probes it after an ejection. The number counts consecutive ejections.
    Probing(u32),
}

/// State of one target.
#[derive(Debug)]
pub(super) struct Target {
    report: Option<(Time, Report)>,
    health: Health,
    /// Number of requests of this entry that run on the target.
    own: u32,
    /// Starts (`true`) and ends (`false`) of this entry's requests that the last report may not
    /// include.
    recent: VecDeque<(Time, bool)>,
    /// Number of starts minus number of ends in `recent`. It is kept up to date because summing in
    /// each choice cost more than the choice itself.
    unreported: i64,
    /// Beginning of the last slow start, or `None` if there was none.
    warming_since: Option<Time>,
    prefixes: HashSet<u64>,
    prefix_order: VecDeque<u64>,
}

impl Default for Target {
    fn default() -> Self {
        Self {
            report: None,
            health: Health::Healthy(0),
            own: 0,
            recent: VecDeque::new(),
            unreported: 0,
            warming_since: None,
            prefixes: HashSet::new(),
            prefix_order: VecDeque::new(),
        }
    }
}

impl Target {
    /// Applies a report.
    pub(super) fn handle_report(&mut self, now: Time, report: Report) {
        let known = self.report.as_ref().map(|(_, old)| old);
        let restarted = known.is_none_or(|old| old.incarnation != report.incarnation);
        let swapped = known.is_some_and(|old| old.version != report.version);
        if restarted {
            self.health = Health::Healthy(0);
        }
        // The first report is not a restart, or a new entry would throttle the whole fleet.
        if (restarted || swapped) && known.is_some() {
            self.warming_since = Some(now);
        }
        if restarted || report.cache_gap {
            self.prefixes.clear();
            self.prefix_order.clear();
        }
        for hash in &report.evicted {
            self.prefixes.remove(hash);
        }
        self.add_prefixes(&report.cached);
        let shown = |time: &Time| *time + REPORT_LAG <= now;
        while let Some((_, start)) = self.recent.pop_front_if(|(time, _)| shown(time)) {
            self.unreported -= if start { 1 } else { -1 };
        }
        self.report = Some((now, report));
    }

    /// Returns `true` if a recent report shows that the target is serving.
    pub(super) fn is_serving(&self, now: Time) -> bool {
        self.fresh_report(now)
            .is_some_and(|report| report.state == ServingState::Serving)
    }

    /// Returns the last report, or `None` if it is too old.
    pub(super) fn fresh_report(&self, now: Time) -> Option<&Report> {
        let (_, report) = self.report.as_ref()?;
        (now < self.valid_until()).then_some(report)
    }

    /// Returns the time until which the last report is valid.
    pub(super) fn valid_until(&self) -> Time {
        let time = self.report.as_ref().map_or(Time(0), |(time, _)| *time);
        time + REPORT_TIMEOUT
    }

    /// Marks the last report as too old.
    pub(super) fn expire_report(&mut self) {
        if let Some((time, _)) = &mut self.report {
            *time = Time(0);
        }
    }

    /// Returns the estimated number of requests at the target: the last report, corrected by the
    /// starts and ends that it may not include, and at least the running requests of this entry.
    pub(super) fn load(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |(_, report)| {
            i64::from(report.running) + i64::from(report.queued)
        });
        let estimate = (reported + self.unreported).max(i64::from(self.own));
        u32::try_from(estimate).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests of this entry that run on the target.
    pub(super) fn own_running(&self) -> u32 {
        self.own
    }

    /// Returns the maximum number of requests at the target, which is lower during a slow start.
    pub(super) fn limit(&self, now: Time) -> u32 {
        let reported = self.report.as_ref().map_or(0, |(_, r)| r.capacity);
        let capacity = if reported == 0 {
            DEFAULT_CAPACITY
        } else {
            reported
        };
        let share = match (self.health, self.warming_since) {
            (Health::Probing(_), _) => return 1,
            (_, Some(since)) => now.since(since).as_secs_f64() / SLOW_START_WINDOW.as_secs_f64(),
            (_, None) => 1.0,
        };
        let share = share.clamp(SLOW_START_RATIO, 1.0);
        // A capacity fits f64 exactly, and the product is at most the capacity.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = (f64::from(capacity) * share).ceil() as u32;
        limit.max(1)
    }

    /// Returns `true` while the target is ejected.
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        matches!(self.health, Health::Ejected(until, _) if now < until)
    }

    /// Records the start of a request of this entry. At an ejected target it is the probe.
    pub(super) fn start(&mut self, now: Time, prefixes: &[u64]) {
        if let Health::Ejected(_, count) = self.health {
            self.health = Health::Probing(count);
        }
        self.own += 1;
        self.recent.push_back((now, true));
        self.unreported += 1;
        self.add_prefixes(prefixes);
    }

    /// Records the end of a request of this entry. `failure` is the kind of failure, if it failed.
    pub(super) fn end(&mut self, now: Time, failure: Option<ErrorKind>) {
        self.own = self.own.saturating_sub(1);
        self.recent.push_back((now, false));
        self.unreported -= 1;
        match failure {
            None => self.record_success(now),
            Some(kind) if is_target_fault(kind) => self.record_failure(now),
            Some(_) => {}
        }
    }

    /// Returns the number of leading prefixes that the target has cached.
    pub(super) fn cached_prefixes(&self, prefixes: &[u64]) -> usize {
        prefixes
            .iter()
            .take_while(|hash| self.prefixes.contains(hash))
            .count()
    }

    /// Returns `true` if the target runs no request of this entry, so its state may be dropped.
    pub(super) fn is_unused(&self) -> bool {
        self.own == 0
    }

    /// Marks the target as healthy, with a slow start after a successful probe.
    fn record_success(&mut self, now: Time) {
        if let Health::Probing(_) = self.health {
            self.warming_since = Some(now);
        }
        self.health = Health::Healthy(0);
    }

    /// Counts a failure and ejects the target after too many or after a failed probe.
    fn record_failure(&mut self, now: Time) {
        self.health = match self.health {
            Health::Healthy(failures) if failures + 1 < EJECTION_FAILURES => {
                Health::Healthy(failures + 1)
            }
            Health::Healthy(_) => Health::Ejected(now + BASE_EJECTION_TIME, 1),
            Health::Probing(count) => Health::Ejected(now + ejection_time(count), count + 1),
            ejected @ Health::Ejected(..) => ejected,
        };
    }

    /// Adds cached prefixes and drops the oldest ones beyond `MAX_PREFIXES`.
    fn add_prefixes(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            if self.prefixes.insert(*hash) {
                self.prefix_order.push_back(*hash);
            }
        }
        while self.prefix_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.prefix_order.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }
}

/// Returns the duration of the next ejection after `count` consecutive ones.
fn ejection_time(count: u32) -> Duration {
    let doubled = BASE_EJECTION_TIME * (1 << count.min(5));
    doubled.min(MAX_EJECTION_TIME)
}

/// Returns `true` if a failure is caused by the target rather than by the request.
fn is_target_fault(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Unreachable
            | ErrorKind::TargetFailed
            | ErrorKind::TargetSilent
            | ErrorKind::AgentLost
            | ErrorKind::Truncated
    )
}

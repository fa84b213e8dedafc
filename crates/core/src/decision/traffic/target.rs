//! What an entry knows of one target: load, health and cached prefixes.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use slotmap::new_key_type;

use crate::domain::error::ErrorKind;
use crate::domain::target::Report;
use crate::domain::target::ServingState;
use crate::domain::time::Time;

/// A target without a report for this long is not chosen. Reports come every second.
const REPORT_LIMIT: Duration = Duration::from_secs(4);

/// Lag of a report behind the target's true load: the engine's own lag, the agent's polling
/// interval and the way to the entry.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Failures in a row that eject a target.
const FAILURES: u32 = 3;

/// First time of ejection. It doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Longest time of ejection.
const LAST_EJECTION: Duration = Duration::from_secs(30);

/// Time in which a target that starts, swaps or returns is brought to its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// Share of its capacity at which such a target begins.
const FIRST_SHARE: f64 = 0.1;

/// Prefix hashes that are kept for one target. The oldest knowledge is dropped first.
const PREFIXES: usize = 4096;

/// Capacity of a target that reports none.
const DEFAULT_CAPACITY: u32 = 16;

new_key_type! {
    /// Names a target within one entry.
    pub(super) struct TargetKey;
}

/// Whether a target takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Takes requests, after this many failures in a row.
    Good(u32),
    /// Takes none until the time has come. Counts the ejections in a row.
    Ejected(Time, u32),
    /// Takes one request to see whether it has recovered.
    Probing(u32),
}

/// State of one target.
#[derive(Debug)]
pub(super) struct Target {
    report: Option<(Time, Report)>,
    health: Health,
    /// Requests of this entry that run on the target.
    own: u32,
    /// Starts (true) and ends (false) of own requests that a report may not show yet.
    recent: VecDeque<(Time, bool)>,
    /// Starts less ends in `recent`. Summing them up in each choice cost more than the choice.
    unseen: i64,
    /// Start of the time in which the share grows, or none once it is full.
    warming: Option<Time>,
    prefixes: HashSet<u64>,
    ages: VecDeque<u64>,
}

impl Default for Target {
    fn default() -> Self {
        Self {
            report: None,
            health: Health::Good(0),
            own: 0,
            recent: VecDeque::new(),
            unseen: 0,
            warming: None,
            prefixes: HashSet::new(),
            ages: VecDeque::new(),
        }
    }
}

impl Target {
    /// Takes in a report.
    pub(super) fn take_report(&mut self, now: Time, report: Report) {
        let known = self.report.as_ref().map(|(_, old)| old);
        let restarted = known.is_none_or(|old| old.incarnation != report.incarnation);
        let swapped = known.is_some_and(|old| old.version != report.version);
        if restarted {
            self.health = Health::Good(0);
        }
        // The first report ever is no restart: a whole fleet would be throttled by a new entry.
        if (restarted || swapped) && known.is_some() {
            self.warming = Some(now);
        }
        if restarted || report.cache_gap {
            self.prefixes.clear();
            self.ages.clear();
        }
        for hash in &report.evicted {
            self.prefixes.remove(hash);
        }
        self.remember(&report.cached);
        let shown = |time: &Time| *time + REPORT_LAG <= now;
        while let Some((_, start)) = self.recent.pop_front_if(|(time, _)| shown(time)) {
            self.unseen -= if start { 1 } else { -1 };
        }
        self.report = Some((now, report));
    }

    /// Returns true if a report shows the target serving and not silent.
    pub(super) fn is_serving(&self, now: Time) -> bool {
        self.fresh(now)
            .is_some_and(|report| report.state == ServingState::Serving)
    }

    /// Returns the last report unless it is too old.
    pub(super) fn fresh(&self, now: Time) -> Option<&Report> {
        let (_, report) = self.report.as_ref()?;
        (now < self.fresh_until()).then_some(report)
    }

    /// Returns the time until which the last report counts.
    pub(super) fn fresh_until(&self) -> Time {
        let time = self.report.as_ref().map_or(Time(0), |(time, _)| *time);
        time + REPORT_LIMIT
    }

    /// Makes the last report count as old.
    pub(super) fn void_report(&mut self) {
        if let Some((time, _)) = &mut self.report {
            *time = Time(0);
        }
    }

    /// Estimates the requests on the target: the last report corrected by own starts and ends
    /// that it may not show, and never below what this entry itself has there.
    pub(super) fn load(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |(_, report)| {
            i64::from(report.running) + i64::from(report.queued)
        });
        let estimate = (reported + self.unseen).max(i64::from(self.own));
        u32::try_from(estimate).unwrap_or(u32::MAX)
    }

    /// Returns the requests of this entry that run on the target.
    pub(super) fn own(&self) -> u32 {
        self.own
    }

    /// Returns the requests that the target may have now, less during a slow start.
    pub(super) fn limit(&self, now: Time) -> u32 {
        let reported = self.report.as_ref().map_or(0, |(_, r)| r.capacity);
        let capacity = if reported == 0 {
            DEFAULT_CAPACITY
        } else {
            reported
        };
        let share = match (self.health, self.warming) {
            (Health::Probing(_), _) => return 1,
            (_, Some(since)) => now.since(since).as_secs_f64() / SLOW_START.as_secs_f64(),
            (_, None) => 1.0,
        };
        let share = share.clamp(FIRST_SHARE, 1.0);
        // A capacity fits f64 exactly, and the product is at most the capacity.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = (f64::from(capacity) * share).ceil() as u32;
        limit.max(1)
    }

    /// Returns true while the target is ejected.
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        matches!(self.health, Health::Ejected(until, _) if now < until)
    }

    /// Notes the start of an own request. An ejected target whose time has come is probed by it.
    pub(super) fn start(&mut self, now: Time, prefixes: &[u64]) {
        if let Health::Ejected(_, count) = self.health {
            self.health = Health::Probing(count);
        }
        self.own += 1;
        self.recent.push_back((now, true));
        self.unseen += 1;
        self.remember(prefixes);
    }

    /// Notes the end of an own request. `failure` is set if the target failed it.
    pub(super) fn end(&mut self, now: Time, failure: Option<ErrorKind>) {
        self.own = self.own.saturating_sub(1);
        self.recent.push_back((now, false));
        self.unseen -= 1;
        match failure {
            None => self.recover(now),
            Some(kind) if blames_target(kind) => self.fail(now),
            Some(_) => {}
        }
    }

    /// Returns the number of leading prefixes that the target has cached.
    pub(super) fn cached(&self, prefixes: &[u64]) -> usize {
        prefixes
            .iter()
            .take_while(|hash| self.prefixes.contains(hash))
            .count()
    }

    /// Returns true if nothing is known that would be lost with this state.
    pub(super) fn is_unused(&self) -> bool {
        self.own == 0
    }

    fn recover(&mut self, now: Time) {
        if let Health::Probing(_) = self.health {
            self.warming = Some(now);
        }
        self.health = Health::Good(0);
    }

    fn fail(&mut self, now: Time) {
        self.health = match self.health {
            Health::Good(failures) if failures + 1 < FAILURES => Health::Good(failures + 1),
            Health::Good(_) => Health::Ejected(now + FIRST_EJECTION, 1),
            Health::Probing(count) => Health::Ejected(now + ejection(count), count + 1),
            ejected @ Health::Ejected(..) => ejected,
        };
    }

    fn remember(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            if self.prefixes.insert(*hash) {
                self.ages.push_back(*hash);
            }
        }
        while self.ages.len() > PREFIXES {
            if let Some(oldest) = self.ages.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }
}

/// Returns the time of the next ejection after `count` in a row.
fn ejection(count: u32) -> Duration {
    let doubled = FIRST_EJECTION * (1 << count.min(5));
    doubled.min(LAST_EJECTION)
}

/// Returns true if a failure speaks against the target and not against the request.
fn blames_target(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Unreachable
            | ErrorKind::TargetFailed
            | ErrorKind::TargetSilent
            | ErrorKind::AgentLost
            | ErrorKind::Truncated
    )
}

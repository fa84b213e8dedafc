//! Tracks the other entries, which of them are live, and which targets are leaving.
//!
//! The host list can be outdated or unreachable, so it is only one of three sources. The entries in
//! the settings are used until the first list arrives, and an entry that answers heartbeats stays
//! known even if the list omits it. A wrong list therefore cannot make an entry assume that it is
//! alone while others answer it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::decision::freshness::PEERS_PER_ROUND;
use crate::domain::name::HostName;
use crate::domain::name::TargetName;
use crate::domain::target::Report;
use crate::domain::target::ServingState;
use crate::domain::time::Time;
use crate::port::host::HostEntry;

/// Mean interval between reads of the host list. Together with the pause of a report stream, it
/// ensures that a leaving target gets no new work a few seconds after the list shows it.
pub const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum mean interval between reads while the list cannot be read.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_secs(24);

/// Fraction of each wait that is random, so that entries that start together do not read the list
/// at the same time.
const JITTER_RATIO: f64 = 0.4;

/// Time without an answer after which an entry no longer counts as live, if every round asks all
/// entries. It is twice the contact limit, because a shorter timeout would change the limits of all
/// workspaces whenever an entry pauses briefly.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between heartbeat rounds.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of leaving targets to remember while the list omits their hosts. It exceeds the
/// 420 hosts that are replaced per day at the planned fleet size.
const MAX_LEAVING_TARGETS: usize = 4096;

/// Other entries and leaving targets, as known to one entry.
#[derive(Clone, Debug)]
pub struct Members {
    own: HostName,
    /// Entries from the settings. Empty once a list with entries was read.
    seeds: BTreeMap<HostName, SocketAddr>,
    listed: BTreeMap<HostName, Listed>,
    /// Other entries from all sources.
    known: BTreeMap<HostName, Contact>,
    leaving: BTreeSet<TargetName>,
}

/// Entry in the host list.
#[derive(Clone, Copy, Debug)]
struct Listed {
    address: SocketAddr,
    leaving: bool,
}

/// State of another entry.
#[derive(Clone, Copy, Debug)]
struct Contact {
    address: SocketAddr,
    /// Time of the last answer, or the time at which the entry became known. A new entry counts as
    /// live at first, because it is safe to share limits among too many entries, but not among too
    /// few.
    last_answer: Time,
    leaving: bool,
}

/// Schedule of the reads of the host list, in one state of its life cycle.
#[derive(Clone, Copy, Debug)]
pub struct Poll<S> {
    failures: u32,
    state: S,
}

/// The next read starts after a wait.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    wait: Duration,
}

/// The list is being read.
#[derive(Clone, Copy, Debug)]
pub struct Reading;

impl Members {
    /// Creates the members known to the entry on this host, which knows no other entry yet.
    pub fn new(own: HostName) -> Self {
        Self {
            own,
            seeds: BTreeMap::new(),
            listed: BTreeMap::new(),
            known: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Replaces the entries from the settings, which are used until the next list with entries.
    pub fn set_seeds(
        &mut self,
        now: Time,
        entries: impl IntoIterator<Item = (HostName, SocketAddr)>,
    ) {
        let others = entries.into_iter().filter(|(host, _)| *host != self.own);
        self.seeds = others.collect();
        self.rebuild(now);
    }

    /// Handles a new host list.
    pub fn listed(&mut self, now: Time, hosts: &[HostEntry]) {
        self.update_leaving(hosts);
        let entries = hosts
            .iter()
            .filter(|h| h.target.is_none() && h.host != self.own);
        let listed = entries.map(|h| {
            let listed = Listed {
                address: h.address,
                leaving: h.leaving,
            };
            (h.host.clone(), listed)
        });
        self.listed = listed.collect();
        if !self.listed.is_empty() {
            self.seeds.clear();
        }
        self.rebuild(now);
    }

    /// Records that an entry answered a heartbeat.
    pub fn record_answer(&mut self, now: Time, host: &HostName) {
        if let Some(contact) = self.known.get_mut(host) {
            contact.last_answer = contact.last_answer.max(now);
        }
    }

    /// Returns the hosts and addresses of the other entries.
    pub fn entries(&self) -> impl Iterator<Item = (HostName, SocketAddr)> {
        let known = self.known.iter();
        known.map(|(host, contact)| (host.clone(), contact.address))
    }

    /// Returns the number of live entries, including this one. Leaving entries accept no new
    /// requests and do not count.
    pub fn live_count(&self, now: Time) -> u32 {
        let liveness_timeout = self.liveness_timeout();
        let live = self.known.values().filter(|contact| {
            let silent = now.since(contact.last_answer);
            !contact.leaving && silent < liveness_timeout
        });
        u32::try_from(live.count() + 1).unwrap_or(u32::MAX)
    }

    /// Returns `true` if the host of the target was leaving when the list last contained it.
    pub fn is_leaving(&self, target: &TargetName) -> bool {
        self.leaving.contains(target)
    }

    /// Corrects the state in a report if its agent does not know yet that its host is leaving.
    pub fn correct_report(&self, report: Report) -> Report {
        if report.state == ServingState::Serving && self.is_leaving(&report.target) {
            let state = ServingState::Leaving;
            return Report { state, ..report };
        }
        report
    }

    /// Removes entries that are not listed and have not answered recently.
    pub fn tick(&mut self, now: Time) {
        self.rebuild(now);
    }

    /// Rebuilds the known entries from the list, the settings and recent answers.
    fn rebuild(&mut self, now: Time) {
        let liveness_timeout = self.liveness_timeout();
        let mut old = std::mem::take(&mut self.known);
        let seeded = self.seeds.iter().map(|(host, address)| {
            let listed = Listed {
                address: *address,
                leaving: false,
            };
            (host, listed)
        });
        let listed = self.listed.iter().map(|(host, listed)| (host, *listed));
        for (host, listed) in seeded.chain(listed) {
            let last_answer = old.remove(host).map_or(now, |contact| contact.last_answer);
            let contact = Contact {
                address: listed.address,
                last_answer,
                leaving: listed.leaving,
            };
            self.known.insert(host.clone(), contact);
        }
        old.retain(|_, contact| now.since(contact.last_answer) < liveness_timeout);
        self.known.extend(old);
    }

    /// Updates the leaving targets. A target whose host disappears from the list keeps leaving
    /// until the list contains a host for it that is not leaving.
    fn update_leaving(&mut self, hosts: &[HostEntry]) {
        let targets = |leaving: bool| {
            let hosts = hosts.iter().filter(move |h| h.leaving == leaving);
            hosts.filter_map(|h| h.target.clone())
        };
        self.leaving.extend(targets(true));
        for target in targets(false) {
            self.leaving.remove(&target);
        }
        while self.leaving.len() > MAX_LEAVING_TARGETS {
            let listed: BTreeSet<_> = targets(true).collect();
            let gone = self.leaving.difference(&listed).next().cloned();
            let Some(gone) = gone else { return };
            self.leaving.remove(&gone);
        }
    }

    /// Returns the time without an answer after which an entry no longer counts as live. It grows
    /// with the number of entries, because an entry in contact with the platform asks only a few of
    /// them in each round.
    fn liveness_timeout(&self) -> Duration {
        let rounds = self.known.len().div_ceil(PEERS_PER_ROUND);
        let rotation = HEARTBEAT_INTERVAL * u32::try_from(rounds).unwrap_or(u32::MAX);
        LIVENESS_TIMEOUT + rotation * 2
    }
}

impl Poll<Waiting> {
    /// Schedules the first read after a random part of one interval, because all entries may start
    /// at the same time.
    pub fn new(random: &mut impl Rng) -> Self {
        let wait = POLL_INTERVAL.mul_f64(random.random());
        Self {
            failures: 0,
            state: Waiting { wait },
        }
    }

    /// Returns the time to wait before the next read.
    pub fn wait(&self) -> Duration {
        self.state.wait
    }

    /// Marks the start of a read.
    pub fn begin_read(self) -> Poll<Reading> {
        Poll {
            failures: self.failures,
            state: Reading,
        }
    }
}

impl Poll<Reading> {
    /// Schedules the next read after a successful one.
    pub fn answered(self, random: &mut impl Rng) -> Poll<Waiting> {
        waiting(0, random)
    }

    /// Schedules the next read after a failed one.
    pub fn failed(self, random: &mut impl Rng) -> Poll<Waiting> {
        waiting(self.failures.saturating_add(1), random)
    }
}

/// Schedules a read after a random wait whose mean doubles with each consecutive failure.
fn waiting(failures: u32, random: &mut impl Rng) -> Poll<Waiting> {
    let mean = (POLL_INTERVAL * (1 << failures.min(3))).min(MAX_POLL_INTERVAL);
    let factor = 1.0 - JITTER_RATIO / 2.0 + JITTER_RATIO * random.random::<f64>();
    let wait = mean.mul_f64(factor);
    Poll {
        failures,
        state: Waiting { wait },
    }
}

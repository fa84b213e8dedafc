//! Tells which other entries there are, how many of them live, and which targets leave.
//!
//! The list of hosts lags and may be out of reach, so it is one source of three. The entries of
//! the settings count until the first list arrives, and an entry that answers heartbeats stays
//! known although the list does not show it. A list can therefore not make an entry believe that
//! it is alone while others answer it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::decision::freshness::ASKED_IN_CONTACT;
use crate::domain::name::HostName;
use crate::domain::name::TargetName;
use crate::domain::target::Report;
use crate::domain::target::ServingState;
use crate::domain::time::Time;
use crate::port::host::HostEntry;

/// Mean time between two readings of the list. With the pause of a report stream it keeps the end
/// of new work on a leaving target within a few seconds of the list.
pub const POLL: Duration = Duration::from_secs(3);

/// Longest mean time between two readings while the list cannot be read.
pub const SLOWEST_POLL: Duration = Duration::from_secs(24);

/// Share of a wait that is drawn at random, so that entries that start together do not all read
/// the list at once.
const JITTER: f64 = 0.4;

/// Time without an answer after which an entry does not count as live, if all entries are asked
/// in one round. It is twice the contact limit, since a shorter one would move the limits of all
/// workspaces at each pause of an entry.
const LIVE_LIMIT: Duration = Duration::from_secs(10);

/// Interval of heartbeat rounds.
const ROUND: Duration = Duration::from_secs(1);

/// Targets of hosts that left the list which are remembered until the list shows them again. It is
/// above the 420 hosts that are replaced on a day at target size.
const GONE_MOST: usize = 4096;

/// What an entry knows of the other entries and of leaving hosts.
#[derive(Clone, Debug)]
pub struct Members {
    own: HostName,
    /// Entries of the settings. Empty once a list was read.
    seeds: BTreeMap<HostName, SocketAddr>,
    listed: BTreeMap<HostName, Listed>,
    /// Entries that are known, with their addresses.
    known: BTreeMap<HostName, Contact>,
    leaving: BTreeSet<TargetName>,
}

/// An entry of the list.
#[derive(Clone, Copy, Debug)]
struct Listed {
    address: SocketAddr,
    leaving: bool,
}

/// What is known of another entry.
#[derive(Clone, Copy, Debug)]
struct Contact {
    address: SocketAddr,
    /// Time of the last answer, or of the moment when the entry became known. A new entry counts
    /// as live at first: limits that are shared among too many are safe, among too few are not.
    heard: Time,
    leaving: bool,
}

/// When the list is read next. `S` is `Resting` or `Asking`.
#[derive(Clone, Copy, Debug)]
pub struct Poll<S> {
    failures: u32,
    state: S,
}

/// The list is read after a wait.
#[derive(Clone, Copy, Debug)]
pub struct Resting {
    wait: Duration,
}

/// The list is being read.
#[derive(Clone, Copy, Debug)]
pub struct Asking;

impl Members {
    /// Creates the state of an entry that knows the entries of its settings.
    pub fn new(own: HostName) -> Self {
        Self {
            own,
            seeds: BTreeMap::new(),
            listed: BTreeMap::new(),
            known: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Replaces the entries that are known without a list. Once a list was read, it decides.
    pub fn met(&mut self, now: Time, entries: impl IntoIterator<Item = (HostName, SocketAddr)>) {
        let others = entries.into_iter().filter(|(host, _)| *host != self.own);
        self.seeds = others.collect();
        self.combine(now);
    }

    /// Takes in the list of hosts.
    pub fn listed(&mut self, now: Time, hosts: &[HostEntry]) {
        self.note_leaving(hosts);
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
        self.combine(now);
    }

    /// Notes that an entry answered a heartbeat.
    pub fn heard(&mut self, now: Time, host: &HostName) {
        if let Some(contact) = self.known.get_mut(host) {
            contact.heard = contact.heard.max(now);
        }
    }

    /// Returns the other entries with their addresses.
    pub fn entries(&self) -> impl Iterator<Item = (HostName, SocketAddr)> {
        let known = self.known.iter();
        known.map(|(host, contact)| (host.clone(), contact.address))
    }

    /// Returns the number of live entries, this one included. One that leaves takes no new
    /// requests and does not count.
    pub fn live(&self, now: Time) -> u32 {
        let window = self.window();
        let live = self.known.values().filter(|contact| {
            let silent = now.since(contact.heard);
            !contact.leaving && silent < window
        });
        u32::try_from(live.count() + 1).unwrap_or(u32::MAX)
    }

    /// Tells whether the list shows the host of a target as leaving, or showed it last.
    pub fn is_leaving(&self, target: &TargetName) -> bool {
        self.leaving.contains(target)
    }

    /// Corrects a report whose agent does not know yet that its host leaves.
    pub fn correct(&self, report: Report) -> Report {
        if report.state == ServingState::Serving && self.is_leaving(&report.target) {
            let state = ServingState::Leaving;
            return Report { state, ..report };
        }
        report
    }

    /// Forgets entries that are in no list and have not answered for long.
    pub fn tick(&mut self, now: Time) {
        self.combine(now);
    }

    /// Rebuilds the known entries: those listed or met, and those that answered recently.
    fn combine(&mut self, now: Time) {
        let window = self.window();
        let mut old = std::mem::take(&mut self.known);
        let met = self.seeds.iter().map(|(host, address)| {
            let listed = Listed {
                address: *address,
                leaving: false,
            };
            (host, listed)
        });
        let listed = self.listed.iter().map(|(host, listed)| (host, *listed));
        for (host, listed) in met.chain(listed) {
            let heard = old.remove(host).map_or(now, |contact| contact.heard);
            let contact = Contact {
                address: listed.address,
                heard,
                leaving: listed.leaving,
            };
            self.known.insert(host.clone(), contact);
        }
        old.retain(|_, contact| now.since(contact.heard) < window);
        self.known.extend(old);
    }

    /// Keeps the targets that leave. A target stays leaving after its host has gone from the list,
    /// until the list shows a host for it that does not leave.
    fn note_leaving(&mut self, hosts: &[HostEntry]) {
        let targets = |leaving: bool| {
            let hosts = hosts.iter().filter(move |h| h.leaving == leaving);
            hosts.filter_map(|h| h.target.clone())
        };
        self.leaving.extend(targets(true));
        for target in targets(false) {
            self.leaving.remove(&target);
        }
        while self.leaving.len() > GONE_MOST {
            let listed: BTreeSet<_> = targets(true).collect();
            let gone = self.leaving.difference(&listed).next().cloned();
            let Some(gone) = gone else { return };
            self.leaving.remove(&gone);
        }
    }

    /// Returns the silence after which an entry does not count. In contact with the platform only
    /// some entries are asked in each round, so it grows with their number.
    fn window(&self) -> Duration {
        let rounds = self.known.len().div_ceil(ASKED_IN_CONTACT);
        let turn = ROUND * u32::try_from(rounds).unwrap_or(u32::MAX);
        LIVE_LIMIT + turn * 2
    }
}

impl Poll<Resting> {
    /// Creates the plan of an entry that starts. The first reading is spread over one interval,
    /// since all entries may start at once.
    pub fn new(random: &mut impl Rng) -> Self {
        let wait = POLL.mul_f64(random.random());
        Self {
            failures: 0,
            state: Resting { wait },
        }
    }

    /// Returns the time before the list is read.
    pub fn wait(&self) -> Duration {
        self.state.wait
    }

    /// Begins to read the list.
    pub fn ask(self) -> Poll<Asking> {
        Poll {
            failures: self.failures,
            state: Asking,
        }
    }
}

impl Poll<Asking> {
    /// Plans the next reading after the list was read.
    pub fn answered(self, random: &mut impl Rng) -> Poll<Resting> {
        resting(0, random)
    }

    /// Plans the next reading after the list could not be read.
    pub fn failed(self, random: &mut impl Rng) -> Poll<Resting> {
        resting(self.failures.saturating_add(1), random)
    }
}

/// Draws a wait around a mean that doubles with each failure in a row.
fn resting(failures: u32, random: &mut impl Rng) -> Poll<Resting> {
    let mean = (POLL * (1 << failures.min(3))).min(SLOWEST_POLL);
    let factor = 1.0 - JITTER / 2.0 + JITTER * random.random::<f64>();
    let wait = mean.mul_f64(factor);
    Poll {
        failures,
        state: Resting { wait },
    }
}

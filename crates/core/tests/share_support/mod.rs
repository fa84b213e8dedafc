//! Processes that share one pool, in virtual time: their jobs, their pings and the slots.
#![allow(dead_code)] // Each test crate uses only some of the names.

use std::collections::BTreeMap;

use sardinepath_core::decision::share::Claim;
use sardinepath_core::decision::share::Claimant;
use sardinepath_core::decision::share::Division;
use sardinepath_core::decision::share::Told;
use sardinepath_core::decision::share::Use;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::WorkspaceName;
use sardinepath_core::domain::time::Time;

/// Virtual time between two steps in milliseconds.
pub const STEP_MS: u64 = 20;

/// Interval between the pings of a process in milliseconds.
pub const PING_MS: u64 = 500;

/// Time in milliseconds after which a process that answers no pings loses its items.
const SILENCE_MS: u64 = 2_000;

/// Shortest and longest duration of an item in milliseconds, by default.
const ITEM_MS: (u64, u64) = (200, 800);

/// Claims of one process, with the number of free slots that it sees.
type Snapshot = (u32, Vec<Claim>);

/// One process with its items.
#[derive(Default)]
pub struct Process {
    /// Number of waiting items of each claimant.
    pub waiting: BTreeMap<Claimant, u32>,
    /// Ends of the running items of each claimant.
    running: BTreeMap<Claimant, Vec<u64>>,
    told: Told,
    /// Number of items at other processes, as last told.
    seen: u32,
    sent: BTreeMap<Claimant, u64>,
    /// Time since which the process is frozen, or `None`. It sends nothing and answers no pings.
    pub frozen: Option<u64>,
    /// Whether the process is cut off from the others, but not from the targets.
    pub cut: bool,
}

/// Processes that share the slots of one pool.
pub struct Fleet {
    pub now: u64,
    pub room: u32,
    pub processes: Vec<Process>,
    /// Time in milliseconds that items of each claimant spent in slots.
    pub served: BTreeMap<Claimant, u64>,
    /// Shortest and longest duration of an item in milliseconds.
    pub item_ms: (u64, u64),
    random: u64,
    sequence: u64,
}

pub fn claimant(rank: u32, workspace: &str) -> Claimant {
    Claimant {
        rank,
        workspace: Some(WorkspaceName::from(workspace)),
    }
}

pub fn claim(rank: u32, workspace: &str, waiting: u32, running: u32) -> Claim {
    Claim {
        pool: pool(),
        claimant: claimant(rank, workspace),
        waiting,
        running,
    }
}

pub fn pool() -> PoolName {
    PoolName::from("engines")
}

impl Fleet {
    /// Creates a fleet without demand.
    pub fn new(processes: usize, room: u32) -> Self {
        Self {
            now: 10_000,
            room,
            processes: (0..processes).map(|_| Process::default()).collect(),
            served: BTreeMap::new(),
            item_ms: ITEM_MS,
            random: 0x9e37_79b9_7f4a_7c15,
            sequence: 0,
        }
    }

    /// Sets the number of items that a workspace keeps waiting or running at a process.
    pub fn demand(&mut self, process: usize, rank: u32, workspace: &str, items: u32) {
        let waiting = &mut self.processes[process].waiting;
        waiting.insert(claimant(rank, workspace), items);
    }

    /// Advances the virtual time.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            for index in 0..self.processes.len() {
                self.end_items(index);
                let offset = u64::try_from(index).unwrap() * 7 * STEP_MS;
                if (self.now + offset) % PING_MS < STEP_MS {
                    self.ping(index);
                }
                self.send(index);
            }
            self.count();
        }
    }

    /// Forgets the served time, so that it is counted from now on.
    pub fn restart_count(&mut self) {
        self.served.clear();
    }

    /// Returns the served time of a claimant as a fraction of the time of all claimants.
    pub fn fraction(&self, rank: u32, workspace: &str) -> f64 {
        let total: u64 = self.served.values().sum();
        let own = self.served.get(&claimant(rank, workspace));
        own.copied().unwrap_or(0) as f64 / total.max(1) as f64
    }

    /// Returns the number of slots that were in use on average over a time.
    pub fn used_slots(&self, millis: u64) -> f64 {
        let total: u64 = self.served.values().sum();
        total as f64 / millis as f64
    }

    fn end_items(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        let lost = process.frozen.is_some_and(|at| now - at >= SILENCE_MS);
        for (claimant, ends) in &mut process.running {
            let before = ends.len();
            ends.retain(|end| *end > now && !lost);
            let ended = u32::try_from(before - ends.len()).unwrap();
            *process.waiting.entry(claimant.clone()).or_default() += ended;
        }
    }

    /// Tells a process the demand of all others that answer it.
    fn ping(&mut self, index: usize) {
        let answers = |from: usize, fleet: &Self| {
            let (asker, other) = (&fleet.processes[index], &fleet.processes[from]);
            from != index && !asker.cut && !other.cut && other.frozen.is_none()
        };
        let others: Vec<usize> = (0..self.processes.len())
            .filter(|from| answers(*from, self))
            .collect();
        let mut seen = 0;
        for from in others {
            let (running, claims) = self.processes[from].snapshot();
            seen += running;
            let host = HostName::from(format!("p{from}"));
            self.processes[index]
                .told
                .record(Time(self.now), host, claims);
        }
        self.processes[index].seen = seen;
    }

    /// Sends the items that a process may send now.
    fn send(&mut self, index: usize) {
        let (now, room) = (self.now, self.room);
        let process = &mut self.processes[index];
        if process.frozen.is_some() {
            return;
        }
        let (running, claims) = process.snapshot();
        let others = process.told.claims(Time(now), &pool());
        let free = room.saturating_sub(running + process.seen);
        let uses = claims.iter().map(|claim| {
            let usage = Use {
                waiting: claim.waiting,
                running: claim.running,
                last_sent: process.sent.get(&claim.claimant).copied().unwrap_or(0),
            };
            (claim.claimant.clone(), usage)
        });
        let grants: Vec<(Claimant, u32)> = match Division::new(room, &claims, &others) {
            Some(division) => division.grants(free, uses.collect()),
            None => claims
                .iter()
                .map(|c| (c.claimant.clone(), c.waiting))
                .collect(),
        };
        for (claimant, count) in grants {
            self.sequence += 1;
            let sequence = self.sequence;
            for _ in 0..count {
                let end = now + self.item_time();
                let process = &mut self.processes[index];
                *process.waiting.get_mut(&claimant).unwrap() -= 1;
                process
                    .running
                    .entry(claimant.clone())
                    .or_default()
                    .push(end);
                process.sent.insert(claimant.clone(), sequence);
            }
        }
    }

    fn item_time(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let (shortest, longest) = self.item_ms;
        shortest + self.random % (longest - shortest)
    }

    fn count(&mut self) {
        for process in &self.processes {
            for (claimant, ends) in &process.running {
                let time = STEP_MS * u64::try_from(ends.len()).unwrap();
                *self.served.entry(claimant.clone()).or_default() += time;
            }
        }
    }
}

impl Process {
    /// Returns the number of running items and the claims.
    fn snapshot(&self) -> Snapshot {
        let mut claims = Vec::new();
        for (claimant, waiting) in &self.waiting {
            let running = self.running.get(claimant).map_or(0, Vec::len);
            claims.push(Claim {
                pool: pool(),
                claimant: claimant.clone(),
                waiting: *waiting,
                running: u32::try_from(running).unwrap(),
            });
        }
        let running = claims.iter().map(|claim| claim.running).sum();
        (running, claims)
    }
}

//! Speed and memory of the decisions themselves.

mod fixture;
mod memory;

use std::time::Duration;
use std::time::Instant;

use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::time::Time;
use serde::Serialize;

use crate::decide::fixture::ask;
use crate::decide::fixture::loaded;

pub use memory::Memory;
pub use memory::measure as measure_memory;

/// Longest time of one measurement.
const LIMIT: Duration = Duration::from_millis(400);

/// Most rounds of one measurement.
const ROUNDS: usize = 100_000;

/// Numbers of targets that are measured.
const TARGETS: [usize; 3] = [10, 100, 1000];

/// Numbers of workspaces that are measured.
const WORKSPACES: [usize; 2] = [8, 200];

/// Requests of each workspace that wait while the targets are full.
const BACKLOG: usize = 2;

/// Times of the decisions at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Speed {
    /// Targets of the pool.
    pub targets: usize,
    /// Workspaces.
    pub workspaces: usize,
    /// Nanoseconds of one request that is granted at once and ended, both decisions together.
    pub free: u64,
    /// Nanoseconds of one request that waits, is granted when another ends, and ends itself, while
    /// all targets are full.
    pub full: u64,
    /// Nanoseconds of a report while all targets are full and requests wait.
    pub report: u64,
    /// Nanoseconds of the timers while all targets are full and requests wait.
    pub tick: u64,
    /// Requests per second on one thread while targets are free.
    pub rate: u64,
}

/// Measures every size.
pub fn measure() -> Vec<Speed> {
    let sizes = TARGETS
        .iter()
        .flat_map(|targets| WORKSPACES.iter().map(|count| (*targets, *count)));
    sizes
        .map(|(targets, workspaces)| {
            let free = time_free(targets, workspaces);
            Speed {
                targets,
                workspaces,
                free,
                full: time_full(targets, workspaces),
                report: time_report(targets, workspaces),
                tick: time_tick(targets, workspaces),
                rate: 1_000_000_000 / free.max(1),
            }
        })
        .collect()
}

/// Formats the times as a table.
pub fn table(speeds: &[Speed], memory: &Memory) -> String {
    let mut lines = vec![format!(
        "{:>8} {:>10} {:>12} {:>12} {:>12} {:>12} {:>12}",
        "targets", "workspaces", "free ns", "full ns", "report ns", "tick ns", "requests/s"
    )];
    for s in speeds {
        lines.push(format!(
            "{:>8} {:>10} {:>12} {:>12} {:>12} {:>12} {:>12}",
            s.targets, s.workspaces, s.free, s.full, s.report, s.tick, s.rate
        ));
    }
    lines.push(format!(
        "bytes per open ticket {}, per target {}, per key {}",
        memory.ticket, memory.target, memory.key
    ));
    lines.join("\n")
}

fn time_free(targets: usize, workspaces: usize) -> u64 {
    let mut traffic = loaded(targets, workspaces, 0);
    let mut round = 0;
    nanoseconds(|| {
        let ticket = traffic.admit(Time(1), ask(round % workspaces));
        drain(&mut traffic, |_| {});
        traffic.finish(Time(1), ticket, &Outcome::Complete(100));
        round += 1;
    })
}

fn time_full(targets: usize, workspaces: usize) -> u64 {
    let (mut traffic, mut running) = full(targets, workspaces);
    let mut round = 0;
    nanoseconds(|| {
        traffic.admit(Time(1), ask(round % workspaces));
        if let Some(ticket) = running.pop() {
            traffic.finish(Time(1), ticket, &Outcome::Complete(100));
        }
        drain(&mut traffic, |ticket| running.push(ticket));
        round += 1;
    })
}

fn time_report(targets: usize, workspaces: usize) -> u64 {
    let (mut traffic, _) = full(targets, workspaces);
    let mut round = 0;
    nanoseconds(|| {
        let report = fixture::report(round % targets, fixture::SLOTS);
        traffic.handle_report(Time(1), report);
        drain(&mut traffic, |_| {});
        round += 1;
    })
}

fn time_tick(targets: usize, workspaces: usize) -> u64 {
    let (mut traffic, _) = full(targets, workspaces);
    nanoseconds(|| {
        traffic.tick(Time(1));
        drain(&mut traffic, |_| {});
    })
}

/// Builds a state in which all targets are full and requests wait, with the running tickets.
fn full(targets: usize, workspaces: usize) -> (Traffic, Vec<TicketKey>) {
    let mut traffic = loaded(targets, workspaces, fixture::SLOTS - 1);
    let mut running = vec![];
    for round in 0..targets + workspaces * BACKLOG {
        traffic.admit(Time(1), ask(round % workspaces));
        drain(&mut traffic, |ticket| running.push(ticket));
    }
    (traffic, running)
}

fn drain(traffic: &mut Traffic, mut granted: impl FnMut(TicketKey)) {
    while let Some(action) = traffic.next_action() {
        if let Action::Grant(ticket, ..) = action {
            granted(ticket);
        }
    }
}

/// Returns the mean time of a round.
fn nanoseconds(mut round: impl FnMut()) -> u64 {
    let begin = Instant::now();
    let mut rounds = 0;
    while rounds < ROUNDS && begin.elapsed() < LIMIT {
        round();
        rounds += 1;
    }
    let mean = begin.elapsed().as_nanos() / rounds.max(1) as u128;
    u64::try_from(mean).unwrap_or(u64::MAX)
}

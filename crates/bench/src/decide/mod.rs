//! Measurements of the time and memory use of the decision code, without input and output.

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

use crate::decide::fixture::loaded_traffic;
use crate::decide::fixture::request;

pub use memory::Memory;
pub use memory::measure as measure_memory;

/// Maximum time of one measurement.
const MAX_TIME: Duration = Duration::from_millis(400);

/// Maximum number of rounds of one measurement.
const MAX_ROUNDS: usize = 100_000;

/// Numbers of targets for which times are measured.
const TARGET_COUNTS: [usize; 3] = [10, 100, 1000];

/// Numbers of workspaces for which times are measured.
const WORKSPACE_COUNTS: [usize; 2] = [8, 200];

/// Number of waiting requests per workspace while all targets are full.
const WAITING_PER_WORKSPACE: usize = 2;

/// Mean times of decisions for one number of targets and workspaces.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Speed {
    /// Number of targets in the pool.
    pub targets: usize,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Time in nanoseconds to grant a request immediately and to end it.
    pub free: u64,
    /// Time in nanoseconds to queue a request, to grant it when another one ends, and to end it,
    /// while all targets are full.
    pub full: u64,
    /// Time in nanoseconds to process a report while all targets are full and requests wait.
    pub report: u64,
    /// Time in nanoseconds to run the timers while all targets are full and requests wait.
    pub tick: u64,
    /// Requests per second on one thread while targets have free slots, derived from `free`.
    pub rate: u64,
}

/// Measures every combination of target and workspace counts.
pub fn measure() -> Vec<Speed> {
    let sizes = TARGET_COUNTS
        .iter()
        .flat_map(|targets| WORKSPACE_COUNTS.iter().map(|count| (*targets, *count)));
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

/// Formats the times and the memory use as a table.
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
    let mut traffic = loaded_traffic(targets, workspaces, 0);
    let mut round = 0;
    mean_nanoseconds(|| {
        let ticket = traffic.admit(Time(1), request(round % workspaces));
        drain_actions(&mut traffic, |_| {});
        traffic.finish(Time(1), ticket, &Outcome::Complete(100));
        round += 1;
    })
}

fn time_full(targets: usize, workspaces: usize) -> u64 {
    let (mut traffic, mut running) = full_traffic(targets, workspaces);
    let mut round = 0;
    mean_nanoseconds(|| {
        traffic.admit(Time(1), request(round % workspaces));
        if let Some(ticket) = running.pop() {
            traffic.finish(Time(1), ticket, &Outcome::Complete(100));
        }
        drain_actions(&mut traffic, |ticket| running.push(ticket));
        round += 1;
    })
}

fn time_report(targets: usize, workspaces: usize) -> u64 {
    let (mut traffic, _) = full_traffic(targets, workspaces);
    let mut round = 0;
    mean_nanoseconds(|| {
        let report = fixture::report(round % targets, fixture::TARGET_SLOTS);
        traffic.handle_report(Time(1), report);
        drain_actions(&mut traffic, |_| {});
        round += 1;
    })
}

fn time_tick(targets: usize, workspaces: usize) -> u64 {
    let (mut traffic, _) = full_traffic(targets, workspaces);
    mean_nanoseconds(|| {
        traffic.tick(Time(1));
        drain_actions(&mut traffic, |_| {});
    })
}

/// Returns a traffic state in which all targets are full and requests wait, and the tickets of the
/// running requests.
fn full_traffic(targets: usize, workspaces: usize) -> (Traffic, Vec<TicketKey>) {
    let mut traffic = loaded_traffic(targets, workspaces, fixture::TARGET_SLOTS - 1);
    let mut running = vec![];
    for round in 0..targets + workspaces * WAITING_PER_WORKSPACE {
        traffic.admit(Time(1), request(round % workspaces));
        drain_actions(&mut traffic, |ticket| running.push(ticket));
    }
    (traffic, running)
}

fn drain_actions(traffic: &mut Traffic, mut granted: impl FnMut(TicketKey)) {
    while let Some(action) = traffic.next_action() {
        if let Action::Grant(ticket, ..) = action {
            granted(ticket);
        }
    }
}

/// Returns the mean time of a round in nanoseconds.
fn mean_nanoseconds(mut round: impl FnMut()) -> u64 {
    let begin = Instant::now();
    let mut rounds = 0;
    while rounds < MAX_ROUNDS && begin.elapsed() < MAX_TIME {
        round();
        rounds += 1;
    }
    let mean = begin.elapsed().as_nanos() / rounds.max(1) as u128;
    u64::try_from(mean).unwrap_or(u64::MAX)
}

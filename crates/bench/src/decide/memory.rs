//! Resident memory of tickets, targets and keys.

use anyhow::Context;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;
use serde::Serialize;

use crate::decide::fixture;

/// Tickets that are opened. The entry's bound on waiting requests does not count running ones.
const TICKETS: usize = 50_000;

/// Targets that are added.
const TARGETS: usize = 20_000;

/// Keys that are declared.
const KEYS: usize = 100_000;

/// Bytes of resident memory. A page is the finest step, so counts are high.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Memory {
    /// For one running request with 16 prefix hashes.
    pub ticket: usize,
    /// For one declared target that has reported, without cached prefixes.
    pub target: usize,
    /// For one declared key, in the tree and in the index by digest.
    pub key: usize,
}

/// Measures the growth of the process.
pub fn measure() -> anyhow::Result<Memory> {
    let mut traffic = fixture::loaded(1, 8, 0);
    let room = Report {
        capacity: u32::MAX,
        ..fixture::report(0, 0)
    };
    traffic.handle_report(Time(0), room);
    let before = resident()?;
    for n in 0..TICKETS {
        traffic.admit(Time(1), fixture::ask(n % 8));
        while traffic.next_action().is_some() {}
    }
    let ticket = (resident()? - before) / TICKETS;
    let before = resident()?;
    let targets = fixture::loaded(TARGETS, 8, 0);
    let target = (resident()? - before) / TARGETS;
    let before = resident()?;
    let keys = fixture::config(1, 8, KEYS);
    let key = (resident()? - before) / KEYS;
    // Memory that was freed early would be used again by the next measurement.
    drop((traffic, targets, keys));
    Ok(Memory {
        ticket,
        target,
        key,
    })
}

/// Returns the resident memory of this process in bytes.
fn resident() -> anyhow::Result<usize> {
    let text = std::fs::read_to_string("/proc/self/statm").context("statm cannot be read")?;
    let pages = text
        .split(' ')
        .nth(1)
        .context("statm has no second field")?;
    let pages: usize = pages.parse().context("statm has no number of pages")?;
    Ok(pages * 4096)
}

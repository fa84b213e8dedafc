//! Measurement of the resident memory per ticket, target and key.

use anyhow::Context;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;
use serde::Serialize;

use crate::decide::fixture;

/// Number of tickets that are opened. All of them run, because the limit of an entry on waiting
/// requests does not apply to running ones.
const TICKET_COUNT: usize = 50_000;

/// Number of targets that are added.
const TARGET_COUNT: usize = 20_000;

/// Number of keys that are declared.
const KEY_COUNT: usize = 100_000;

/// Resident memory in bytes. It is measured in whole pages, so each value is a mean over many
/// objects.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Memory {
    /// Bytes per running request with 16 prefix hashes.
    pub ticket: usize,
    /// Bytes per declared target that has reported, without cached prefixes.
    pub target: usize,
    /// Bytes per declared key, in the tree and in the index by digest.
    pub key: usize,
}

/// Measures how much the resident memory of this process grows per object.
pub fn measure() -> anyhow::Result<Memory> {
    let mut traffic = fixture::loaded_traffic(1, 8, 0);
    let unlimited = Report {
        capacity: u32::MAX,
        ..fixture::report(0, 0)
    };
    traffic.handle_report(Time(0), unlimited);
    let before = resident_bytes()?;
    for n in 0..TICKET_COUNT {
        traffic.admit(Time(1), fixture::request(n % 8));
        while traffic.next_action().is_some() {}
    }
    let ticket = (resident_bytes()? - before) / TICKET_COUNT;
    let before = resident_bytes()?;
    let targets = fixture::loaded_traffic(TARGET_COUNT, 8, 0);
    let target = (resident_bytes()? - before) / TARGET_COUNT;
    let before = resident_bytes()?;
    let keys = fixture::config(1, 8, KEY_COUNT);
    let key = (resident_bytes()? - before) / KEY_COUNT;
    // Nothing is freed before the end, because the next measurement would reuse freed memory.
    drop((traffic, targets, keys));
    Ok(Memory {
        ticket,
        target,
        key,
    })
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> anyhow::Result<usize> {
    let text =
        std::fs::read_to_string("/proc/self/statm").context("could not read /proc/self/statm")?;
    let pages = text
        .split(' ')
        .nth(1)
        .context("/proc/self/statm has no second field")?;
    let pages: usize = pages
        .parse()
        .context("the second field of /proc/self/statm is not a number")?;
    Ok(pages * 4096)
}

//! Measurements of the request path from callers through an entry and an agent to a target.

mod client;
mod fleet;
mod idle;
mod measure;
mod process;

use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use bpaf::Bpaf;
use sardinepath_standins::engine::EngineSettings;

use crate::path::fleet::Fleet;
use crate::path::measure::millis;

/// Numbers of concurrent callers for which loads are measured.
const CALLER_COUNTS: [usize; 3] = [1, 32, 256];

/// Measure the request path from callers to targets
#[derive(Clone, Debug, Bpaf)]
pub struct PathBench {
    /// Program to measure; defaults to `sardinepath` in the folder of this program
    #[bpaf(argument("FILE"))]
    program: Option<PathBuf>,
    /// Measure idle fleets instead of calls
    idle: bool,
    /// Measure only the memory use of open streams
    streams: bool,
}

/// Runs the selected measurements and prints their tables.
pub fn run(options: &PathBench) -> anyhow::Result<()> {
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?
            .parent()
            .context("the path of this program has no parent folder")?
            .join("sardinepath"),
    };
    if options.idle {
        return idle::run(&program);
    }
    if options.streams {
        return run_streams(&program);
    }
    run_loads(&program)?;
    run_streams(&program)
}

fn run_loads(program: &Path) -> anyhow::Result<()> {
    let fleet = Fleet::start(program, 1, EngineSettings::default())?;
    println!("| callers | way | median | 99th percentile | calls/s | calls/s per entry core |");
    println!("|---|---|---|---|---|---|");
    for callers in CALLER_COUNTS {
        let direct = measure::load(&fleet, &fleet.direct_service(), callers)?;
        let through = measure::load(&fleet, &fleet.service_through_entry(), callers)?;
        println!("| {callers} | direct | {direct}");
        println!("| {callers} | through | {through}");
        println!(
            "| {callers} | added | {} | {} | | |",
            millis(through.median.saturating_sub(direct.median)),
            millis(through.p99.saturating_sub(direct.p99)),
        );
    }
    let (direct, direct_p99) = measure::first_token(&fleet.direct_engine())?;
    let (through, through_p99) = measure::first_token(&fleet.engine_through_entry())?;
    println!(
        "first token: direct {} (99th percentile {}), through {} ({})",
        millis(direct),
        millis(direct_p99),
        millis(through),
        millis(through_p99),
    );
    Ok(())
}

fn run_streams(program: &Path) -> anyhow::Result<()> {
    let fleet = Fleet::start(program, 1, measure::slow_engine())?;
    let memory = measure::stream_memory(&fleet)?;
    let added = memory.after.saturating_sub(memory.before);
    println!(
        "streams: {} open; entry memory {} KiB before, {} KiB with them, {} bytes a stream",
        memory.streams,
        memory.before / 1024,
        memory.after / 1024,
        added / memory.streams as u64,
    );
    Ok(())
}

//! Cost of the path from callers through an entry and an agent to a target.

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

/// Numbers of concurrent callers.
const CALLERS: [usize; 3] = [1, 32, 256];

/// Measure the path from callers to targets
#[derive(Clone, Debug, Bpaf)]
pub struct PathBench {
    /// The program under measurement; by default the one beside this program
    #[bpaf(argument("FILE"))]
    program: Option<PathBuf>,
    /// Measure idle fleets instead
    idle: bool,
    /// Measure only the memory of open streams
    streams: bool,
}

/// Runs the measurement and prints tables.
pub fn run(options: &PathBench) -> anyhow::Result<()> {
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?
            .parent()
            .context("this program is in no folder")?
            .join("sardinepath"),
    };
    if options.idle {
        return idle::run(&program);
    }
    if options.streams {
        return streams(&program);
    }
    loads(&program)?;
    streams(&program)
}

fn loads(program: &Path) -> anyhow::Result<()> {
    let fleet = Fleet::start(program, 1, EngineSettings::default())?;
    println!("| callers | way | median | 99th percentile | calls/s | calls/s per entry core |");
    println!("|---|---|---|---|---|---|");
    for callers in CALLERS {
        let direct = measure::load(&fleet, &fleet.direct(), callers)?;
        let through = measure::load(&fleet, &fleet.through(), callers)?;
        println!("| {callers} | direct | {direct}");
        println!("| {callers} | through | {through}");
        println!(
            "| {callers} | added | {} | {} | | |",
            millis(through.median.saturating_sub(direct.median)),
            millis(through.high.saturating_sub(direct.high)),
        );
    }
    let (direct, direct_high) = measure::first_token(&fleet.direct_engine())?;
    let (through, through_high) = measure::first_token(&fleet.through_engine())?;
    println!(
        "first token: direct {} (99th percentile {}), through {} ({})",
        millis(direct),
        millis(direct_high),
        millis(through),
        millis(through_high),
    );
    Ok(())
}

fn streams(program: &Path) -> anyhow::Result<()> {
    let fleet = Fleet::start(program, 1, measure::slow_engine())?;
    let memory = measure::stream_memory(&fleet)?;
    let added = memory.with.saturating_sub(memory.before);
    println!(
        "streams: {} open; entry memory {} KiB before, {} KiB with them, {} bytes a stream",
        memory.streams,
        memory.before / 1024,
        memory.with / 1024,
        added / memory.streams as u64,
    );
    Ok(())
}

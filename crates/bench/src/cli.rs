//! Command line of the benchmark program.

use std::path::PathBuf;

use anyhow::Context;
use bpaf::Bpaf;
use serde::Serialize;

use crate::decide;
use crate::path;
use crate::path::PathBench;
use crate::path::path_bench;
use crate::policy::Comparison;
use crate::policy::Settings;
use crate::policy::compare;
use crate::policy::deployment::Deployment;
use crate::policy::fault::FaultKind;
use crate::policy::output;
use crate::policy::plot;

/// Ratios of offered load to capacity that are run if no level is given.
const DEFAULT_LEVELS: [f64; 3] = [0.7, 1.2, 2.0];

/// Benchmarks of sardinepath.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub enum Command {
    /// Simulate a deployment in virtual time and compare sardinepath with a baseline
    #[bpaf(command)]
    Policy {
        /// Deployment: bortolini, condamine or all
        #[bpaf(argument("NAME"))]
        workload: String,
        /// Seed of the random number generators
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Ratio of offered load to capacity; may be repeated
        #[bpaf(argument("FACTOR"))]
        level: Vec<f64>,
        /// Fault: none, crash, half, centre, reports, gaps or all; may be repeated
        #[bpaf(argument("NAME"))]
        fault: Vec<String>,
        /// Let one workspace offer ten times its share
        greedy: bool,
        /// Simulated time in minutes
        #[bpaf(argument("N"), fallback(20))]
        minutes: u64,
        /// Print JSON instead of a table
        json: bool,
        /// Write plots into this folder
        #[bpaf(argument("FOLDER"), optional)]
        plot: Option<PathBuf>,
    },
    /// Measure the request path from callers to targets
    #[bpaf(command)]
    Path(#[bpaf(external(path_bench))] PathBench),
    /// Measure the time and memory use of the decision code
    #[bpaf(command)]
    Decide {
        /// Print JSON instead of a table
        json: bool,
    },
}

/// Runs a command.
pub fn run(command: &Command) -> anyhow::Result<()> {
    match command {
        Command::Policy { json, plot, .. } => {
            let results = run_policy(command)?;
            if let Some(folder) = plot {
                plot::write(folder, &results).context("could not write the plots")?;
            }
            print(*json, &results, |results| output::table(results))
        }
        Command::Path(options) => path::run(options),
        Command::Decide { json } => {
            // Memory comes first, because the time measurements leave freed memory behind that
            // would be reused.
            let memory = decide::measure_memory()?;
            let result = (memory, decide::measure());
            print(*json, &result, |(memory, speeds)| {
                decide::table(speeds, memory)
            })
        }
    }
}

/// Prints a result as JSON or as a table.
fn print<T: Serialize>(json: bool, result: &T, table: impl Fn(&T) -> String) -> anyhow::Result<()> {
    let text = if json {
        serde_json::to_string_pretty(result)?
    } else {
        table(result)
    };
    println!("{text}");
    Ok(())
}

/// Runs every combination of deployment, level and fault schedule.
fn run_policy(command: &Command) -> anyhow::Result<Vec<Comparison>> {
    let Command::Policy {
        workload,
        seed,
        level,
        fault,
        greedy,
        minutes,
        ..
    } = command
    else {
        return Ok(vec![]);
    };
    let levels = if level.is_empty() {
        &DEFAULT_LEVELS[..]
    } else {
        level
    };
    let mut results = vec![];
    for deployment in deployments(workload)? {
        for level in levels {
            for fault in faults(fault)? {
                results.push(compare(&Settings {
                    deployment: deployment.clone(),
                    level: *level,
                    greedy: *greedy,
                    fault,
                    seed: *seed,
                    minutes: *minutes,
                }));
            }
        }
    }
    Ok(results)
}

fn deployments(name: &str) -> anyhow::Result<Vec<Deployment>> {
    if name == "all" {
        return Ok(vec![Deployment::bortolini(), Deployment::condamine()]);
    }
    let deployment = name.parse().map_err(anyhow::Error::msg)?;
    Ok(vec![deployment])
}

fn faults(names: &[String]) -> anyhow::Result<Vec<FaultKind>> {
    if names.is_empty() {
        return Ok(vec![FaultKind::None]);
    }
    if names.iter().any(|name| name == "all") {
        return Ok(FaultKind::ALL.to_vec());
    }
    let faults = names.iter().map(|name| name.parse());
    faults
        .collect::<Result<_, String>>()
        .map_err(anyhow::Error::msg)
}

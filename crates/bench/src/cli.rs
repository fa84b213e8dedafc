//! Command line of the measuring program.

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

/// Loads over capacity that are run when none is named.
const LEVELS: [f64; 3] = [0.7, 1.2, 2.0];

/// Measures the decisions of sardinepath.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub enum Command {
    /// Runs a deployment in virtual time beside a baseline.
    #[bpaf(command)]
    Policy {
        /// Deployment: bortolini, condamine or all.
        #[bpaf(argument("NAME"))]
        workload: String,
        /// Seed of all random choices.
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Offered tokens over capacity. May be repeated.
        #[bpaf(argument("FACTOR"))]
        level: Vec<f64>,
        /// Fault: none, crash, half, centre, reports, gaps or all. May be repeated.
        #[bpaf(argument("NAME"))]
        fault: Vec<String>,
        /// Lets one workspace offer ten times its share.
        greedy: bool,
        /// Virtual minutes.
        #[bpaf(argument("N"), fallback(20))]
        minutes: u64,
        /// Prints JSON in place of a table.
        json: bool,
        /// Writes plots into this folder.
        #[bpaf(argument("FOLDER"), optional)]
        plot: Option<PathBuf>,
    },
    /// Measures the path from callers to targets.
    #[bpaf(command)]
    Path(#[bpaf(external(path_bench))] PathBench),
    /// Measures the time and memory of the decisions.
    #[bpaf(command)]
    Decide {
        /// Prints JSON in place of a table.
        json: bool,
    },
}

/// Runs a command.
pub fn run(command: &Command) -> anyhow::Result<()> {
    match command {
        Command::Policy { json, plot, .. } => {
            let results = run_policy(command)?;
            if let Some(folder) = plot {
                plot::write(folder, &results).context("plots could not be written")?;
            }
            print(*json, &results, |results| output::table(results))
        }
        Command::Path(options) => path::run(options),
        Command::Decide { json } => {
            // Memory first: the speed measurements leave freed memory behind.
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

/// Runs every combination of deployment, level and fault.
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
    let levels = if level.is_empty() { &LEVELS[..] } else { level };
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

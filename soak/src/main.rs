//! Runs the soak test for a range of seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use sardinepath_soak::run::Plan;
use sardinepath_soak::run::default_program;
use sardinepath_soak::run::run;
use tokio::runtime::Runtime;

/// Randomized soak test of gateway processes under faults.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// First seed
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// Number of seeds
    #[bpaf(argument("COUNT"), fallback(1))]
    count: u64,
    /// Seconds with faults for each seed
    #[bpaf(argument("SECONDS"), fallback(15))]
    seconds: u64,
    /// Number of gateways
    #[bpaf(argument("COUNT"), fallback(4))]
    gateways: usize,
    /// Program to run, by default `sardinepath` beside this one
    #[bpaf(argument("FILE"), optional)]
    program: Option<PathBuf>,
    /// Folder for settings and logs
    #[bpaf(argument("FOLDER"), fallback(std::env::temp_dir().join("sardinepath-soak")))]
    folder: PathBuf,
}

fn main() -> ExitCode {
    match soak(&options().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("sardinepath-soak: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn soak(options: &Options) -> anyhow::Result<bool> {
    let program = options.program.clone().map_or_else(default_program, Ok)?;
    let mut failed = Vec::new();
    for seed in options.seed..options.seed + options.count {
        let plan = Plan {
            seed,
            time: Duration::from_secs(options.seconds),
            gateways: options.gateways,
            program: program.clone(),
            folder: options.folder.join(seed.to_string()),
        };
        let outcome = Runtime::new()?.block_on(run(&plan))?;
        let verdict = if outcome.faults.is_empty() {
            "passed"
        } else {
            "FAILED"
        };
        println!("seed {seed}: {verdict}; {}", outcome.summary);
        if !outcome.faults.is_empty() {
            failed.push(seed);
            outcome
                .faults
                .iter()
                .take(20)
                .for_each(|fault| println!("    {fault}"));
            outcome
                .history
                .iter()
                .for_each(|line| println!("        {line}"));
        }
    }
    println!(
        "{} of {} seeds failed: {failed:?}",
        failed.len(),
        options.count
    );
    Ok(failed.is_empty())
}

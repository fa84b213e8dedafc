//! Runs the whole system on loopback in one process, and compares its answers and reports with the
//! records of the stand-ins.

mod calls;
mod fleet;
mod report;
mod train;
mod usage;
mod withdraw;

use sardinepath_adapters::event::emit;
use sardinepath_core::domain::event::Event;

use crate::cli::Exit;
use crate::demo::fleet::Fleet;
use crate::demo::report::Summary;

/// Runs the demo and prints its summary as text or JSON. Fails if a guarantee was violated.
pub fn run(json: bool) -> Exit {
    let summary = match run_all() {
        Ok(summary) => summary,
        Err(e) => {
            emit(Event::ProcessFailed, &[("error", &format!("{e:#}"))]);
            eprintln!("sardinepath: the demo failed: {e:#}");
            return Exit::Failed;
        }
    };
    if json {
        println!("{}", summary.json());
    } else {
        print!("{summary}");
    }
    if summary.violations().is_empty() {
        Exit::Done
    } else {
        Exit::Failed
    }
}

/// Runs all parts of the demo and returns their results.
fn run_all() -> anyhow::Result<Summary> {
    let fleet = Fleet::start()?;
    let mut summary = Summary::default();
    calls::run(&fleet, &mut summary);
    withdraw::run(&fleet, &mut summary)?;
    train::run(&fleet, &mut summary)?;
    usage::run(&fleet, &mut summary)?;
    Ok(summary)
}

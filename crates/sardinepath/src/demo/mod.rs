//! Runs the whole path on the loopback in one process, and compares what the system says with the
//! books of the stand-ins.

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

/// Runs the demo and prints its summary.
pub fn run(json: bool) -> Exit {
    let summary = match play() {
        Ok(summary) => summary,
        Err(e) => {
            emit(Event::ProcessFailed, &[("error", &format!("{e:#}"))]);
            eprintln!("sardinepath: the demo could not run: {e:#}");
            return Exit::Failed;
        }
    };
    if json {
        println!("{}", summary.json());
    } else {
        print!("{summary}");
    }
    if summary.broken().is_empty() {
        Exit::Done
    } else {
        Exit::Failed
    }
}

/// Plays all parts and gathers the figures.
fn play() -> anyhow::Result<Summary> {
    let fleet = Fleet::start()?;
    let mut summary = Summary::default();
    calls::play(&fleet, &mut summary);
    withdraw::play(&fleet, &mut summary)?;
    train::play(&fleet, &mut summary)?;
    usage::play(&fleet, &mut summary)?;
    Ok(summary)
}

//! Rollout service for reinforcement learning.

mod cli;
mod config;
mod logging;
mod role;

use std::path::Path;
use std::process::ExitCode;

use log::LevelFilter;
use sardinepath_adapters::event::emit;
use sardinepath_core::decision::process::DrainEnd;
use sardinepath_core::domain::event::Event;
use serde::de::DeserializeOwned;

use crate::cli::Command;
use crate::cli::Exit;

fn main() -> ExitCode {
    let exit = match cli::parse() {
        Ok(Command::Entry { settings, log }) => run(&settings, log, role::run_entry),
        Ok(Command::Agent { settings, log }) => run(&settings, log, role::run_agent),
        Ok(Command::Check { file }) => check(&file),
        Err(exit) => exit,
    };
    exit.into()
}

/// Runs a role with the settings in a file.
fn run<T: DeserializeOwned>(
    file: &Path,
    level: LevelFilter,
    role: impl FnOnce(&T) -> anyhow::Result<DrainEnd>,
) -> Exit {
    let settings = match config::load(file) {
        Ok(settings) => settings,
        Err(e) => return report(&e, Exit::Usage),
    };
    let _logger = match logging::start(level) {
        Ok(logger) => logger,
        Err(e) => return report(&e, Exit::Failed),
    };
    match role(&settings) {
        Ok(DrainEnd::Finished) => Exit::Done,
        Ok(DrainEnd::LimitReached) => Exit::Failed,
        Err(e) => {
            emit(Event::ProcessFailed, &[("error", &format!("{e:#}"))]);
            Exit::Failed
        }
    }
}

/// Checks a settings file.
fn check(file: &Path) -> Exit {
    match config::check(file) {
        Ok(role) => {
            println!("{}: correct settings of {}", file.display(), role.article());
            Exit::Done
        }
        Err(e) => report(&e, Exit::Usage),
    }
}

/// Prints an error that occurred before logging was started.
fn report(error: &dyn std::fmt::Display, exit: Exit) -> Exit {
    eprintln!("sardinepath: {error}");
    exit
}

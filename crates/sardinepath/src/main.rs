//! Rollout service for reinforcement learning.

mod cli;
mod config;
mod demo;
mod logging;
mod operate;
mod role;

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use flexi_logger::LoggerHandle;
use sardinepath_adapters::event::emit;
use sardinepath_adapters::panic;
use sardinepath_core::decision::process::DrainEnd;
use sardinepath_core::domain::event::Event;
use sardinepath_platform::settings::Settings;

use crate::cli::Command;
use crate::cli::Exit;
use crate::config::CheckedFile;

fn main() -> ExitCode {
    let exit = match cli::parse() {
        Ok(Command::Entry { settings, log }) => run(
            config::load(&settings),
            || logging::start(log),
            role::run_entry,
        ),
        Ok(Command::Agent { settings, log }) => run(
            config::load(&settings),
            || logging::start(log),
            role::run_agent,
        ),
        Ok(Command::Gateway {
            settings,
            metrics,
            log,
        }) => run(
            Settings::load(&settings),
            || logging::start_queued(log),
            |settings| role::run_gateway(settings, metrics),
        ),
        Ok(Command::Standby { settings, log }) => run(
            Settings::load(&settings),
            || logging::start_queued(log),
            role::run_standby,
        ),
        Ok(Command::Demo { json }) => demo::run(json),
        Ok(Command::Check { objects, file }) => check(&file, objects),
        Ok(Command::Apply { objects, file }) => operate::apply(&file, objects),
        Ok(Command::Diff { objects, file }) => operate::diff(&file, objects),
        Ok(Command::Get { objects, path }) => operate::get(&path, objects),
        Ok(Command::List { objects, prefix }) => operate::list(&prefix, objects),
        Err(exit) => exit,
    };
    exit.into()
}

/// Starts logging and runs a role with the settings that were loaded from its file.
fn run<T>(
    settings: Result<T, impl Display>,
    logger: impl FnOnce() -> anyhow::Result<LoggerHandle>,
    role: impl FnOnce(&T) -> anyhow::Result<DrainEnd>,
) -> Exit {
    let settings = match settings {
        Ok(settings) => settings,
        Err(e) => return print_error(&e, Exit::Usage),
    };
    let logger = match logger() {
        Ok(logger) => logger,
        Err(e) => return print_error(&e, Exit::Failed),
    };
    panic::install_hook();
    let exit = exit_for(role(&settings));
    logger.flush();
    exit
}

/// Logs the error if a role failed, and returns the exit code.
fn exit_for(result: anyhow::Result<DrainEnd>) -> Exit {
    match result {
        Ok(DrainEnd::Finished) => Exit::Done,
        Ok(DrainEnd::LimitReached) => Exit::Failed,
        Err(e) => {
            emit(Event::ProcessFailed, &[("error", &format!("{e:#}"))]);
            Exit::Failed
        }
    }
}

/// Checks a settings file or a declarations file.
fn check(file: &Path, objects: Option<SocketAddr>) -> Exit {
    match config::check(file) {
        Ok(CheckedFile::Settings(role)) => {
            println!(
                "{}: valid settings of {}",
                file.display(),
                role.name_with_article()
            );
            Exit::Done
        }
        Ok(CheckedFile::Declarations) => operate::check(file, objects),
        Err(e) => print_error(&e, Exit::Usage),
    }
}

/// Prints an error to standard error and returns the given exit code.
pub(crate) fn print_error(error: &dyn Display, exit: Exit) -> Exit {
    eprintln!("sardinepath: {error}");
    exit
}

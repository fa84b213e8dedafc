//! Runs a role until a signal ends it.

use std::fmt::Display;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::bail;
use sardinepath_adapters::clock::HostClock;
use sardinepath_adapters::event::emit;
use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::decision::process::DrainEnd;
use sardinepath_core::decision::process::Process;
use sardinepath_core::decision::process::Serving;
use sardinepath_core::decision::process::Starting;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_node::agent::Agent;
use sardinepath_node::config::AgentSettings;
use sardinepath_node::config::EntrySettings;
use sardinepath_node::entry::Entry;
use sardinepath_platform::gateway::RunningGateway;
use sardinepath_platform::settings::Settings;
use sardinepath_platform::standby::RunningStandby;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Runs an entry until a signal ends it.
pub fn run_entry(settings: &EntrySettings) -> anyhow::Result<DrainEnd> {
    let process = start(settings.drain_limit);
    let signals = signals()?;
    let objects = Arc::new(HttpObjects::new(settings.objects));
    let entry = Entry::start(settings, objects)?;
    announce(&[
        ("role", &"entry"),
        ("host", &settings.host),
        ("address", &entry.address),
        ("peer", &entry.peer),
        ("admin", &entry.admin),
    ]);
    run(process.serve(), signals, |process| {
        entry.drain(process, &HostClock)
    })
}

/// Runs an agent until a signal ends it.
pub fn run_agent(settings: &AgentSettings) -> anyhow::Result<DrainEnd> {
    let process = start(settings.drain_limit);
    let signals = signals()?;
    let agent = Agent::start(settings)?;
    announce(&[
        ("role", &"agent"),
        ("host", &settings.host),
        ("address", &agent.address),
        ("admin", &agent.admin),
    ]);
    run(process.serve(), signals, |process| {
        agent.drain(process, &HostClock)
    })
}

/// Runs a gateway on the platform until a signal ends it.
pub fn run_gateway(settings: &Settings, metrics: Option<u16>) -> anyhow::Result<DrainEnd> {
    let signals = platform_signals()?;
    let process = Process::new(settings.bounds.grace_period());
    let incarnation = Incarnation(rand::random());
    let gateway = RunningGateway::start(settings, incarnation, metrics)?;
    announce(&[
        ("role", &"gateway"),
        ("host", &settings.host),
        ("peer", &settings.internal_address()),
        ("incarnation", &incarnation),
    ]);
    run(process.serve(), signals, |_| gateway.drain())
}

/// Runs the standby role of a store host until a signal ends it.
pub fn run_standby(settings: &Settings) -> anyhow::Result<DrainEnd> {
    let signals = platform_signals()?;
    let process = Process::new(settings.bounds.grace_period());
    let standby = RunningStandby::start(settings)?;
    announce(&[("role", &"standby"), ("host", &settings.host)]);
    run(process.serve(), signals, |_| {
        drop(standby);
        DrainEnd::Finished
    })
}

/// Registers the signals of the platform, which sends SIGHUP after a change of the settings.
fn platform_signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

fn start(limit: u64) -> Process<Starting> {
    Process::new(Duration::from_secs(limit))
}

/// Registers the signals before the role starts, so that an early one starts the drain later.
fn signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT])
}

fn announce(fields: &[(&str, &dyn Display)]) {
    emit(Event::Serving, fields);
}

/// Waits for the first signal and drains. Further signals are logged and change nothing.
fn run(
    process: Process<Serving>,
    mut signals: Signals,
    drain: impl FnOnce(Process<Serving>) -> DrainEnd,
) -> anyhow::Result<DrainEnd> {
    let limit = process.drain_limit().as_secs();
    let ends = |signal: &i32| {
        // The addresses of a process hold for its life, so changed settings wait for a restart.
        let reload = *signal == SIGHUP;
        if reload {
            emit(Event::SettingsChanged, &[]);
        }
        !reload
    };
    let Some(signal) = signals.forever().find(ends) else {
        bail!("the signal handler was closed")
    };
    emit(
        Event::DrainStarted,
        &[("signal", &signal), ("limit", &limit)],
    );
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                emit(Event::SignalIgnored, &[("signal", &signal)]);
            }
        })?;
    let end = drain(process);
    match end {
        DrainEnd::Finished => emit(Event::DrainFinished, &[]),
        DrainEnd::LimitReached => emit(Event::DrainLimitReached, &[("limit", &limit)]),
    }
    Ok(end)
}

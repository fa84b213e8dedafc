//! Runs each role until a shutdown signal arrives, then drains it.

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

/// Runs an entry until a shutdown signal arrives, then drains it.
pub fn run_entry(settings: &EntrySettings) -> anyhow::Result<DrainEnd> {
    let process = new_process(settings.drain_limit);
    let signals = shutdown_signals()?;
    let objects = Arc::new(HttpObjects::new(settings.objects));
    let entry = Entry::start(settings, objects)?;
    log_serving(&[
        ("role", &"entry"),
        ("host", &settings.host),
        ("address", &entry.address),
        ("peer", &entry.peer),
        ("admin", &entry.admin),
    ]);
    run_until_signal(process.serve(), signals, entry)
}

/// Runs an agent until a shutdown signal arrives, then drains it.
pub fn run_agent(settings: &AgentSettings) -> anyhow::Result<DrainEnd> {
    let process = new_process(settings.drain_limit);
    let signals = shutdown_signals()?;
    let agent = Agent::start(settings)?;
    log_serving(&[
        ("role", &"agent"),
        ("host", &settings.host),
        ("address", &agent.address),
        ("admin", &agent.admin),
    ]);
    run_until_signal(process.serve(), signals, agent)
}

/// Runs a gateway on the platform until a shutdown signal arrives, then drains it. Metrics are
/// served if a port is given.
pub fn run_gateway(settings: &Settings, metrics: Option<u16>) -> anyhow::Result<DrainEnd> {
    let signals = platform_signals()?;
    let process = Process::new(settings.bounds.grace_period());
    let incarnation = Incarnation(rand::random());
    let gateway = RunningGateway::start(settings, incarnation, metrics)?;
    log_serving(&[
        ("role", &"gateway"),
        ("host", &settings.host),
        ("peer", &settings.internal_address()),
        ("incarnation", &incarnation),
    ]);
    run_until_signal(process.serve(), signals, gateway)
}

/// Runs the standby role of a store host until a shutdown signal arrives.
pub fn run_standby(settings: &Settings) -> anyhow::Result<DrainEnd> {
    let signals = platform_signals()?;
    let process = Process::new(settings.bounds.grace_period());
    let standby = RunningStandby::start(settings)?;
    log_serving(&[("role", &"standby"), ("host", &settings.host)]);
    run_until_signal(process.serve(), signals, standby)
}

/// Registers the shutdown signals and SIGHUP, which the platform sends when the settings change.
fn platform_signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

fn new_process(limit: u64) -> Process<Starting> {
    Process::new(Duration::from_secs(limit))
}

/// Registers the shutdown signals. This happens before the role starts, so that a signal that
/// arrives during the start still triggers the drain.
fn shutdown_signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT])
}

fn log_serving(fields: &[(&str, &dyn Display)]) {
    emit(Event::Serving, fields);
}

/// Role that runs until a shutdown signal arrives.
trait Role {
    /// Reports the process as not ready. This happens before the drain is logged.
    fn begin_drain(&self);

    /// Drains the role to its end.
    fn drain(self, process: Process<Serving>) -> DrainEnd;
}

impl Role for Entry {
    fn begin_drain(&self) {
        Entry::begin_drain(self);
    }

    fn drain(self, process: Process<Serving>) -> DrainEnd {
        Entry::drain(&self, process, &HostClock)
    }
}

impl Role for Agent {
    fn begin_drain(&self) {
        Agent::begin_drain(self);
    }

    fn drain(self, process: Process<Serving>) -> DrainEnd {
        Agent::drain(&self, process, &HostClock)
    }
}

impl Role for RunningGateway {
    fn begin_drain(&self) {
        RunningGateway::begin_drain(self);
    }

    fn drain(self, _: Process<Serving>) -> DrainEnd {
        RunningGateway::drain(self)
    }
}

impl Role for RunningStandby {
    /// A standby serves nothing that a load balancer asks about.
    fn begin_drain(&self) {}

    fn drain(self, _: Process<Serving>) -> DrainEnd {
        DrainEnd::Finished
    }
}

/// Waits for the first shutdown signal and drains the role. Later signals are only logged.
fn run_until_signal(
    process: Process<Serving>,
    mut signals: Signals,
    role: impl Role,
) -> anyhow::Result<DrainEnd> {
    let limit = process.drain_limit().as_secs();
    let is_shutdown = |signal: &i32| {
        // The addresses of a process are fixed at start, so changed settings need a restart.
        let reload = *signal == SIGHUP;
        if reload {
            emit(Event::SettingsChanged, &[]);
        }
        !reload
    };
    let Some(signal) = signals.forever().find(is_shutdown) else {
        bail!("the signal handler was closed")
    };
    role.begin_drain();
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
    let end = role.drain(process);
    match end {
        DrainEnd::Finished => emit(Event::DrainFinished, &[]),
        DrainEnd::LimitReached => emit(Event::DrainLimitReached, &[("limit", &limit)]),
    }
    Ok(end)
}

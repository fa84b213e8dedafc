//! Stand-in of a model engine with continuous batching, a prefix cache, weight swaps and faults.

mod answer;
mod cache;
mod model;
mod record;
mod serve;
mod settings;

use std::net::SocketAddr;

pub use answer::Script;
pub use record::Ending;
pub use record::EngineLog;
pub use record::Execution;
pub use record::OrderRecord;
pub use settings::EngineFaults;
pub use settings::EngineSettings;

use crate::control::Control;
use crate::engine::model::Model;
use crate::http::Server;

/// Running engine that stops when dropped.
#[derive(Debug)]
pub struct Engine {
    /// Address on which the engine listens, which stays the same after a restart.
    pub address: SocketAddr,
    server: Server,
    control: Control<Model>,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub fn start(settings: EngineSettings) -> anyhow::Result<Self> {
        let seed = settings.seed;
        let control = Control::start(Model::new(settings));
        let server = Server::start(serve::handler(control.clone(), seed))?;
        Ok(Self {
            address: server.address,
            server,
            control,
        })
    }

    /// Changes the faults of the engine.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults) + Send + 'static) {
        self.control.ask(|model| change(&mut model.faults));
    }

    /// Drops the next `events` cache events, so that readers see a gap.
    pub fn lose_events(&self, events: u32) {
        self.control
            .ask(move |model| model.cache.drop_next = events);
    }

    /// Closes the listener and all connections and resets all state but the log and the faults.
    pub fn crash(&self) {
        // Otherwise a connection that closes here could count as cancelled by its caller.
        self.control.ask(|model| model.frozen = true);
        self.server.stop();
        self.control.ask(Model::crash);
    }

    /// Listens again after a crash, with the initial weights loaded.
    pub fn restart(&self) -> anyhow::Result<()> {
        self.server.restart()
    }

    /// Returns the log of executed completions and received requests.
    pub fn log(&self) -> EngineLog {
        self.control.ask(|model| model.log.clone())
    }

    /// Returns the current numbers of running and waiting completions, not delayed by
    /// `load_lag`.
    pub fn load(&self) -> (usize, usize) {
        self.control.ask(|model| model.load_now())
    }
}

//! A model engine: continuous batching, prefix cache, weight swaps and faults on request.

mod answer;
mod book;
mod cache;
mod model;
mod serve;
mod settings;

use std::net::SocketAddr;

pub use answer::Script;
pub use book::Book;
pub use book::Ending;
pub use book::Execution;
pub use book::OrderRecord;
pub use settings::EngineFaults;
pub use settings::EngineSettings;

use crate::control::Control;
use crate::engine::model::Model;
use crate::http::Server;

/// A running engine. It stops when dropped.
#[derive(Debug)]
pub struct Engine {
    /// Address on which it listens.
    pub address: SocketAddr,
    server: Server,
    control: Control<Model>,
}

impl Engine {
    /// Starts an engine on a free port of the loopback.
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

    /// Changes what the engine does wrong from now on.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults) + Send + 'static) {
        self.control.ask(|model| change(&mut model.faults));
    }

    /// Loses this many of the next cache events, so that readers see a gap.
    pub fn lose_events(&self, events: u32) {
        self.control.ask(move |model| model.cache.lose = events);
    }

    /// Closes all connections and loses all state but the book.
    pub fn crash(&self) {
        // Without this, a closing connection could count as cancelled by its caller.
        self.control.ask(|model| model.frozen = true);
        self.server.go_down();
        self.control.ask(Model::crash);
    }

    /// Serves again after a crash, with the weights of the first start.
    pub fn restart(&self) -> anyhow::Result<()> {
        self.server.come_back()
    }

    /// Returns everything that was executed and seen.
    pub fn book(&self) -> Book {
        self.control.ask(|model| model.book.clone())
    }

    /// Returns how many completions run and wait, without lag.
    pub fn load(&self) -> (usize, usize) {
        self.control.ask(|model| model.load_now())
    }
}

//! The agent role: serves entries beside a target.

pub mod attempt;
pub mod control;
pub mod drain;
pub mod orders;
pub mod service;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use flume::Sender;
use sardinepath_adapters::admin::AdminServer;
use sardinepath_adapters::rpc::server::RpcServer;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_adapters::target::HttpTarget;
use sardinepath_core::decision::agent::AgentState;
use sardinepath_core::domain::ids::Incarnation;

use crate::agent::control::Control;
use crate::agent::control::Message;
use crate::agent::drain::AgentAdmin;
use crate::agent::drain::DrainSignal;
use crate::agent::service::AgentService;
use crate::config::AgentSettings;
use crate::metrics::Metrics;

/// Capacity of the control thread's queue in messages.
const CONTROL_QUEUE_CAPACITY: usize = 1024;

/// Time that tasks have to stop once the process stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// A running agent. Dropping it stops its threads.
#[derive(Debug)]
pub struct Agent {
    /// Address on which entries are served.
    pub address: SocketAddr,
    /// Address of the administration server.
    pub admin: SocketAddr,
    draining: Arc<AtomicBool>,
    control: Sender<Message>,
    runtime: Option<Runtime>,
    server: RpcServer,
    _admin: AdminServer,
}

impl Agent {
    /// Starts the threads and servers of an agent.
    ///
    /// Fails if a thread cannot be started or an address cannot be listened on.
    pub fn start(settings: &AgentSettings) -> anyhow::Result<Self> {
        let runtime =
            Runtime::start(settings.threads).context("could not start the traffic threads")?;
        let spawner = runtime.spawner();
        let (control, queue) = flume::bounded(CONTROL_QUEUE_CAPACITY);
        let metrics = Arc::new(Metrics::new()?);
        let (signal, drain) = DrainSignal::new();
        let agent_state = AgentState::new(Incarnation(rand::random()));
        let target = Arc::new(HttpTarget::new(spawner.clone(), settings.address));
        let loads = orders::start(target.clone())?;
        let control_state = Control::new(agent_state, settings.target.clone(), loads, signal);
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control_state.run(&queue))?;
        control::poll_status(target.clone(), control.clone())?;
        let service = AgentService::new(
            spawner.clone(),
            control.clone(),
            target,
            drain,
            metrics.clone(),
        );
        let listener = TcpListener::bind(settings.listen)
            .with_context(|| format!("could not listen on {}", settings.listen))?;
        let server = RpcServer::agent(&spawner, listener, Arc::new(service))?;
        let draining = Arc::new(AtomicBool::new(false));
        let front = AgentAdmin {
            metrics,
            control: control.clone(),
            draining: draining.clone(),
        };
        let admin = AdminServer::start(settings.admin, Arc::new(front))?;
        Ok(Self {
            address: server.address,
            admin: admin.address,
            draining,
            control,
            runtime: Some(runtime),
            server,
            _admin: admin,
        })
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        // The control thread may have ended already.
        let _ = self.control.send(Message::Stop);
        if let Some(runtime) = self.runtime.take() {
            runtime.stop(SHUTDOWN_TIMEOUT);
        }
    }
}

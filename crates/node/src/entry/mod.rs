//! The entry role.

pub mod control;
pub mod drain;
pub mod reports;
pub mod service;
pub mod watch;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use flume::Sender;
use sardinepath_adapters::admin::AdminServer;
use sardinepath_adapters::caller::CallerServer;
use sardinepath_adapters::caller::limits::CallerLimits;
use sardinepath_adapters::clock::HostClock;
use sardinepath_adapters::rpc::client::Peers;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::object::ObjectPort;

use crate::config::EntrySettings;
use crate::entry::control::Control;
use crate::entry::control::Message;
use crate::entry::drain::EntryAdmin;
use crate::entry::service::EntryService;
use crate::metrics::Metrics;

/// Messages that may wait for the control thread. At 2,000 requests a second it takes them in
/// well under a second; a longer queue would only hide an overload.
const CONTROL_ROOM: usize = 1024;

/// Time for tasks to stop after the last request.
const STOP_LIMIT: Duration = Duration::from_secs(1);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for administration.
    pub admin: SocketAddr,
    draining: Arc<AtomicBool>,
    control: Sender<Message>,
    runtime: Option<Runtime>,
    server: CallerServer,
    _admin: AdminServer,
}

impl Entry {
    /// Starts an entry.
    pub fn start(settings: &EntrySettings, objects: Arc<dyn ObjectPort>) -> anyhow::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(HostClock);
        let runtime = Runtime::start(settings.threads).context("could not start threads")?;
        let spawner = runtime.spawner();
        let peers = Arc::new(Peers::new(spawner.clone()));
        let (control, queue) = flume::bounded(CONTROL_ROOM);
        let snapshot = control::new_snapshot();
        let follow = reports::Follow::new(spawner.clone(), peers.clone(), control.clone());
        let traffic = Traffic::new(settings.centre.clone(), rand::random());
        let state = Control::new(clock.clone(), snapshot.clone(), follow, traffic);
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || state.run(&queue))?;
        watch::start(objects, control.clone())?;
        let metrics = Arc::new(Metrics::new()?);
        let service = EntryService::new(
            spawner.clone(),
            clock,
            snapshot.clone(),
            control.clone(),
            peers,
            metrics.clone(),
        );
        let listener = TcpListener::bind(settings.listen)
            .with_context(|| format!("could not listen on {}", settings.listen))?;
        let server = CallerServer::start(
            &spawner,
            listener,
            CallerLimits::default(),
            Arc::new(service),
        )?;
        let draining = Arc::new(AtomicBool::new(false));
        let front = EntryAdmin {
            metrics,
            snapshot,
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

impl Drop for Entry {
    fn drop(&mut self) {
        // The control thread may have ended already.
        let _ = self.control.send(Message::Stop);
        if let Some(runtime) = self.runtime.take() {
            runtime.stop(STOP_LIMIT);
        }
    }
}

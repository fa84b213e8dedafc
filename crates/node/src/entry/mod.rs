//! The entry role.

pub mod control;
pub mod drain;
pub mod duty;
pub mod member;
pub mod peer;
pub mod platform;
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
use sardinepath_adapters::platform::HttpHosts;
use sardinepath_adapters::rpc::client::Peers;
use sardinepath_adapters::rpc::peer::PeerRpcServer;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::object::ObjectPort;

use crate::config::EntrySettings;
use crate::entry::control::Control;
use crate::entry::control::Message;
use crate::entry::control::Published;
use crate::entry::drain::EntryAdmin;
use crate::entry::member::Membership;
use crate::entry::peer::Distribution;
use crate::entry::peer::Identity;
use crate::entry::peer::PeerMessage;
use crate::entry::peer::PeerService;
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
    /// Address for other entries.
    pub peer: SocketAddr,
    /// Address for administration.
    pub admin: SocketAddr,
    draining: Arc<AtomicBool>,
    control: Sender<Message>,
    runtime: Option<Runtime>,
    server: CallerServer,
    _admin: AdminServer,
    _peer_server: PeerRpcServer,
}

/// What the parts of an entry share while it is put together.
struct Parts {
    clock: Arc<dyn Clock>,
    spawner: Spawner,
    peers: Arc<Peers>,
    control: Sender<Message>,
    snapshot: Published,
    metrics: Arc<Metrics>,
}

impl Entry {
    /// Starts an entry.
    pub fn start(settings: &EntrySettings, objects: Arc<dyn ObjectPort>) -> anyhow::Result<Self> {
        let runtime = Runtime::start(settings.threads).context("could not start threads")?;
        let parts = start_control(settings, runtime.spawner())?;
        watch::start(objects, parts.clock.clone(), parts.control.clone())?;
        if let Some(address) = settings.hosts {
            member::start(Arc::new(HttpHosts::new(address)), parts.control.clone())?;
        }
        let peer_server = parts.serve_peers(settings.peer)?;
        let server = parts.serve_callers(settings.listen)?;
        let draining = Arc::new(AtomicBool::new(false));
        let front = EntryAdmin {
            metrics: parts.metrics,
            snapshot: parts.snapshot,
            control: parts.control.clone(),
            draining: draining.clone(),
        };
        let admin = AdminServer::start(settings.admin, Arc::new(front))?;
        let entry = Self {
            address: server.address,
            peer: peer_server.address,
            admin: admin.address,
            draining,
            control: parts.control,
            runtime: Some(runtime),
            server,
            _admin: admin,
            _peer_server: peer_server,
        };
        entry.meet(settings.entries.clone().into_iter().collect());
        Ok(entry)
    }

    /// Tells the entry which other entries there are. Its own host is left out.
    pub fn meet(&self, entries: Vec<(HostName, SocketAddr)>) {
        // A stopped entry has no use for them.
        let _ = self.control.send(Message::Peer(PeerMessage::Know(entries)));
    }
}

impl Parts {
    /// Serves the other entries.
    fn serve_peers(&self, address: SocketAddr) -> anyhow::Result<PeerRpcServer> {
        let front = PeerService::new(
            self.spawner.clone(),
            self.snapshot.clone(),
            self.control.clone(),
        );
        PeerRpcServer::start(&self.spawner, listen(address)?, Arc::new(front))
    }

    /// Serves callers.
    fn serve_callers(&self, address: SocketAddr) -> anyhow::Result<CallerServer> {
        let service = EntryService::new(
            self.spawner.clone(),
            self.clock.clone(),
            self.snapshot.clone(),
            self.control.clone(),
            self.peers.clone(),
            self.metrics.clone(),
        );
        let limits = CallerLimits::default();
        CallerServer::start(&self.spawner, listen(address)?, limits, Arc::new(service))
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

/// Starts the control thread.
fn start_control(settings: &EntrySettings, spawner: Spawner) -> anyhow::Result<Parts> {
    let clock: Arc<dyn Clock> = Arc::new(HostClock);
    let peers = Arc::new(Peers::new(spawner.clone()));
    let (control, queue) = flume::bounded(CONTROL_ROOM);
    let identity = Identity {
        host: settings.host.clone(),
        incarnation: Incarnation(rand::random()),
    };
    let distribution = Distribution::new(identity, spawner.clone(), peers.clone(), control.clone());
    let snapshot = control::new_snapshot(distribution.pulse(clock.now()));
    let state = Control::new(
        clock.clone(),
        snapshot.clone(),
        reports::Follow::new(spawner.clone(), peers.clone(), control.clone()),
        Traffic::new(settings.centre.clone(), rand::random()),
        distribution,
        Membership::new(settings.host.clone()),
    );
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || state.run(&queue))?;
    Ok(Parts {
        clock,
        spawner,
        peers,
        control,
        snapshot,
        metrics: Arc::new(Metrics::new()?),
    })
}

/// Listens on an address.
fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("could not listen on {address}"))
}

//! The entry role.

pub mod control;
pub mod peer;
pub mod reports;
pub mod service;
pub mod watch;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use flume::Sender;
use sardinepath_adapters::caller::CallerServer;
use sardinepath_adapters::caller::limits::CallerLimits;
use sardinepath_adapters::clock::HostClock;
use sardinepath_adapters::rpc::client::Peers;
use sardinepath_adapters::rpc::peer::PeerRpcServer;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::object::ObjectPort;

use crate::config::EntrySettings;
use crate::entry::control::Control;
use crate::entry::control::Message;
use crate::entry::peer::Distribution;
use crate::entry::peer::Identity;
use crate::entry::peer::PeerMessage;
use crate::entry::peer::PeerService;
use crate::entry::service::EntryService;

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
    control: Sender<Message>,
    runtime: Option<Runtime>,
    _server: CallerServer,
    _peer_server: PeerRpcServer,
}

impl Entry {
    /// Starts an entry.
    pub fn start(settings: &EntrySettings, objects: Arc<dyn ObjectPort>) -> anyhow::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(HostClock);
        let runtime = Runtime::start(settings.threads).context("could not start threads")?;
        let spawner = runtime.spawner();
        let peers = Arc::new(Peers::new(spawner.clone()));
        let (control, queue) = flume::bounded(CONTROL_ROOM);
        let identity = Identity {
            host: settings.host.clone(),
            incarnation: Incarnation(rand::random()),
        };
        let distribution =
            Distribution::new(identity, spawner.clone(), peers.clone(), control.clone());
        let snapshot = control::new_snapshot(distribution.pulse(clock.now()));
        let follow = reports::Follow::new(spawner.clone(), peers.clone(), control.clone());
        let state = Control::new(clock.clone(), snapshot.clone(), follow, distribution);
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || state.run(&queue))?;
        watch::start(objects, clock.clone(), control.clone())?;
        let front = PeerService::new(spawner.clone(), snapshot.clone(), control.clone());
        let peer_listener = TcpListener::bind(settings.peer)
            .with_context(|| format!("could not listen on {}", settings.peer))?;
        let peer_server = PeerRpcServer::start(&spawner, peer_listener, Arc::new(front))?;
        let service = EntryService::new(spawner.clone(), clock, snapshot, control.clone(), peers);
        let listener = TcpListener::bind(settings.listen)
            .with_context(|| format!("could not listen on {}", settings.listen))?;
        let server = CallerServer::start(
            &spawner,
            listener,
            CallerLimits::default(),
            Arc::new(service),
        )?;
        Ok(Self {
            address: server.address,
            peer: peer_server.address,
            control,
            runtime: Some(runtime),
            _server: server,
            _peer_server: peer_server,
        })
    }

    /// Tells the entry which other entries there are. Its own host is left out.
    pub fn meet(&self, entries: Vec<(HostName, SocketAddr)>) {
        // A stopped entry has no use for them.
        let _ = self.control.send(Message::Peer(PeerMessage::Know(entries)));
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

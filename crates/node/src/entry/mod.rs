//! The entry role: serves callers and shares the work on the platform with other entries.

pub mod control;
pub mod drain;
pub mod duty;
pub mod inbox;
pub mod member;
pub mod peer;
pub mod platform;
pub mod reports;
pub mod request;
pub mod service;
pub mod snapshot;
pub mod step;
pub mod watch;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

use anyhow::Context as _;
use flume::Sender;
use sardinepath_adapters::admin::AdminServer;
use sardinepath_adapters::caller::CallerServer;
use sardinepath_adapters::caller::limits::CallerLimits;
use sardinepath_adapters::clock::HostClock;
use sardinepath_adapters::platform::HttpHosts;
use sardinepath_adapters::platform::HttpOrders;
use sardinepath_adapters::platform::HttpScores;
use sardinepath_adapters::platform::HttpUsage;
use sardinepath_adapters::platform::HttpWeights;
use sardinepath_adapters::rpc::client::RpcClient;
use sardinepath_adapters::rpc::peer::PeerRpcServer;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::decision::memory::MemoryLimits;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::order::OrderPort;
use sardinepath_core::port::score::ScorePort;
use sardinepath_core::port::usage::UsagePort;
use sardinepath_core::port::weight::WeightPort;

use crate::config::EntrySettings;
use crate::entry::control::Control;
use crate::entry::control::Message;
use crate::entry::drain::EntryAdmin;
use crate::entry::duty::Duties;
use crate::entry::duty::DutySettings;
use crate::entry::duty::context::Context;
use crate::entry::duty::context::Ports;
use crate::entry::duty::metrics::DutyMetrics;
use crate::entry::inbox::Inbox;
use crate::entry::member::Membership;
use crate::entry::peer::Distribution;
use crate::entry::peer::Identity;
use crate::entry::peer::PeerMessage;
use crate::entry::peer::PeerService;
use crate::entry::platform::PlatformPool;
use crate::entry::service::EntryService;
use crate::entry::snapshot::SharedSnapshot;
use crate::entry::snapshot::new_snapshot;
use crate::entry::step::Steps;
use crate::entry::step::front::StepService;
use crate::metrics::Metrics;

/// Capacity of the control thread's queue in messages. At 2,000 requests a second it drains in well
/// under a second; a longer queue would only hide an overload.
const CONTROL_QUEUE_CAPACITY: usize = 1024;

/// Number of threads for lease calls, and of threads for the other calls of the duties. With 17
/// leases and calls of 0.5 s, four threads renew each lease well within its validity of 8 s.
const PLATFORM_THREADS: usize = 4;

/// Time that tasks have to stop once the process stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// A running entry. Dropping it stops its threads.
#[derive(Debug)]
pub struct Entry {
    /// Address on which callers are served.
    pub address: SocketAddr,
    /// Address on which other entries are served.
    pub peer: SocketAddr,
    /// Address of the administration server.
    pub admin: SocketAddr,
    draining: Arc<AtomicBool>,
    control: Sender<Message>,
    runtime: Option<Runtime>,
    server: CallerServer,
    _admin: AdminServer,
    _peer_server: PeerRpcServer,
}

/// Components that are shared while an entry is assembled.
struct Components {
    clock: Arc<dyn Clock>,
    spawner: Spawner,
    peers: Arc<RpcClient>,
    control: Sender<Message>,
    snapshot: SharedSnapshot,
    metrics: Arc<Metrics>,
}

impl Entry {
    /// Starts the threads and servers of an entry.
    ///
    /// Fails if a thread cannot be started or an address cannot be listened on.
    pub fn start(settings: &EntrySettings, objects: Arc<dyn ObjectPort>) -> anyhow::Result<Self> {
        let runtime =
            Runtime::start(settings.threads).context("could not start the traffic threads")?;
        let components = start_control(settings, runtime.spawner(), objects.clone())?;
        let (watch, peer) = (
            Inbox::new(&components.control),
            Inbox::new(&components.control),
        );
        watch::start(objects, components.clock.clone(), watch, peer)?;
        if let Some(address) = settings.hosts {
            let hosts = Arc::new(HttpHosts::new(address));
            member::start(hosts, Inbox::new(&components.control))?;
        }
        let peer_server = components.serve_peers(settings.peer)?;
        let server = components.serve_callers(settings)?;
        let draining = Arc::new(AtomicBool::new(false));
        let admin_front = EntryAdmin {
            metrics: components.metrics,
            snapshot: components.snapshot,
            control: components.control.clone(),
            draining: draining.clone(),
        };
        let admin = AdminServer::start(settings.admin, Arc::new(admin_front))?;
        let entry = Self {
            address: server.address,
            peer: peer_server.address,
            admin: admin.address,
            draining,
            control: components.control,
            runtime: Some(runtime),
            server,
            _admin: admin,
            _peer_server: peer_server,
        };
        entry.set_entries(settings.entries.clone().into_iter().collect());
        Ok(entry)
    }

    /// Sets the other entries, by host with their addresses for entries. The own host is ignored.
    pub fn set_entries(&self, entries: Vec<(HostName, SocketAddr)>) {
        // The control thread may have ended already.
        let _ = self
            .control
            .send(Message::Peer(PeerMessage::SetEntries(entries)));
    }
}

impl Components {
    /// Starts the server for other entries.
    fn serve_peers(&self, address: SocketAddr) -> anyhow::Result<PeerRpcServer> {
        let service = PeerService::new(
            self.spawner.clone(),
            self.snapshot.clone(),
            Inbox::new(&self.control),
            Inbox::new(&self.control),
        );
        PeerRpcServer::start(&self.spawner, listen(address)?, Arc::new(service))
    }

    /// Starts the server for callers.
    fn serve_callers(&self, settings: &EntrySettings) -> anyhow::Result<CallerServer> {
        let service = Arc::new(self.service());
        let limits = CallerLimits {
            memory: MemoryLimits::for_host(settings.memory << 20),
            ..CallerLimits::default()
        };
        CallerServer::start(&self.spawner, listen(settings.listen)?, limits, service)
    }

    /// Creates the set of report streams to the agents.
    fn report_streams(&self, host: HostName) -> reports::ReportStreams {
        reports::ReportStreams::new(
            host,
            self.spawner.clone(),
            self.peers.clone(),
            Inbox::new(&self.control),
        )
    }

    /// Creates the service that runs callers' requests.
    fn service(&self) -> EntryService {
        let steps = StepService::new(
            self.clock.clone(),
            self.snapshot.clone(),
            Inbox::new(&self.control),
            self.metrics.clone(),
        );
        EntryService::new(
            self.spawner.clone(),
            self.clock.clone(),
            self.snapshot.clone(),
            Inbox::new(&self.control),
            self.peers.clone(),
            Arc::new(steps),
            self.metrics.clone(),
        )
    }

    /// Creates the state of the trainers' steps and starts its threads.
    fn start_steps(
        &self,
        settings: &EntrySettings,
        objects: Arc<dyn ObjectPort>,
    ) -> anyhow::Result<Steps> {
        let scores = settings.scoring.map(HttpScores::new);
        Steps::start(
            objects,
            scores.map(|scores| Arc::new(scores) as Arc<dyn ScorePort>),
            self.service(),
            self.spawner.clone(),
            Inbox::new(&self.control),
            self.metrics.clone(),
        )
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The control thread may have ended already.
        let _ = self.control.send(Message::Stop);
        if let Some(runtime) = self.runtime.take() {
            runtime.stop(SHUTDOWN_TIMEOUT);
        }
    }
}

/// Creates the control state and starts the control thread.
fn start_control(
    settings: &EntrySettings,
    spawner: Spawner,
    objects: Arc<dyn ObjectPort>,
) -> anyhow::Result<Components> {
    let clock: Arc<dyn Clock> = Arc::new(HostClock);
    let peers = Arc::new(RpcClient::new(spawner.clone()));
    let (control, queue) = flume::bounded(CONTROL_QUEUE_CAPACITY);
    let identity = Identity {
        host: settings.host.clone(),
        incarnation: Incarnation(rand::random()),
    };
    let metrics = Arc::new(Metrics::new()?);
    let inbox = Inbox::new(&control);
    let context = Context {
        ports: ports(settings, &spawner, clock.clone(), objects.clone()),
        spawner: spawner.clone(),
        peers: peers.clone(),
        leases: PlatformPool::start(PLATFORM_THREADS, &inbox)?,
        calls: PlatformPool::start(PLATFORM_THREADS, &inbox)?,
        control: inbox,
        metrics: DutyMetrics::new(&metrics)?,
        pending: 0,
    };
    let duties = DutySettings {
        incarnation: identity.incarnation,
        host: settings.host.clone(),
        centre: settings.centre.clone(),
        window: Duration::from_secs(settings.window),
    };
    let inbox = Inbox::new(&control);
    let distribution = Distribution::new(identity, spawner.clone(), peers.clone(), inbox);
    let snapshot = new_snapshot(distribution.heartbeat(clock.now()));
    let components = Components {
        clock,
        spawner,
        peers,
        control,
        snapshot,
        metrics,
    };
    let control_state = Control::new(
        components.clock.clone(),
        components.snapshot.clone(),
        components.report_streams(settings.host.clone()),
        Traffic::new(settings.centre.clone(), rand::random()),
        distribution,
        Duties::new(duties, context),
        Membership::new(settings.host.clone()),
    );
    let control_state = control_state.with_steps(components.start_steps(settings, objects)?);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control_state.run(&queue))?;
    Ok(components)
}

/// Creates clients for the platform interfaces that are configured.
fn ports(
    settings: &EntrySettings,
    spawner: &Spawner,
    clock: Arc<dyn Clock>,
    objects: Arc<dyn ObjectPort>,
) -> Ports {
    let usage =
        |address| -> Arc<dyn UsagePort> { Arc::new(HttpUsage::new(spawner.clone(), address)) };
    let orders =
        |address| -> Arc<dyn OrderPort> { Arc::new(HttpOrders::new(spawner.clone(), address)) };
    let weights = |address| -> Arc<dyn WeightPort> { Arc::new(HttpWeights::new(address)) };
    Ports {
        clock,
        objects,
        usage: settings.usage.map(usage),
        orders: settings.orders.map(orders),
        weights: settings.weights.map(weights),
    }
}

/// Binds a listener to an address.
fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("could not listen on {address}"))
}

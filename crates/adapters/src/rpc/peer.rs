//! gRPC between entries: configuration updates, usage counters and heartbeats.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use futures_util::Stream;
use futures_util::stream::unfold;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::port::peer::HeartbeatState;
use sardinepath_core::port::peer::PeerFront;
use sardinepath_core::port::peer::PeerPort;
use sardinepath_core::port::peer::PeerUpdate;
use sardinepath_core::port::target::CallGuard;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Server;

use crate::rpc::client::RpcClient;
use crate::rpc::convert::counter_to_wire;
use crate::rpc::generated as wire;
use crate::rpc::generated::peer_client::PeerClient;
use crate::rpc::generated::peer_server::Peer;
use crate::rpc::generated::peer_server::PeerServer;
use crate::rpc::listen::incoming;
use crate::runtime::Spawner;
use crate::runtime::Task;
use crate::runtime::timeout;

/// Time limit for a heartbeat, the length of two heartbeat rounds.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time without a message from a followed entry, which sends an update every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of updates that are buffered for a slow reader. Each can hold a tree of one megabyte.
const UPDATE_QUEUE_CAPACITY: usize = 4;

/// Interval of HTTP/2 keepalive pings to clients, and time limit for the response to one.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum size of a message in bytes. A message with a tree of one megabyte is slightly larger.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

type UpdateStream = Pin<Box<dyn Stream<Item = Result<wire::ConfigUpdate, Status>> + Send>>;

/// Running gRPC server for other entries, which stops when dropped.
#[derive(Debug)]
pub struct PeerRpcServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    _task: Task,
}

/// Implementation of the gRPC service on the entry's port.
struct PeerAdapter {
    front: Arc<dyn PeerFront>,
}

impl PeerRpcServer {
    /// Starts serving an entry's port on a listener.
    ///
    /// Fails if the listener has no address or cannot be registered with the runtime.
    pub fn start(
        spawner: &Spawner,
        listener: TcpListener,
        front: Arc<dyn PeerFront>,
    ) -> anyhow::Result<Self> {
        let (address, incoming) = incoming(spawner, listener)?;
        let serve = Server::builder()
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL))
            .add_service(PeerServer::new(PeerAdapter { front }))
            .serve_with_incoming(incoming);
        let task = spawner.spawn(async move {
            if let Err(e) = serve.await {
                log::error!("gRPC server for entries on {address} failed: {e}");
            }
        });
        Ok(Self {
            address,
            _task: task,
        })
    }
}

#[tonic::async_trait]
impl Peer for PeerAdapter {
    type FollowStream = UpdateStream;

    async fn follow(
        &self,
        request: Request<wire::FollowRequest>,
    ) -> Result<Response<UpdateStream>, Status> {
        let after = Revision(request.into_inner().after);
        let (sender, updates) = flume::bounded(UPDATE_QUEUE_CAPACITY);
        let guard = self.front.follow(after, sender);
        let stream = unfold((updates, guard), |(updates, guard)| async move {
            let update = updates.recv_async().await.ok()?;
            Some((update_to_wire(update), (updates, guard)))
        });
        Ok(Response::new(Box::pin(stream)))
    }

    async fn counters(
        &self,
        _request: Request<wire::CountersRequest>,
    ) -> Result<Response<wire::CountersReply>, Status> {
        let (sender, reply) = flume::bounded(1);
        self.front.counters(sender);
        let counters = reply.recv_async().await;
        let counters =
            counters.map_err(|_| Status::unavailable("the entry is stopping or overloaded"))?;
        Ok(Response::new(wire::CountersReply {
            counters: counters.iter().map(counter_to_wire).collect(),
        }))
    }

    async fn heartbeat(
        &self,
        request: Request<wire::HeartbeatRequest>,
    ) -> Result<Response<wire::HeartbeatReply>, Status> {
        let message = request.into_inner();
        let state = self.front.heartbeat(HeartbeatState {
            host: HostName::from(message.host),
            incarnation: Incarnation(message.incarnation),
            revision: Revision(message.revision),
            platform: message.platform,
        });
        Ok(Response::new(wire::HeartbeatReply {
            host: state.host.to_string(),
            incarnation: state.incarnation.0,
            revision: state.revision.0,
            platform: state.platform,
        }))
    }
}

impl PeerPort for RpcClient {
    fn follow(
        &self,
        peer: SocketAddr,
        after: Revision,
        updates: Sender<PeerUpdate>,
    ) -> Box<dyn CallGuard> {
        let channel = self.channel(peer);
        Box::new(self.spawner.spawn(follow(channel, after, updates)))
    }

    fn heartbeat(
        &self,
        peer: SocketAddr,
        state: HeartbeatState,
        reply: Sender<HeartbeatState>,
    ) -> Box<dyn CallGuard> {
        let channel = self.channel(peer);
        Box::new(self.spawner.spawn(heartbeat(channel, state, reply)))
    }
}

/// Sends updates of a peer to the channel `updates` until the stream ends, no update arrives for
/// too long or an update is malformed.
async fn follow(channel: Channel, after: Revision, updates: Sender<PeerUpdate>) {
    let mut client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let request = wire::FollowRequest { after: after.0 };
    let Some(Ok(response)) = timeout(IDLE_TIMEOUT, client.follow(request)).await else {
        return;
    };
    let mut stream = response.into_inner();
    while let Some(Ok(Some(update))) = timeout(IDLE_TIMEOUT, stream.message()).await {
        let update = match update_from_wire(update) {
            Ok(update) => update,
            Err(e) => {
                log::error!("malformed configuration update from a peer: {e}");
                return;
            }
        };
        if updates.send_async(update).await.is_err() {
            return;
        }
    }
}

async fn heartbeat(channel: Channel, state: HeartbeatState, reply: Sender<HeartbeatState>) {
    let mut client = PeerClient::new(channel);
    let request = wire::HeartbeatRequest {
        host: state.host.to_string(),
        incarnation: state.incarnation.0,
        revision: state.revision.0,
        platform: state.platform,
    };
    let Some(Ok(response)) = timeout(HEARTBEAT_TIMEOUT, client.heartbeat(request)).await else {
        return;
    };
    let message = response.into_inner();
    let state = HeartbeatState {
        host: HostName::from(message.host),
        incarnation: Incarnation(message.incarnation),
        revision: Revision(message.revision),
        platform: message.platform,
    };
    // The channel is closed if the entry is stopping.
    let _ = reply.send_async(state).await;
}

fn update_to_wire(update: PeerUpdate) -> Result<wire::ConfigUpdate, Status> {
    let teams = update.teams.into_iter().map(|(team, state)| {
        let tree = state.tree.map(|tree| serde_json::to_string(&*tree));
        let tree = tree
            .transpose()
            .map_err(|e| Status::internal(e.to_string()))?;
        Ok(wire::TeamUpdate {
            team: team.to_string(),
            revision: state.revision.0,
            tree: tree.unwrap_or_default(),
        })
    });
    Ok(wire::ConfigUpdate {
        teams: teams.collect::<Result<_, Status>>()?,
        revision: update.complete.map_or(0, |revision| revision.0),
    })
}

fn update_from_wire(update: wire::ConfigUpdate) -> Result<PeerUpdate, serde_json::Error> {
    let teams = update.teams.into_iter().map(|team| {
        let tree = match team.tree.as_str() {
            "" => None,
            text => Some(Arc::new(serde_json::from_str(text)?)),
        };
        let state = TeamState {
            revision: Revision(team.revision),
            tree,
        };
        Ok((TeamName::from(team.team), state))
    });
    Ok(PeerUpdate {
        teams: teams.collect::<Result<_, serde_json::Error>>()?,
        complete: (update.revision > 0).then_some(Revision(update.revision)),
    })
}

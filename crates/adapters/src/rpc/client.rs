//! Client side of the messages between own processes.

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use sardinepath_core::decision::agent::Known;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::order::AgentOrder;
use sardinepath_core::domain::order::OrderAnswer;
use sardinepath_core::domain::target::Report;
use sardinepath_core::port::agent::AgentPort;
use sardinepath_core::port::target::CallGuard;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::rpc::convert::answer_from_wire;
use crate::rpc::convert::call_to_wire;
use crate::rpc::convert::counter_from_wire;
use crate::rpc::convert::event_from_wire;
use crate::rpc::convert::known_from_wire;
use crate::rpc::convert::order_to_wire;
use crate::rpc::convert::report_from_wire;
use crate::rpc::generated as wire;
use crate::rpc::generated::agent_client::AgentClient;
use crate::rpc::generated::peer_client::PeerClient;
use crate::runtime::Spawner;
use crate::runtime::timeout;

/// Time for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Interval of keep-alive pings, which find connections whose state a device on the path lost.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time for the answer to a ping.
const PING_LIMIT: Duration = Duration::from_secs(2);

/// Longest silence on a stream. The other side sends a heartbeat every second.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Time for an order. The agent gives the target 30 s for a load.
const ORDER_LIMIT: Duration = Duration::from_secs(35);

/// Bytes that one unread stream may hold. A caller that stops reading holds this much.
const STREAM_WINDOW: u32 = 64 << 10;

/// Bytes that all unread streams of a connection may hold. Stalled callers use up a smaller
/// window, and then every stream of the connection stands still.
const CONNECTION_WINDOW: u32 = 4096 * STREAM_WINDOW;

/// Connections to other processes by address.
#[derive(Debug)]
pub struct Peers {
    pub(crate) spawner: Spawner,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Peers {
    /// Creates an empty set of connections.
    pub fn new(spawner: Spawner) -> Self {
        Self {
            spawner,
            channels: Mutex::new(HashMap::new()),
        }
    }

    /// Receives the reports of an agent until the stream ends or falls silent.
    pub async fn reports(&self, agent: SocketAddr, interval: Duration, reports: Sender<Report>) {
        let mut client = AgentClient::new(self.channel(agent));
        let request = wire::ReportRequest {
            interval: u64::try_from(interval.as_millis()).unwrap_or(u64::MAX),
        };
        let Some(Ok(answer)) = timeout(SILENCE_LIMIT, client.report(request)).await else {
            return;
        };
        let mut stream = answer.into_inner();
        while let Some(Ok(Some(report))) = timeout(SILENCE_LIMIT, stream.message()).await {
            if reports.send_async(report_from_wire(report)).await.is_err() {
                return;
            }
        }
    }

    /// Sends an order to an agent and waits until it has taken effect or failed.
    pub async fn order(
        &self,
        agent: SocketAddr,
        order: &AgentOrder,
    ) -> Result<OrderAnswer, Failure> {
        let mut client = AgentClient::new(self.channel(agent));
        let answer = timeout(ORDER_LIMIT, client.order(order_to_wire(order))).await;
        unary(answer).map(|reply| answer_from_wire(&reply))
    }

    /// Asks an agent what it knows of a request. An agent that has restarted knows nothing of
    /// earlier requests, so "unknown" never means "not run".
    pub async fn lookup(
        &self,
        agent: SocketAddr,
        request: RequestId,
    ) -> Result<(Incarnation, Known), Failure> {
        let mut client = AgentClient::new(self.channel(agent));
        let request = wire::LookupRequest {
            request: Bytes::copy_from_slice(&request.0.to_be_bytes()),
        };
        let answer = timeout(SILENCE_LIMIT, client.lookup(request)).await;
        unary(answer).map(|reply| known_from_wire(&reply))
    }

    /// Reads the usage counters of an agent.
    pub async fn counters(&self, agent: SocketAddr) -> Result<Vec<Counter>, Failure> {
        let mut client = AgentClient::new(self.channel(agent));
        let answer = timeout(SILENCE_LIMIT, client.counters(wire::CountersRequest {})).await;
        let reply = unary(answer)?;
        Ok(reply.counters.into_iter().map(counter_from_wire).collect())
    }

    /// Reads the usage counters that an entry has seen.
    pub async fn entry_counters(&self, entry: SocketAddr) -> Result<Vec<Counter>, Failure> {
        let mut client = PeerClient::new(self.channel(entry)).max_decoding_message_size(8 << 20);
        let answer = timeout(SILENCE_LIMIT, client.counters(wire::CountersRequest {})).await;
        let reply = unary(answer)?;
        Ok(reply.counters.into_iter().map(counter_from_wire).collect())
    }

    /// Returns the connection to an address. It is opened at first use.
    pub(crate) fn channel(&self, address: SocketAddr) -> Channel {
        let _context = self.spawner.enter();
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels
            .entry(address)
            .or_insert_with(|| open(address))
            .clone()
    }
}

impl AgentPort for Peers {
    fn execute(
        &self,
        agent: SocketAddr,
        call: Call,
        events: Sender<CallEvent>,
    ) -> Box<dyn CallGuard> {
        let channel = self.channel(agent);
        Box::new(self.spawner.spawn(execute(channel, call, events)))
    }
}

/// Runs one attempt and passes its events on.
async fn execute(channel: Channel, call: Call, events: Sender<CallEvent>) {
    let mut client = AgentClient::new(channel).max_decoding_message_size(8 << 20);
    let of = (call.request, call.attempt);
    // The agent opens the stream at once and sends its events on it.
    let mut stream = match timeout(SILENCE_LIMIT, client.execute(call_to_wire(&call))).await {
        Some(Ok(answer)) => answer.into_inner(),
        Some(Err(status)) => return fail(&events, failure_of(&status)).await,
        None => return fail(&events, Failure::from(ErrorKind::AgentLost)).await,
    };
    loop {
        let event = match timeout(SILENCE_LIMIT, stream.message()).await {
            Some(Ok(Some(event))) => event_from_wire(event, of),
            Some(Ok(None)) => return fail(&events, Failure::from(ErrorKind::Truncated)).await,
            Some(Err(_)) => return fail(&events, Failure::from(ErrorKind::AgentLost)).await,
            None => return fail(&events, Failure::from(ErrorKind::TargetSilent)).await,
        };
        let last = matches!(event, CallEvent::End(_) | CallEvent::Failed(_));
        if events.send_async(event).await.is_err() || last {
            return;
        }
    }
}

async fn fail(events: &Sender<CallEvent>, failure: Failure) {
    // A closed channel means that the attempt was abandoned.
    let _ = events.send_async(CallEvent::Failed(failure)).await;
}

/// Returns the reply to a question, or why there is none.
fn unary<T>(answer: Option<Result<Response<T>, Status>>) -> Result<T, Failure> {
    match answer {
        Some(Ok(reply)) => Ok(reply.into_inner()),
        Some(Err(status)) => Err(failure_of(&status)),
        None => Err(Failure::from(ErrorKind::AgentLost)),
    }
}

/// Tells whether the request left this host. Only a connection that was never made is certain.
fn failure_of(status: &Status) -> Failure {
    let mut cause: Option<&(dyn Error + 'static)> = status.source();
    while let Some(error) = cause {
        if error.is::<tonic::ConnectError>() {
            return Failure::from(ErrorKind::Unreachable);
        }
        cause = error.source();
    }
    Failure::from(ErrorKind::AgentLost)
}

/// Describes a connection with pings. It is opened when first used.
fn open(address: SocketAddr) -> Channel {
    // An address of numbers always makes a valid URI.
    #[allow(clippy::expect_used)]
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .connect_timeout(CONNECT_LIMIT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_LIMIT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .connect_lazy()
}

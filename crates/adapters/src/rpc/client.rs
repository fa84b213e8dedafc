//! gRPC client for agents and entries.

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use sardinepath_core::decision::agent::RequestState;
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

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of HTTP/2 keepalive pings, which detect connections that a network device has dropped.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Time limit for the response to a keepalive ping.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time without a message on a stream, on which the server sends a heartbeat every second.
/// It is also the time limit for a response to a short call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time limit for an order. The agent allows the target 30 s for loading weights.
const ORDER_TIMEOUT: Duration = Duration::from_secs(35);

/// HTTP/2 flow control window of a stream in bytes. A caller that stops reading takes up this much.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// HTTP/2 flow control window of a connection in bytes. With a smaller one, stalled callers would
/// block every stream of the connection.
const CONNECTION_WINDOW_BYTES: u32 = 4096 * STREAM_WINDOW_BYTES;

/// gRPC client that keeps one connection for each address.
#[derive(Debug)]
pub struct RpcClient {
    pub(crate) spawner: Spawner,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl RpcClient {
    /// Creates a client without connections.
    pub fn new(spawner: Spawner) -> Self {
        Self {
            spawner,
            channels: Mutex::new(HashMap::new()),
        }
    }

    /// Requests reports of an agent at an interval, and sends them to `reports`.
    ///
    /// Returns when the stream ends, no report arrives for too long or the receiver is dropped.
    pub async fn reports(&self, agent: SocketAddr, interval: Duration, reports: Sender<Report>) {
        let mut client = AgentClient::new(self.channel(agent));
        let request = wire::ReportRequest {
            interval: u64::try_from(interval.as_millis()).unwrap_or(u64::MAX),
        };
        let Some(Ok(response)) = timeout(IDLE_TIMEOUT, client.report(request)).await else {
            return;
        };
        let mut stream = response.into_inner();
        while let Some(Ok(Some(report))) = timeout(IDLE_TIMEOUT, stream.message()).await {
            if reports.send_async(report_from_wire(report)).await.is_err() {
                return;
            }
        }
    }

    /// Sends an order to an agent, and waits until it has taken effect or failed.
    ///
    /// Fails with `Unreachable` if the order was certainly not sent, and with `AgentLost` if its
    /// effect is unknown.
    pub async fn order(
        &self,
        agent: SocketAddr,
        order: &AgentOrder,
    ) -> Result<OrderAnswer, Failure> {
        let mut client = AgentClient::new(self.channel(agent));
        let response = timeout(ORDER_TIMEOUT, client.order(order_to_wire(order))).await;
        unary_reply(response).map(|reply| answer_from_wire(&reply))
    }

    /// Returns what an agent knows about a request, with the incarnation of the agent.
    ///
    /// A restarted agent does not know earlier requests, so `Unknown` does not mean that the
    /// request did not run.
    pub async fn lookup(
        &self,
        agent: SocketAddr,
        request: RequestId,
    ) -> Result<(Incarnation, RequestState), Failure> {
        let mut client = AgentClient::new(self.channel(agent));
        let request = wire::LookupRequest {
            request: Bytes::copy_from_slice(&request.0.to_be_bytes()),
        };
        let response = timeout(IDLE_TIMEOUT, client.lookup(request)).await;
        unary_reply(response).map(|reply| known_from_wire(&reply))
    }

    /// Returns the usage counters of an agent.
    pub async fn counters(&self, agent: SocketAddr) -> Result<Vec<Counter>, Failure> {
        let mut client = AgentClient::new(self.channel(agent));
        let response = timeout(IDLE_TIMEOUT, client.counters(wire::CountersRequest {})).await;
        let reply = unary_reply(response)?;
        Ok(reply.counters.into_iter().map(counter_from_wire).collect())
    }

    /// Returns the usage counters that an entry has received.
    pub async fn entry_counters(&self, entry: SocketAddr) -> Result<Vec<Counter>, Failure> {
        let mut client = PeerClient::new(self.channel(entry)).max_decoding_message_size(8 << 20);
        let response = timeout(IDLE_TIMEOUT, client.counters(wire::CountersRequest {})).await;
        let reply = unary_reply(response)?;
        Ok(reply.counters.into_iter().map(counter_from_wire).collect())
    }

    /// Returns the channel to an address. The connection is opened at the first call.
    pub(crate) fn channel(&self, address: SocketAddr) -> Channel {
        let _context = self.spawner.enter();
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels
            .entry(address)
            .or_insert_with(|| lazy_channel(address))
            .clone()
    }
}

impl AgentPort for RpcClient {
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

/// Runs one attempt and sends its events to the channel `events`.
async fn execute(channel: Channel, call: Call, events: Sender<CallEvent>) {
    let mut client = AgentClient::new(channel).max_decoding_message_size(8 << 20);
    let expected = (call.request, call.attempt);
    // The agent opens the stream at once, so a late response means that the agent is lost.
    let mut stream = match timeout(IDLE_TIMEOUT, client.execute(call_to_wire(&call))).await {
        Some(Ok(response)) => response.into_inner(),
        Some(Err(status)) => return fail(&events, failure_from_status(&status)).await,
        None => return fail(&events, Failure::from(ErrorKind::AgentLost)).await,
    };
    loop {
        let event = match timeout(IDLE_TIMEOUT, stream.message()).await {
            Some(Ok(Some(event))) => event_from_wire(event, expected),
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
    // The channel is closed if the attempt was cancelled.
    let _ = events.send_async(CallEvent::Failed(failure)).await;
}

/// Returns the message of a unary response, or the failure of the call.
fn unary_reply<T>(response: Option<Result<Response<T>, Status>>) -> Result<T, Failure> {
    match response {
        Some(Ok(reply)) => Ok(reply.into_inner()),
        Some(Err(status)) => Err(failure_from_status(&status)),
        None => Err(Failure::from(ErrorKind::AgentLost)),
    }
}

/// Returns `Unreachable` if no connection was established, so that the request was certainly not
/// sent, and `AgentLost` otherwise.
fn failure_from_status(status: &Status) -> Failure {
    let mut cause: Option<&(dyn Error + 'static)> = status.source();
    while let Some(error) = cause {
        if error.is::<tonic::ConnectError>() {
            return Failure::from(ErrorKind::Unreachable);
        }
        cause = error.source();
    }
    Failure::from(ErrorKind::AgentLost)
}

/// Returns a channel whose connection is opened at the first call.
fn lazy_channel(address: SocketAddr) -> Channel {
    // A socket address is always valid in a URI.
    #[allow(clippy::expect_used)]
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .connect_lazy()
}

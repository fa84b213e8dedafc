//! gRPC server of an agent.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use futures_util::Stream;
use futures_util::stream::unfold;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::event::Event;
use sardinepath_core::port::front::AgentFront;
use sardinepath_core::port::target::CallGuard;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

use crate::event::emit;
use crate::rpc::convert::answer_to_wire;
use crate::rpc::convert::call_from_wire;
use crate::rpc::convert::counter_to_wire;
use crate::rpc::convert::event_to_wire;
use crate::rpc::convert::known_to_wire;
use crate::rpc::convert::order_from_wire;
use crate::rpc::convert::report_to_wire;
use crate::rpc::convert::request_id;
use crate::rpc::generated as wire;
use crate::rpc::generated::agent_server::Agent;
use crate::rpc::generated::agent_server::AgentServer;
use crate::rpc::listen::incoming;
use crate::runtime::Spawner;
use crate::runtime::Task;
use crate::runtime::timeout;

/// Number of events of an attempt that are buffered for a slow reader.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// Time without an event after which a stream carries a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of HTTP/2 keepalive pings to clients, and time limit for the response to one.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

type Events<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Running gRPC server of an agent, which stops when dropped.
#[derive(Debug)]
pub struct RpcServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    stop: Sender<()>,
    finished: Receiver<()>,
    _task: Task,
}

/// Implementation of the gRPC service on the agent's port.
struct AgentAdapter {
    front: Arc<dyn AgentFront>,
}

impl RpcServer {
    /// Starts serving an agent's port on a listener.
    ///
    /// Fails if the listener has no address or cannot be registered with the runtime.
    pub fn agent(
        spawner: &Spawner,
        listener: TcpListener,
        front: Arc<dyn AgentFront>,
    ) -> anyhow::Result<Self> {
        let (address, incoming) = incoming(spawner, listener)?;
        let (stop, stopped) = flume::bounded(1);
        let (ended, finished) = flume::bounded::<()>(0);
        let service = AgentServer::new(AgentAdapter { front }).max_decoding_message_size(8 << 20);
        let serve = Server::builder()
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL))
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, async move {
                // The channel is closed if the server was dropped.
                let _ = stopped.recv_async().await;
            });
        let task = spawner.spawn(async move {
            if let Err(e) = serve.await {
                emit(
                    Event::RpcServerEnded,
                    &[("address", &address), ("error", &e)],
                );
            }
            drop(ended);
        });
        Ok(Self {
            address,
            stop,
            finished,
            _task: task,
        })
    }

    /// Stops accepting calls. The returned channel closes once all open streams have ended.
    pub fn drain(&self) -> Receiver<()> {
        // A full channel already holds a stop request.
        let _ = self.stop.try_send(());
        self.finished.clone()
    }
}

#[tonic::async_trait]
impl Agent for AgentAdapter {
    type ExecuteStream = Events<wire::ExecuteEvent>;
    type ReportStream = Events<wire::TargetReport>;

    async fn execute(
        &self,
        request: Request<wire::ExecuteRequest>,
    ) -> Result<Response<Self::ExecuteStream>, Status> {
        let call = call_from_wire(request.into_inner())
            .ok_or_else(|| Status::invalid_argument("the request id is malformed"))?;
        let attempt = (call.request, call.attempt);
        let (sender, events) = flume::bounded(EVENT_QUEUE_CAPACITY);
        let guard = self.front.execute(call, sender);
        let stream = unfold((events, guard), move |(events, guard)| async move {
            let event = next_event(&events).await?;
            Some((Ok(event_to_wire(event, attempt)), (events, guard)))
        });
        Ok(Response::new(Box::pin(stream)))
    }

    async fn report(
        &self,
        request: Request<wire::ReportRequest>,
    ) -> Result<Response<Self::ReportStream>, Status> {
        let interval = Duration::from_millis(request.into_inner().interval.max(100));
        let (sender, reports) = flume::bounded(1);
        let guard: Box<dyn CallGuard> = self.front.reports(interval, sender);
        let stream = unfold((reports, guard), |(reports, guard)| async move {
            let report = reports.recv_async().await.ok()?;
            Some((Ok(report_to_wire(report)), (reports, guard)))
        });
        Ok(Response::new(Box::pin(stream)))
    }

    async fn order(
        &self,
        request: Request<wire::OrderRequest>,
    ) -> Result<Response<wire::OrderReply>, Status> {
        let order = order_from_wire(request.into_inner())
            .ok_or_else(|| Status::invalid_argument("the order does not say what to do"))?;
        let (sender, reply) = flume::bounded(1);
        self.front.order(order, sender);
        Ok(Response::new(answer_to_wire(receive_reply(reply).await?)))
    }

    async fn lookup(
        &self,
        request: Request<wire::LookupRequest>,
    ) -> Result<Response<wire::LookupReply>, Status> {
        let request = request_id(&request.into_inner().request)
            .ok_or_else(|| Status::invalid_argument("the request id is malformed"))?;
        let (sender, reply) = flume::bounded(1);
        self.front.lookup(request, sender);
        let (incarnation, known) = receive_reply(reply).await?;
        Ok(Response::new(known_to_wire(incarnation, known)))
    }

    async fn counters(
        &self,
        _request: Request<wire::CountersRequest>,
    ) -> Result<Response<wire::CountersReply>, Status> {
        let (sender, reply) = flume::bounded(1);
        self.front.counters(sender);
        let counters = receive_reply(reply).await?;
        Ok(Response::new(wire::CountersReply {
            counters: counters.iter().map(counter_to_wire).collect(),
        }))
    }
}

/// Waits for the agent's reply. Fails with `UNAVAILABLE` if the agent drops the reply channel.
async fn receive_reply<T>(reply: Receiver<T>) -> Result<T, Status> {
    let result = reply.recv_async().await;
    result.map_err(|_| Status::unavailable("the agent is stopping or overloaded"))
}

/// Returns the next event, a heartbeat if there is none for a while, or `None` at the end.
async fn next_event(events: &Receiver<CallEvent>) -> Option<CallEvent> {
    match timeout(HEARTBEAT_INTERVAL, events.recv_async()).await {
        Some(event) => event.ok(),
        None => Some(CallEvent::Heartbeat),
    }
}

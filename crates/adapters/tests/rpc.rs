//! Tests how the gRPC client checks the events of an attempt.

#![allow(clippy::unwrap_used, missing_docs)]

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::iter;
use sardinepath_adapters::rpc::client::RpcClient;
use sardinepath_adapters::rpc::generated as wire;
use sardinepath_adapters::rpc::generated::agent_server::Agent;
use sardinepath_adapters::rpc::generated::agent_server::AgentServer;
use sardinepath_adapters::rpc::generated::execute_event::Event;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::port::agent::AgentPort;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

/// Time limit for each wait of a test. A wait reaches it only if the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

type Events<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Agent that sends the same events for every call.
struct FixedAgent {
    events: Vec<wire::ExecuteEvent>,
}

#[tonic::async_trait]
impl Agent for FixedAgent {
    type ExecuteStream = Events<wire::ExecuteEvent>;
    type ReportStream = Events<wire::TargetReport>;

    async fn execute(
        &self,
        _: Request<wire::ExecuteRequest>,
    ) -> Result<Response<Self::ExecuteStream>, Status> {
        let events = self.events.clone().into_iter().map(Ok);
        Ok(Response::new(Box::pin(iter(events))))
    }

    async fn report(
        &self,
        _: Request<wire::ReportRequest>,
    ) -> Result<Response<Self::ReportStream>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }

    async fn order(
        &self,
        _: Request<wire::OrderRequest>,
    ) -> Result<Response<wire::OrderReply>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }

    async fn lookup(
        &self,
        _: Request<wire::LookupRequest>,
    ) -> Result<Response<wire::LookupReply>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }

    async fn counters(
        &self,
        _: Request<wire::CountersRequest>,
    ) -> Result<Response<wire::CountersReply>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }
}

fn event(event: Event, request: u128, attempt: u32) -> wire::ExecuteEvent {
    wire::ExecuteEvent {
        event: Some(event),
        request: Bytes::copy_from_slice(&request.to_be_bytes()),
        attempt,
    }
}

fn head() -> Event {
    Event::Head(wire::Head {
        status: 200,
        headers: Vec::new(),
    })
}

fn end() -> Event {
    Event::End(wire::End::default())
}

fn not_run() -> Event {
    Event::Failure(wire::Failure {
        kind: "target_busy".to_owned(),
        run: 0,
        detail: String::new(),
    })
}

fn call() -> Call {
    Call {
        request: RequestId(1),
        attempt: Attempt(2),
        workspace: WorkspaceId {
            team: "print".into(),
            name: "diary".into(),
        },
        method: Arc::from("POST"),
        path: Arc::from("/"),
        fields: Arc::from([]),
        body: Arc::from([]),
        idempotent: false,
        deadline: WAIT_TIMEOUT,
        priority: Priority::Interactive,
        streamed: false,
    }
}

/// Runs attempt 2 of request 1 at an agent that sends `events`, and returns the last event.
fn run(events: Vec<wire::ExecuteEvent>) -> CallEvent {
    let runtime = Runtime::start(2).unwrap();
    let (sender, address) = flume::bounded(1);
    let _server = runtime.spawner().spawn(async move {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        sender.send(listener.local_addr().unwrap()).unwrap();
        Server::builder()
            .add_service(AgentServer::new(FixedAgent { events }))
            .serve_with_incoming(TcpListenerStream::new(listener))
            .await
            .unwrap();
    });
    let peers = RpcClient::new(runtime.spawner());
    let (sender, events) = flume::bounded(64);
    let _guard = peers.execute(address.recv_timeout(WAIT_TIMEOUT).unwrap(), call(), sender);
    let mut last = events.recv_timeout(WAIT_TIMEOUT).unwrap();
    while let Ok(event) = events.recv_timeout(WAIT_TIMEOUT) {
        last = event;
    }
    last
}

/// Guards against a head, end or failure of another request or attempt that is accepted. With the
/// "not run" of another attempt, a request could be repeated although it ran.
#[test]
fn events_of_another_attempt_fail_the_call() {
    let cases = [
        vec![event(head(), 9, 2), event(end(), 1, 2)],
        vec![event(head(), 1, 2), event(end(), 9, 2)],
        vec![event(head(), 1, 2), event(end(), 1, 1)],
        vec![event(not_run(), 1, 1)],
        vec![event(not_run(), 9, 2)],
    ];
    for case in cases {
        let last = run(case);

        let CallEvent::Failed(failure) = last else {
            panic!("{last:?}");
        };
        assert_eq!(failure, Failure::from(ErrorKind::AgentLost));
    }
}

/// Guards against a check that rejects the events of the attempt itself.
#[test]
fn events_of_the_attempt_pass() {
    let last = run(vec![event(head(), 1, 2), event(end(), 1, 2)]);

    assert!(matches!(last, CallEvent::End(_)), "{last:?}");
}

/// Guards against a stream without an end event that is treated as a complete response.
#[test]
fn stream_that_closes_without_an_end_is_truncated() {
    let last = run(vec![event(head(), 1, 2)]);

    let CallEvent::Failed(failure) = last else {
        panic!("{last:?}");
    };
    assert_eq!(failure, Failure::from(ErrorKind::Truncated));
}

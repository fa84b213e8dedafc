//! HTTP service that combines the state of a protocol with faults and a listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde_json::Value;
use serde_json::json;

use crate::control::Control;
use crate::control::Machine;
use crate::http::Answer;
use crate::http::AnswerFuture;
use crate::http::Handler;
use crate::http::ReceivedRequest;
use crate::http::Server;

/// Faults of a service. Each count applies to the next calls and is then used up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Number of calls that are refused without effect (status 503, `x-not-run: 1`).
    pub refuse: u32,
    /// Number of calls that take effect and are then answered with status 500.
    pub fail: u32,
    /// Number of calls that take effect and whose connection is closed without an answer.
    pub lose: u32,
    /// Time from the arrival of a call to its effect, which occurs even if the caller disconnects.
    pub hold: Duration,
    /// Time from the effect of a call to its answer.
    pub delay: Duration,
}

/// Reply of a protocol to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Status and JSON body.
    Json(u16, Value),
    /// Status 200 and plain text.
    Text(String),
    /// Status 200 and a body of zero bytes, sent as chunks with a time and a length in bytes.
    Paced(Vec<(Instant, usize)>),
}

/// State and behaviour of an HTTP API.
pub trait Protocol: Send + 'static {
    /// Carries out a call.
    fn handle(&mut self, request: &ReceivedRequest, now: Instant) -> Reply;

    /// Returns `true` if faults apply to a call.
    fn can_fail(&self, _request: &ReceivedRequest) -> bool {
        true
    }
}

/// Running service that stops when dropped.
#[derive(Debug)]
pub struct Service<P> {
    /// Address on which the service listens.
    pub address: SocketAddr,
    server: Server,
    control: Control<State<P>>,
}

/// State that the control thread of a service owns.
#[derive(Debug)]
struct State<P> {
    protocol: P,
    faults: Faults,
}

/// Result of a call after faults were applied.
enum Outcome {
    Refused,
    Replied(Reply),
    Failed,
    Lost,
}

impl<P: Protocol> Service<P> {
    /// Starts a service on a free loopback port.
    pub fn serve(protocol: P) -> anyhow::Result<Self> {
        let faults = Faults::default();
        let control = Control::start(State { protocol, faults });
        let server = Server::start(handler(control.clone()))?;
        Ok(Self {
            address: server.address,
            server,
            control,
        })
    }

    /// Runs a closure on the state of the protocol and returns its result.
    pub fn ask<T: Send + 'static>(&self, step: impl FnOnce(&mut P) -> T + Send + 'static) -> T {
        self.control.ask(|state| step(&mut state.protocol))
    }

    /// Changes the faults of the service.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults) + Send + 'static) {
        self.control.ask(|state| change(&mut state.faults));
    }

    /// Closes the listener and all connections. The state is kept.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Listens again on the same address.
    pub fn restart(&self) -> anyhow::Result<()> {
        self.server.restart()
    }
}

impl<P: Protocol> Machine for State<P> {}

impl<P: Protocol> State<P> {
    /// Returns `true` and uses up a fault if a call is refused.
    fn refuses(&mut self, request: &ReceivedRequest) -> bool {
        self.protocol.can_fail(request) && take_fault(&mut self.faults.refuse)
    }

    /// Returns the faults that apply to a call.
    fn faults_of(&self, request: &ReceivedRequest) -> Faults {
        if self.protocol.can_fail(request) {
            self.faults
        } else {
            Faults::default()
        }
    }

    /// Carries out a call and applies the faults of its answer.
    fn handle(&mut self, request: &ReceivedRequest) -> Outcome {
        let reply = self.protocol.handle(request, Instant::now());
        if !self.protocol.can_fail(request) {
            Outcome::Replied(reply)
        } else if take_fault(&mut self.faults.fail) {
            Outcome::Failed
        } else if take_fault(&mut self.faults.lose) {
            Outcome::Lost
        } else {
            Outcome::Replied(reply)
        }
    }
}

fn handler<P: Protocol>(control: Control<State<P>>) -> Handler {
    Arc::new(move |request| -> AnswerFuture {
        // A separate task lets a held call take effect even if its caller disconnects.
        let outcome = tokio::spawn(process(request, control.clone()));
        Box::pin(async move { outcome.await.map_or(Answer::Lost, encode) })
    })
}

async fn process<P: Protocol>(request: ReceivedRequest, control: Control<State<P>>) -> Outcome {
    let (request, refused, faults) = control
        .ask_async(move |state| {
            let refused = state.refuses(&request);
            let faults = state.faults_of(&request);
            (request, refused, faults)
        })
        .await;
    if refused {
        return Outcome::Refused;
    }
    tokio::time::sleep(faults.hold).await;
    let outcome = control.ask_async(move |state| state.handle(&request)).await;
    tokio::time::sleep(faults.delay).await;
    outcome
}

fn encode(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Refused => {
            Answer::json(503, &json!({"error": "not_run"})).with_header("x-not-run", "1")
        }
        Outcome::Failed => Answer::json(500, &json!({"error": "failed"})),
        Outcome::Lost => Answer::Lost,
        Outcome::Replied(Reply::Json(status, value)) => Answer::json(status, &value),
        Outcome::Replied(Reply::Text(text)) => Answer::bytes(200, "text/plain", text),
        Outcome::Replied(Reply::Paced(chunks)) => paced(chunks),
    }
}

fn paced(chunks: Vec<(Instant, usize)>) -> Answer {
    let frames = stream::iter(chunks).then(|(due, length)| async move {
        tokio::time::sleep_until(due.into()).await;
        Ok(Frame::data(Bytes::from(vec![0; length])))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    Answer::body(200, "application/octet-stream", body)
}

/// Uses up one fault of a count. Returns `true` if there was one.
fn take_fault(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}

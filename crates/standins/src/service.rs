//! A stand-in service: a protocol's state, its faults and its listener.

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
use crate::http::Answering;
use crate::http::Handler;
use crate::http::Seen;
use crate::http::Server;

/// What a service does wrong. Counts apply to the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Calls that are refused without effect (503, `x-not-run: 1`).
    pub refuse: u32,
    /// Calls that have their effect and are then answered with status 500.
    pub fail: u32,
    /// Calls that have their effect and whose answer is lost.
    pub lose: u32,
    /// Time between the arrival of a call and its effect, also if the caller goes meanwhile.
    pub hold: Duration,
    /// Time between the effect and the answer.
    pub delay: Duration,
}

/// What a protocol replies.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Status and a JSON value.
    Json(u16, Value),
    /// Status 200 and a text.
    Text(String),
    /// Status 200 and zero bytes, in pieces of a length that are each sent at their time.
    Paced(Vec<(Instant, usize)>),
}

/// The state and the rules of one interface.
pub trait Protocol: Send + 'static {
    /// Carries out one call.
    fn handle(&mut self, seen: &Seen, now: Instant) -> Reply;

    /// Returns true if faults apply to a call.
    fn can_fail(&self, _seen: &Seen) -> bool {
        true
    }
}

/// A running service. It stops when dropped.
#[derive(Debug)]
pub struct Service<P> {
    /// Address on which it listens.
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

enum Outcome {
    Refused,
    Replied(Reply),
    Failed,
    Lost,
}

impl<P: Protocol> Service<P> {
    /// Starts a service on a free port of the loopback.
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

    /// Reads or changes the state of the protocol.
    pub fn ask<T: Send + 'static>(&self, step: impl FnOnce(&mut P) -> T + Send + 'static) -> T {
        self.control.ask(|state| step(&mut state.protocol))
    }

    /// Changes what the service does wrong from now on.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults) + Send + 'static) {
        self.control.ask(|state| change(&mut state.faults));
    }

    /// Closes all connections and refuses new ones. The state is kept.
    pub fn go_down(&self) {
        self.server.go_down();
    }

    /// Serves again.
    pub fn come_back(&self) -> anyhow::Result<()> {
        self.server.come_back()
    }
}

impl<P: Protocol> Machine for State<P> {}

impl<P: Protocol> State<P> {
    fn refuses(&mut self, seen: &Seen) -> bool {
        self.protocol.can_fail(seen) && take(&mut self.faults.refuse)
    }

    /// Returns the faults that apply to a call.
    fn faults_of(&self, seen: &Seen) -> Faults {
        if self.protocol.can_fail(seen) {
            self.faults
        } else {
            Faults::default()
        }
    }

    fn handle(&mut self, seen: &Seen) -> Outcome {
        let reply = self.protocol.handle(seen, Instant::now());
        if !self.protocol.can_fail(seen) {
            Outcome::Replied(reply)
        } else if take(&mut self.faults.fail) {
            Outcome::Failed
        } else if take(&mut self.faults.lose) {
            Outcome::Lost
        } else {
            Outcome::Replied(reply)
        }
    }
}

fn handler<P: Protocol>(control: Control<State<P>>) -> Handler {
    Arc::new(move |seen| -> Answering {
        // A task of its own, since a held call has its effect even if its caller has gone.
        let outcome = tokio::spawn(process(seen, control.clone()));
        Box::pin(async move { outcome.await.map_or(Answer::Lost, encode) })
    })
}

async fn process<P: Protocol>(seen: Seen, control: Control<State<P>>) -> Outcome {
    let (seen, refused, faults) = control
        .ask_async(move |state| {
            let refused = state.refuses(&seen);
            let faults = state.faults_of(&seen);
            (seen, refused, faults)
        })
        .await;
    if refused {
        return Outcome::Refused;
    }
    tokio::time::sleep(faults.hold).await;
    let outcome = control.ask_async(move |state| state.handle(&seen)).await;
    tokio::time::sleep(faults.delay).await;
    outcome
}

fn encode(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Refused => {
            Answer::json(503, &json!({"error": "not_run"})).with_field("x-not-run", "1")
        }
        Outcome::Failed => Answer::json(500, &json!({"error": "failed"})),
        Outcome::Lost => Answer::Lost,
        Outcome::Replied(Reply::Json(status, value)) => Answer::json(status, &value),
        Outcome::Replied(Reply::Text(text)) => Answer::bytes(200, "text/plain", text),
        Outcome::Replied(Reply::Paced(pieces)) => paced(pieces),
    }
}

fn paced(pieces: Vec<(Instant, usize)>) -> Answer {
    let frames = stream::iter(pieces).then(|(due, length)| async move {
        tokio::time::sleep_until(due.into()).await;
        Ok(Frame::data(Bytes::from(vec![0; length])))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    Answer::body(200, "application/octet-stream", body)
}

/// Counts a fault down. Returns true if it applies.
fn take(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}

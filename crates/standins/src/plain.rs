//! A plain service that keeps a log of what it executed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use crate::control::Control;
use crate::control::Machine;
use crate::http::Answer;
use crate::http::Answering;
use crate::http::Handler;
use crate::http::Seen;
use crate::http::Server;

/// One executed call as the service saw it.
pub type Executed = Seen;

/// What a plain service does wrong. Counts apply to the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlainFaults {
    /// Calls that are refused before they are executed (503, `x-not-run: 1`).
    pub refuse: u32,
    /// Calls that are executed and then answered with status 500.
    pub fail: u32,
    /// Calls that are executed and whose answer is lost.
    pub lose: u32,
    /// Time between the execution and the answer.
    pub delay: Duration,
}

/// A running plain service. It stops when dropped.
#[derive(Debug)]
pub struct PlainService {
    /// Address on which it listens.
    pub address: SocketAddr,
    server: Server,
    control: Control<State>,
}

#[derive(Debug, Default)]
struct State {
    log: Vec<Executed>,
    faults: PlainFaults,
}

enum Outcome {
    Refused,
    Executed,
    Failed,
    Lost,
}

impl PlainService {
    /// Starts a service on a free port of the loopback.
    pub fn start() -> anyhow::Result<Self> {
        let control = Control::start(State::default());
        let server = Server::start(handler(control.clone()))?;
        Ok(Self {
            address: server.address,
            server,
            control,
        })
    }

    /// Returns everything that was executed.
    pub fn executed(&self) -> Vec<Executed> {
        self.control.ask(|state| state.log.clone())
    }

    /// Changes what the service does wrong from now on.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlainFaults) + Send + 'static) {
        self.control.ask(|state| change(&mut state.faults));
    }

    /// Closes all connections and refuses new ones. The log is kept.
    pub fn crash(&self) {
        self.server.go_down();
    }

    /// Serves again after a crash.
    pub fn restart(&self) -> anyhow::Result<()> {
        self.server.come_back()
    }
}

impl Machine for State {}

impl State {
    fn execute(&mut self, call: Seen) -> (Outcome, Duration) {
        let delay = self.faults.delay;
        if take(&mut self.faults.refuse) {
            return (Outcome::Refused, Duration::ZERO);
        }
        self.log.push(call);
        if take(&mut self.faults.fail) {
            return (Outcome::Failed, delay);
        }
        if take(&mut self.faults.lose) {
            return (Outcome::Lost, delay);
        }
        (Outcome::Executed, delay)
    }
}

fn handler(control: Control<State>) -> Handler {
    Arc::new(move |seen| -> Answering {
        let control = control.clone();
        Box::pin(async move { answer(seen, &control).await })
    })
}

/// Executes one call. `/status` is not logged, since it is no call of a user.
async fn answer(seen: Seen, control: &Control<State>) -> Answer {
    if seen.path.starts_with("/status") {
        let status =
            json!({"version": 0, "running": 0, "queued": 0, "capacity": 64, "sequence": 0});
        return Answer::json(200, &status);
    }
    let text = format!("executed {} {}", seen.method, seen.path);
    let executed = control.ask_async(move |state| state.execute(seen));
    let (outcome, delay) = executed.await;
    tokio::time::sleep(delay).await;
    match outcome {
        Outcome::Refused => {
            Answer::json(503, &json!({"error": "not_run"})).with_field("x-not-run", "1")
        }
        Outcome::Executed => Answer::bytes(200, "text/plain", text),
        Outcome::Failed => Answer::json(500, &json!({"error": "failed"})),
        Outcome::Lost => Answer::Lost,
    }
}

/// Counts a fault down. Returns true if it applies.
fn take(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}

//! Drains an agent and shows its state at the administration address.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use futures_util::future::select;
use sardinepath_adapters::runtime::sleep;
use sardinepath_core::decision::process::DrainEnd;
use sardinepath_core::decision::process::DrainStep;
use sardinepath_core::decision::process::Process;
use sardinepath_core::decision::process::Serving;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::port::admin::AdminFront;
use sardinepath_core::port::admin::Readiness;
use sardinepath_core::port::clock::Clock;

use crate::agent::Agent;
use crate::agent::control::Message;
use crate::metrics::Metrics;
use crate::process::wait;

/// Reports go on for this long, so that entries whose stream broke learn that the target leaves.
const LINGER: Duration = Duration::from_secs(3);

/// Longest wait of the administration address for the control thread.
const READY_LIMIT: Duration = Duration::from_secs(1);

/// Tells report streams that the drain has started.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Closed when the drain starts.
    started: Receiver<Infallible>,
}

/// What an agent shows at the administration address.
pub(super) struct AgentAdmin {
    pub(super) metrics: Arc<Metrics>,
    pub(super) control: Sender<Message>,
    pub(super) draining: Arc<AtomicBool>,
}

impl Leaving {
    /// Creates the signal. Dropping the sender starts the drain.
    pub fn new() -> (Sender<Infallible>, Self) {
        let (sender, started) = flume::bounded(0);
        (sender, Self { started })
    }

    /// Waits for an interval. The start of the drain cuts the wait short once.
    pub async fn pause(&self, interval: Duration) {
        if self.started.is_disconnected() {
            return sleep(interval).await;
        }
        select(Box::pin(sleep(interval)), self.started.recv_async()).await;
    }
}

impl AdminFront for AgentAdmin {
    fn metrics(&self) -> String {
        self.metrics.text(self.control.len())
    }

    fn ready(&self) -> Readiness {
        if self.draining.load(Ordering::Relaxed) {
            return Readiness::Draining;
        }
        let (reply, report) = flume::bounded(1);
        // A full queue means that the agent is overloaded, so it gets no further question.
        let asked = self.control.try_send(Message::Report(reply));
        let report = asked
            .ok()
            .and_then(|()| report.recv_timeout(READY_LIMIT).ok());
        match report.map(|report| report.state) {
            Some(ServingState::Serving) => Readiness::Ready,
            Some(ServingState::Leaving) => Readiness::Draining,
            Some(ServingState::Starting) | None => Readiness::Starting,
        }
    }
}

impl Agent {
    /// Reports that the target leaves, refuses new attempts and waits for running ones.
    pub fn drain(&self, process: Process<Serving>, clock: &dyn Clock) -> DrainEnd {
        let start = clock.now();
        let process = process.drain(start);
        self.draining.store(true, Ordering::Relaxed);
        let (idle, finished) = flume::bounded(0);
        // A control thread that has ended drops the channel, which ends the wait.
        let _ = self.control.send(Message::Drain(idle));
        if wait(&process, clock, &finished) == DrainEnd::LimitReached {
            return DrainEnd::LimitReached;
        }
        let linger = LINGER.saturating_sub(clock.now().since(start));
        if let DrainStep::Wait(left) = process.step(clock.now()) {
            thread::sleep(linger.min(left));
        }
        // Report streams end with the control thread. The server waits for all other streams.
        let _ = self.control.send(Message::Stop);
        wait(&process, clock, &self.server.drain())
    }
}

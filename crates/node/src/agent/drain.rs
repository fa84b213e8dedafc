//! Drain of an agent, and its state for the administration server.

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
use crate::process::wait_for_drain;

/// Minimum time for which a draining agent sends reports, so that entries whose stream broke learn
/// that the target leaves.
const LINGER_DURATION: Duration = Duration::from_secs(3);

/// Timeout of a readiness request to the control thread.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Signal to the report streams that the drain has started.
#[derive(Clone, Debug)]
pub struct DrainSignal {
    /// Channel that is closed when the drain starts.
    started: Receiver<Infallible>,
}

/// Metrics and readiness of an agent for the administration server.
pub(super) struct AgentAdmin {
    pub(super) metrics: Arc<Metrics>,
    pub(super) control: Sender<Message>,
    pub(super) draining: Arc<AtomicBool>,
}

impl DrainSignal {
    /// Creates the signal. Dropping the sender starts the drain.
    pub fn new() -> (Sender<Infallible>, Self) {
        let (sender, started) = flume::bounded(0);
        (sender, Self { started })
    }

    /// Waits for an interval, or until the drain starts. Once it has started, waits for the whole
    /// interval.
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
        // A full queue means that the agent is overloaded, so it is reported as not ready.
        let asked = self.control.try_send(Message::Report(reply));
        let report = asked
            .ok()
            .and_then(|()| report.recv_timeout(READY_TIMEOUT).ok());
        match report.map(|report| report.state) {
            Some(ServingState::Serving) => Readiness::Ready,
            Some(ServingState::Leaving) => Readiness::Draining,
            Some(ServingState::Starting) | None => Readiness::Starting,
        }
    }
}

impl Agent {
    /// Reports the process as not ready.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Reports that the target leaves, refuses new attempts and waits until the running ones have
    /// ended or the drain limit passes.
    pub fn drain(&self, process: Process<Serving>, clock: &dyn Clock) -> DrainEnd {
        let start = clock.now();
        let process = process.drain(start);
        self.begin_drain();
        let (idle, finished) = flume::bounded(0);
        // If the control thread has ended, the channel is dropped, which ends the wait.
        let _ = self.control.send(Message::Drain(idle));
        if wait_for_drain(&process, clock, &finished) == DrainEnd::LimitReached {
            return DrainEnd::LimitReached;
        }
        let linger = LINGER_DURATION.saturating_sub(clock.now().since(start));
        if let DrainStep::Wait(left) = process.step(clock.now()) {
            thread::sleep(linger.min(left));
        }
        // Report streams end with the control thread. The server waits for all other calls.
        let _ = self.control.send(Message::Stop);
        wait_for_drain(&process, clock, &self.server.drain())
    }
}

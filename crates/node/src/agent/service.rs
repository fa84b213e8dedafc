//! Runs attempts on the traffic threads of an agent.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::call::Ending;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::target::Report;
use sardinepath_core::port::front::AgentFront;
use sardinepath_core::port::target::CallGuard;
use sardinepath_core::port::target::TargetEvent;
use sardinepath_core::port::target::TargetPort;

use crate::agent::control::Message;
use crate::agent::drain::Leaving;
use crate::metrics::Metrics;

/// Events of one attempt that may wait.
const EVENT_ROOM: usize = 16;

/// Serves entries.
#[derive(Clone)]
pub struct AgentService {
    spawner: Spawner,
    control: Sender<Message>,
    target: Arc<dyn TargetPort>,
    leaving: Leaving,
    metrics: Arc<Metrics>,
}

/// Tells the control thread the end of an attempt, also if its task is stopped.
struct Running {
    request: RequestId,
    workspace: WorkspaceId,
    control: Sender<Message>,
    open: bool,
}

/// What an answer says of itself, gathered over its parts.
#[derive(Default)]
struct Gathered {
    versions: BTreeSet<WeightVersion>,
    tokens: u64,
}

impl AgentService {
    /// Creates the service.
    pub fn new(
        spawner: Spawner,
        control: Sender<Message>,
        target: Arc<dyn TargetPort>,
        leaving: Leaving,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            spawner,
            control,
            target,
            leaving,
            metrics,
        }
    }

    /// Runs one attempt.
    async fn run(self, call: Call, events: Sender<CallEvent>) {
        let metrics = self.metrics.clone();
        let _running = metrics.start();
        let last = match self.begin(&call).await {
            Ok(running) => self.forward(call, running, &events).await,
            Err(kind) => CallEvent::Failed(Failure::from(kind)),
        };
        match &last {
            CallEvent::End(ending) => metrics.finish(ending.tokens),
            CallEvent::Failed(failure) => metrics.refuse(failure.kind),
            _ => {}
        }
        // A closed channel means that the entry gave the attempt up.
        let _ = events.send_async(last).await;
    }

    /// Asks the control thread whether the attempt may start.
    async fn begin(&self, call: &Call) -> Result<Running, ErrorKind> {
        let (reply, decision) = flume::bounded(1);
        let message = Message::Begin {
            request: call.request,
            idempotent: call.idempotent,
            reply,
        };
        self.control
            .try_send(message)
            .map_err(|_| ErrorKind::TargetBusy)?;
        let decision = decision.recv_async().await;
        decision.map_err(|_| ErrorKind::Draining)??;
        Ok(Running {
            request: call.request,
            workspace: call.workspace.clone(),
            control: self.control.clone(),
            open: true,
        })
    }

    /// Passes the target's answer on and returns the last event.
    async fn forward(&self, call: Call, running: Running, events: &Sender<CallEvent>) -> CallEvent {
        let (sender, parts) = flume::bounded(EVENT_ROOM);
        let _guard = self.target.call(call, sender);
        let mut gathered = Gathered::default();
        while let Ok(part) = parts.recv_async().await {
            let event = match part {
                TargetEvent::Head { status, fields } => CallEvent::Head { status, fields },
                TargetEvent::Chunk {
                    bytes,
                    version,
                    tokens,
                } => {
                    gathered.versions.extend(version);
                    gathered.tokens = tokens.unwrap_or(gathered.tokens);
                    CallEvent::Chunk(bytes)
                }
                TargetEvent::Whole => return running.whole(gathered).await,
                TargetEvent::Failed(failure) => return CallEvent::Failed(failure),
            };
            if events.send_async(event).await.is_err() {
                return CallEvent::Failed(Failure::from(ErrorKind::Cancelled));
            }
        }
        CallEvent::Failed(Failure::from(ErrorKind::Truncated))
    }
}

impl AgentFront for AgentService {
    fn execute(&self, call: Call, events: Sender<CallEvent>) -> Box<dyn CallGuard> {
        Box::new(self.spawner.spawn(self.clone().run(call, events)))
    }

    fn reports(&self, interval: Duration, reports: Sender<Report>) -> Box<dyn CallGuard> {
        let control = self.control.clone();
        let leaving = self.leaving.clone();
        Box::new(self.spawner.spawn(async move {
            loop {
                let (reply, report) = flume::bounded(1);
                if control.send_async(Message::Report(reply)).await.is_err() {
                    return;
                }
                let Ok(report) = report.recv_async().await else {
                    return;
                };
                if reports.send_async(report).await.is_err() {
                    return;
                }
                leaving.pause(interval).await;
            }
        }))
    }

    fn counters(&self, reply: Sender<Vec<Counter>>) {
        // A closed queue drops the reply channel, which the caller sees.
        let _ = self.control.send(Message::Counters(reply));
    }
}

impl Running {
    /// Counts a whole answer and builds its last event.
    async fn whole(mut self, gathered: Gathered) -> CallEvent {
        let (reply, counter) = flume::bounded(1);
        self.open = false;
        let message = self.end(Some(gathered.tokens), reply);
        // The control thread is gone only when the process stops.
        let _ = self.control.send_async(message).await;
        CallEvent::End(Ending {
            tokens: gathered.tokens,
            versions: gathered.versions.into_iter().collect(),
            counter: counter.recv_async().await.ok().flatten(),
        })
    }

    fn end(&self, tokens: Option<u64>, reply: Sender<Option<Counter>>) -> Message {
        Message::End {
            request: self.request,
            workspace: self.workspace.clone(),
            tokens,
            reply,
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.open {
            let (reply, _) = flume::bounded(1);
            // The control thread is gone only when the process stops.
            let _ = self.control.send(self.end(None, reply));
        }
    }
}

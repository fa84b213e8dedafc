//! Execution of attempts on the traffic threads of an agent.

use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::decision::agent::AnswerCollector;
use sardinepath_core::decision::agent::ForwardStep;
use sardinepath_core::decision::agent::RequestState;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::order::AgentOrder;
use sardinepath_core::domain::order::OrderAnswer;
use sardinepath_core::domain::target::Report;
use sardinepath_core::port::front::AgentFront;
use sardinepath_core::port::target::CallGuard;
use sardinepath_core::port::target::TargetPort;

use crate::agent::attempt::AttemptGuard;
use crate::agent::control::BeginReply;
use crate::agent::control::Message;
use crate::agent::drain::DrainSignal;
use crate::metrics::Metrics;

/// Maximum number of events of one attempt that wait to be forwarded.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// Service that handles the calls of entries.
#[derive(Clone)]
pub struct AgentService {
    spawner: Spawner,
    control: Sender<Message>,
    target: Arc<dyn TargetPort>,
    drain: DrainSignal,
    metrics: Arc<Metrics>,
}

impl AgentService {
    /// Creates the service.
    pub fn new(
        spawner: Spawner,
        control: Sender<Message>,
        target: Arc<dyn TargetPort>,
        drain: DrainSignal,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            spawner,
            control,
            target,
            drain,
            metrics,
        }
    }

    /// Runs one attempt and sends its events, of which the last is its end or failure.
    async fn run(self, call: Call, events: Sender<CallEvent>) {
        let metrics = self.metrics.clone();
        let _running = metrics.count_request();
        let last = match self.begin(&call).await {
            Ok((attempt, labelled)) => self.forward(call, attempt, labelled, &events).await,
            Err(kind) => CallEvent::Failed(Failure::from(kind)),
        };
        match &last {
            CallEvent::End(ending) => metrics.count_tokens(ending.tokens),
            CallEvent::Failed(failure) => metrics.count_refusal(failure.kind),
            _ => {}
        }
        // A closed channel means that the entry has cancelled the attempt.
        let _ = events.send_async(last).await;
    }

    /// Asks the control thread whether the attempt may start.
    async fn begin(&self, call: &Call) -> BeginReply {
        let control = self.control.clone();
        let (reply, decision) = flume::bounded(1);
        let message = Message::Begin {
            attempt: AttemptGuard::new(call, control),
            idempotent: call.idempotent,
            reply,
        };
        self.control
            .try_send(message)
            .map_err(|_| ErrorKind::TargetBusy)?;
        let decision = decision.recv_async().await;
        decision.map_err(|_| ErrorKind::Draining)?
    }

    /// Forwards the target's answer and returns the last event.
    async fn forward(
        &self,
        call: Call,
        attempt: AttemptGuard,
        labelled: bool,
        events: &Sender<CallEvent>,
    ) -> CallEvent {
        let mut gathered = AnswerCollector::new(self.version(labelled).await);
        let (sender, parts) = flume::bounded(EVENT_QUEUE_CAPACITY);
        let _guard = self.target.call(call, sender);
        while let Ok(part) = parts.recv_async().await {
            let event = match gathered.handle_event(part) {
                ForwardStep::Pass(event) => event,
                ForwardStep::Complete => {
                    let after = self.version(labelled).await;
                    return attempt.complete(gathered, after).await;
                }
                ForwardStep::NotRun(failure) => {
                    attempt.refuse().await;
                    return CallEvent::Failed(failure);
                }
                ForwardStep::Failed(failure) => return CallEvent::Failed(failure),
            };
            if events.send_async(event).await.is_err() {
                return CallEvent::Failed(Failure::from(ErrorKind::Cancelled));
            }
        }
        CallEvent::Failed(Failure::from(ErrorKind::Truncated))
    }

    /// Returns the version of the target's weights, or none if its answers carry no versions or the
    /// target does not report it.
    async fn version(&self, labelled: bool) -> Option<WeightVersion> {
        if !labelled {
            return None;
        }
        let (reply, version) = flume::bounded(1);
        let _guard = self.target.version(reply);
        version.recv_async().await.ok().flatten()
    }
}

impl AgentFront for AgentService {
    fn execute(&self, call: Call, events: Sender<CallEvent>) -> Box<dyn CallGuard> {
        Box::new(self.spawner.spawn(self.clone().run(call, events)))
    }

    fn reports(&self, interval: Duration, reports: Sender<Report>) -> Box<dyn CallGuard> {
        let control = self.control.clone();
        let drain = self.drain.clone();
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
                drain.pause(interval).await;
            }
        }))
    }

    fn order(&self, order: AgentOrder, reply: Sender<OrderAnswer>) {
        // If the queue is full, the dropped reply channel tells the sender that the order failed.
        let _ = self.control.try_send(Message::Order { order, reply });
    }

    fn lookup(&self, request: RequestId, reply: Sender<(Incarnation, RequestState)>) {
        // If the queue is full, the dropped reply channel tells the caller that the call failed.
        let _ = self.control.try_send(Message::Lookup { request, reply });
    }

    fn counters(&self, reply: Sender<Vec<Counter>>) {
        // If the queue is full, the dropped reply channel tells the caller that the call failed.
        let _ = self.control.try_send(Message::Counters(reply));
    }
}

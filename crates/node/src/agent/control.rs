//! The control thread of an agent, which owns all mutable control state.

use std::convert::Infallible;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::SendError;
use flume::Sender;
use sardinepath_adapters::panic::survive;
use sardinepath_core::decision::agent::AgentState;
use sardinepath_core::decision::agent::RequestState;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::order::AgentAction;
use sardinepath_core::domain::order::AgentOrder;
use sardinepath_core::domain::order::OrderAnswer;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::port::target::TargetPort;
use sardinepath_core::port::target::TargetStatus;

use crate::agent::attempt::AttemptGuard;
use crate::agent::orders::Load;

/// Interval at which the target's status is read.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Message to the control thread of an agent.
#[derive(Debug)]
pub enum Message {
    /// An attempt asks whether it may start.
    Begin {
        /// Guard of the attempt.
        attempt: AttemptGuard,
        /// `true` if the request may run more than once.
        idempotent: bool,
        /// Channel for the decision.
        reply: Sender<BeginReply>,
    },
    /// An attempt that had started has ended.
    End {
        /// Id of the request.
        request: RequestId,
        /// Workspace for which the attempt ran.
        workspace: WorkspaceId,
        /// Number of tokens of a complete answer, or none if the answer was not complete.
        tokens: Option<u64>,
        /// Channel for the usage counter of the workspace.
        reply: Sender<Option<Counter>>,
    },
    /// The target did not start an attempt that the agent had allowed to start.
    NotRun(RequestId, Attempt),
    /// Status of the target, or none if it does not answer.
    Status(Option<TargetStatus>),
    /// An entry asks for a report.
    Report(Sender<Report>),
    /// The holder of a duty sends an order.
    Order {
        /// The order to carry out.
        order: AgentOrder,
        /// Channel for the result.
        reply: Sender<OrderAnswer>,
    },
    /// An entry asks for the state of a request.
    Lookup {
        /// Id of the request.
        request: RequestId,
        /// Channel for the answer.
        reply: Sender<(Incarnation, RequestState)>,
    },
    /// An entry asks for all usage counters.
    Counters(Sender<Vec<Counter>>),
    /// The process drains. The channel is closed once no attempt is running.
    Drain(Sender<()>),
    /// Ends the control thread.
    Stop,
}

/// Decision on an attempt: its open guard and whether its answer carries weight versions, or the
/// refusal.
pub type BeginReply = Result<(AttemptGuard, bool), ErrorKind>;

/// State of the control thread.
#[derive(Debug)]
pub struct Control {
    state: AgentState,
    target: TargetName,
    status: Option<TargetStatus>,
    loads: Sender<Load>,
    /// Dropped when the drain starts, so that the report streams send the new state at once.
    leaving: Option<Sender<Infallible>>,
    /// Dropped when the drain has started and no attempt is running.
    idle: Option<Sender<()>>,
}

/// Whether the message loop continues.
enum Flow {
    Continue,
    Stop,
}

impl Control {
    /// Creates the state of a new agent.
    pub fn new(
        state: AgentState,
        target: TargetName,
        loads: Sender<Load>,
        leaving: Sender<Infallible>,
    ) -> Self {
        Self {
            state,
            target,
            status: None,
            loads,
            leaving: Some(leaving),
            idle: None,
        }
    }

    /// Handles messages until the process stops. A panic ends the message in which it happens, and its
    /// caller finds its reply channel closed.
    pub fn run(mut self, queue: &Receiver<Message>) {
        while let Ok(message) = queue.recv() {
            let flow = survive(|| self.handle(message)).unwrap_or(Flow::Continue);
            if let Flow::Stop = flow {
                return;
            }
            if self.state.running() == 0 {
                self.idle = None;
            }
        }
    }

    fn handle(&mut self, message: Message) -> Flow {
        // A closed reply channel means that the sender no longer waits for the answer.
        match message {
            Message::Begin {
                attempt,
                idempotent,
                reply,
            } => self.begin(attempt, idempotent, &reply),
            Message::End {
                request,
                workspace,
                tokens,
                reply,
            } => {
                let _ = reply.send(self.state.end(request, &workspace, tokens));
            }
            Message::NotRun(request, attempt) => self.state.refuse(request, attempt),
            Message::Status(status) => self.status = status,
            Message::Report(reply) => {
                let _ = reply.send(self.report());
            }
            Message::Order { order, reply } => self.handle_order(order, reply),
            Message::Lookup { request, reply } => {
                let known = self.state.lookup(request);
                let _ = reply.send((self.state.incarnation(), known));
            }
            Message::Counters(reply) => {
                let _ = reply.send(self.state.counters());
            }
            Message::Drain(idle) => {
                self.state.drain();
                self.leaving = None;
                self.idle = Some(idle);
            }
            Message::Stop => return Flow::Stop,
        }
        Flow::Continue
    }

    /// Decides whether an attempt may start. One that was cancelled meanwhile is ended at once.
    fn begin(&mut self, attempt: AttemptGuard, idempotent: bool, reply: &Sender<BeginReply>) {
        let begun = self
            .state
            .begin(attempt.request, attempt.attempt, idempotent);
        let labelled = self
            .status
            .as_ref()
            .is_none_or(|status| status.version != WeightVersion(0));
        let begun = begun.map(|()| (attempt.open(), labelled));
        if let Err(SendError(Ok((mut attempt, _)))) = reply.send(begun) {
            attempt.close();
            self.state.end(attempt.request, &attempt.workspace, None);
        }
    }

    /// Checks the fencing token of an order and executes it, or queues it if it is a load.
    fn handle_order(&mut self, order: AgentOrder, reply: Sender<OrderAnswer>) {
        let result = match (self.state.fence(order.fence), order.action) {
            (Err(_), _) => Err(ErrorKind::Fenced),
            (Ok(()), AgentAction::Drain) => {
                self.state.drain();
                Ok(())
            }
            (Ok(()), AgentAction::Load { model, version }) => {
                let load = Load {
                    fence: order.fence,
                    model,
                    version,
                    reply: reply.clone(),
                };
                match self.loads.try_send(load) {
                    Ok(()) => return,
                    Err(_) => Err(ErrorKind::TargetBusy),
                }
            }
        };
        let _ = reply.send(OrderAnswer {
            fence: self.state.highest_fence(),
            result,
        });
    }

    fn report(&self) -> Report {
        let status = self.status.clone().unwrap_or_default();
        let state = match &self.status {
            Some(_) => self.state.serving(),
            None if self.leaving.is_none() => ServingState::Leaving,
            None => ServingState::Starting,
        };
        Report {
            incarnation: self.state.incarnation(),
            target: self.target.clone(),
            version: status.version,
            running: status.running,
            queued: status.queued,
            capacity: status.capacity,
            state,
            cached: status.cached,
            evicted: status.evicted,
            cache_gap: status.gap,
        }
    }
}

/// Starts the thread that reads the target's status. It ends with the control thread.
pub fn poll_status(target: Arc<dyn TargetPort>, control: Sender<Message>) -> anyhow::Result<()> {
    let poll = move || {
        let mut sequence = 0;
        loop {
            let status = target.status(sequence).ok();
            sequence = status.as_ref().map_or(0, |s| s.sequence);
            if control.send(Message::Status(status)).is_err() {
                return;
            }
            thread::sleep(STATUS_INTERVAL);
        }
    };
    thread::Builder::new()
        .name("status".to_owned())
        .spawn(poll)?;
    Ok(())
}

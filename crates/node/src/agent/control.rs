//! The control thread of an agent. It owns all mutable control state.

use std::convert::Infallible;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::SendError;
use flume::Sender;
use sardinepath_core::decision::agent::AgentState;
use sardinepath_core::decision::agent::Known;
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

use crate::agent::orders::Load;
use crate::agent::running::Running;

/// Interval at which the target's state is read.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// What the control thread is told.
#[derive(Debug)]
pub enum Message {
    /// An attempt asks to start.
    Begin {
        /// The attempt.
        running: Running,
        /// True if the request may run more than once.
        idempotent: bool,
        /// Where the decision goes.
        reply: Sender<Begun>,
    },
    /// An attempt that had begun has ended.
    End {
        /// The request.
        request: RequestId,
        /// Workspace for which it ran.
        workspace: WorkspaceId,
        /// Tokens of a whole answer, or none.
        tokens: Option<u64>,
        /// Where the counter goes.
        reply: Sender<Option<Counter>>,
    },
    /// The target did not start an attempt that had begun.
    NotRun(RequestId, Attempt),
    /// The state of the target, or none if it does not answer.
    Status(Option<TargetStatus>),
    /// An entry asks for a report.
    Report(Sender<Report>),
    /// The holder of a duty orders something.
    Order {
        /// The order.
        order: AgentOrder,
        /// Where the result goes.
        reply: Sender<OrderAnswer>,
    },
    /// Somebody asks what is known of a request.
    Lookup {
        /// The request.
        request: RequestId,
        /// Where the answer goes.
        reply: Sender<(Incarnation, Known)>,
    },
    /// The reporter asks for all counters.
    Counters(Sender<Vec<Counter>>),
    /// The drain starts. The channel closes once no attempt is running.
    Drain(Sender<()>),
    /// The process stops.
    Stop,
}

/// The decision on an attempt: a handle, and whether its answer carries weight versions.
pub type Begun = Result<(Running, bool), ErrorKind>;

/// State of the control thread.
#[derive(Debug)]
pub struct Control {
    state: AgentState,
    target: TargetName,
    status: Option<TargetStatus>,
    loads: Sender<Load>,
    /// Dropped when the drain starts, which wakes the report streams.
    leaving: Option<Sender<Infallible>>,
    /// Dropped when the drain has started and no attempt is running.
    idle: Option<Sender<()>>,
}

/// What the loop does next.
enum Step {
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

    /// Handles messages until the process stops.
    pub fn run(mut self, queue: &Receiver<Message>) {
        while let Ok(message) = queue.recv() {
            if let Step::Stop = self.handle(message) {
                return;
            }
            if self.state.running() == 0 {
                self.idle = None;
            }
        }
    }

    fn handle(&mut self, message: Message) -> Step {
        // A closed reply channel means that the question was given up.
        match message {
            Message::Begin {
                running,
                idempotent,
                reply,
            } => self.begin(running, idempotent, &reply),
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
            Message::Order { order, reply } => self.order(order, reply),
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
            Message::Stop => return Step::Stop,
        }
        Step::Continue
    }

    /// Decides on an attempt. One that was given up meanwhile ends at once.
    fn begin(&mut self, running: Running, idempotent: bool, reply: &Sender<Begun>) {
        let begun = self
            .state
            .begin(running.request, running.attempt, idempotent);
        let labelled = self
            .status
            .as_ref()
            .is_none_or(|status| status.version != WeightVersion(0));
        let begun = begun.map(|()| (running.open(), labelled));
        if let Err(SendError(Ok((mut running, _)))) = reply.send(begun) {
            running.close();
            self.state.end(running.request, &running.workspace, None);
        }
    }

    /// Checks the fencing token of an order and carries the order out or passes it on.
    fn order(&mut self, order: AgentOrder, reply: Sender<OrderAnswer>) {
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

/// Starts the thread that reads the target's state.
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

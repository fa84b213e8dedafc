//! The steps of the entry between its decisions: the process and one task for each request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_core::decision::admission::EntrySnapshot;
use sardinepath_core::decision::admission::authorize_request;
use sardinepath_core::decision::answer::AnswerBuffer;
use sardinepath_core::decision::answer::AnswerStep;
use sardinepath_core::decision::answer::check_attempt;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::freshness::Freshness;
use sardinepath_core::decision::request::Admitted;
use sardinepath_core::decision::request::AfterFailure;
use sardinepath_core::decision::request::Answered;
use sardinepath_core::decision::request::AttemptStart;
use sardinepath_core::decision::request::Dispatched;
use sardinepath_core::decision::request::Request;
use sardinepath_core::decision::traffic::Choice;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::time::Time;

use crate::support::pairs::Message;
use crate::support::pairs::Receiver;
use crate::support::pairs::Simulation;
use crate::support::pairs::StreamId;
use crate::support::pairs::entry_state;
use crate::support::pairs_fixture;

/// The entry process.
pub struct Entry {
    /// Number of restarts before this incarnation.
    pub incarnation: u32,
    /// The process handles no message before this time.
    pub paused_until: u64,
    /// True once the drain has started.
    pub draining: bool,
    pub traffic: Traffic,
    pub freshness: Freshness,
    pub config: Arc<Config>,
    /// Number of the request of each open ticket.
    pub tickets: BTreeMap<TicketKey, usize>,
    pub snapshot: Snapshot,
}

/// State that the control state publishes for the check of requests.
pub struct Snapshot {
    config: Arc<Config>,
    ready: bool,
    keys_until: Option<Time>,
}

/// Data of a request's task, beside the request state.
#[derive(Clone, Debug)]
pub struct TaskContext {
    deadline: Time,
    call: Call,
    /// The ticket that the task has to close, if it has one.
    ticket: Option<TicketKey>,
}

/// The task of a request.
#[derive(Debug)]
pub enum Task {
    /// The request has not arrived yet.
    NotArrived,
    /// Waits for a grant or a refusal.
    Waiting(Request<Admitted>, TaskContext),
    /// Waits for the delay before an attempt.
    Delayed(Request<Admitted>, TaskContext),
    /// Receives events from the agent of this number.
    Running(Request<Dispatched>, TaskContext, AnswerBuffer, usize),
    /// Has ended.
    Done,
}

impl Entry {
    /// Starts the entry in this incarnation.
    pub fn new(incarnation: u32, seed: u64) -> Self {
        let (traffic, freshness) = entry_state(seed);
        Self {
            incarnation,
            paused_until: 0,
            draining: false,
            traffic,
            freshness,
            config: Arc::default(),
            tickets: BTreeMap::new(),
            snapshot: Snapshot {
                config: Arc::default(),
                ready: false,
                keys_until: None,
            },
        }
    }

    /// Publishes the configuration and readiness as of `now`.
    pub fn publish(&mut self, now: Time) {
        self.snapshot = Snapshot {
            config: self.config.clone(),
            ready: self.freshness.readiness(now).ready,
            keys_until: self.freshness.keys_until(),
        };
    }
}

impl Simulation {
    /// Handles a message to the entry.
    pub fn step_entry(&mut self, message: Message) {
        match message {
            Message::Submit(request) => self.submit(request),
            Message::Grant(request, ticket, choice, delay) => {
                self.grant(request, ticket, choice, delay);
            }
            Message::Refuse(request, failure) => self.handle_refusal(request, failure),
            Message::Revoke(request, failure) => self.handle_revocation(request, failure),
            Message::StartAttempt(request, ticket, choice) => {
                self.start_attempt(request, ticket, &choice);
            }
            Message::Deadline(request) => self.handle_deadline(request),
            Message::Event(stream, from, event) => self.handle_event(stream, from, event),
            message => self.step_control(message),
        }
    }

    /// Stops the task of a caller that hangs up.
    pub fn hang_up(&mut self, request: usize) {
        self.callers[request].disconnected = true;
        match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::NotArrived | Task::Done => {}
            Task::Waiting(_, context) | Task::Delayed(_, context) => self.cancel_ticket(&context),
            Task::Running(running, context, _, agent) => {
                self.cancel_attempt(agent, (request, running.attempt().0));
                self.cancel_ticket(&context);
            }
        }
    }

    /// Cancels an attempt at its agent.
    pub fn cancel_attempt(&mut self, agent: usize, stream: StreamId) {
        let after = self.latency();
        let receiver = Receiver::Agent(agent, self.agents[agent].incarnation);
        let channel = (3, agent, self.agents[agent].incarnation);
        self.send_in_order(receiver, channel, after, Message::Cancel(agent, stream));
    }

    fn submit(&mut self, request: usize) {
        if self.now < self.entry.paused_until {
            let later = self.entry.paused_until - self.now;
            return self.send(Receiver::Environment, later, Message::Submit(request));
        }
        if self.entry.draining || self.callers[request].disconnected {
            self.callers[request].disconnected = true;
            return;
        }
        let inbound = pairs_fixture::inbound(&self.callers[request]);
        let snapshot = &self.entry.snapshot;
        let view = EntrySnapshot {
            config: &snapshot.config,
            ready: snapshot.ready,
            keys_until: snapshot.keys_until,
        };
        let (authorized, ask) = match authorize_request(view, Time(self.now), &inbound) {
            Ok(entered) => entered,
            Err(kind) => return self.callers[request].failure = Some(Failure::from(kind)),
        };
        let workspace = self.callers[request].workspace;
        self.observed.authorized.push((self.now, workspace));
        let id = RequestId(request as u128);
        let call = Call {
            request: id,
            attempt: Attempt(0),
            workspace: authorized.workspace,
            method: inbound.method,
            path: authorized.path,
            fields: authorized.fields,
            body: inbound.body,
            idempotent: authorized.idempotent,
            deadline: authorized.deadline,
            priority: authorized.priority,
            streamed: self.callers[request].streamed,
        };
        let context = TaskContext {
            deadline: ask.deadline,
            call,
            ticket: None,
        };
        self.tasks[request] = Task::Waiting(Request::new(id, authorized.idempotent), context);
        self.send_control(Message::Admit(request, ask));
    }

    fn grant(&mut self, request: usize, ticket: TicketKey, choice: Choice, delay: Duration) {
        match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::Waiting(waiting, mut context) => {
                context.ticket = Some(ticket);
                self.tasks[request] = Task::Delayed(waiting, context);
                let after = u64::try_from(delay.as_millis()).unwrap();
                let receiver = Receiver::Entry(self.entry.incarnation);
                self.send(
                    receiver,
                    after,
                    Message::StartAttempt(request, ticket, choice),
                );
            }
            other => self.tasks[request] = other,
        }
    }

    fn start_attempt(&mut self, request: usize, ticket: TicketKey, choice: &Choice) {
        let (waiting, context) = match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::Delayed(waiting, context) if context.ticket == Some(ticket) => (waiting, context),
            other => return self.tasks[request] = other,
        };
        let left = context.deadline.since(Time(self.now));
        let running =
            match waiting.start_attempt(Time(self.now), choice.valid_until, context.deadline) {
                AttemptStart::Started(running) => running,
                AttemptStart::ChoiceExpired(waiting, failure) => {
                    self.send_control(Message::Retry(ticket, failure));
                    self.tasks[request] = Task::Waiting(waiting, context);
                    return;
                }
                AttemptStart::TimedOut(end) => return self.finish_task(request, &context, &end, 0),
            };
        let agent = usize::from(choice.agent.port() - 7000);
        let call = Call {
            attempt: running.attempt(),
            deadline: left,
            ..context.call.clone()
        };
        self.observed.dispatches.push((self.now, agent));
        self.execute(agent, (request, running.attempt().0), call);
        let answer = AnswerBuffer::new(self.callers[request].streamed);
        let after = u64::try_from(left.as_millis()).unwrap();
        self.tasks[request] = Task::Running(running, context, answer, agent);
        let receiver = Receiver::Entry(self.entry.incarnation);
        self.send(receiver, after, Message::Deadline(request));
    }

    fn handle_refusal(&mut self, request: usize, failure: Failure) {
        match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::Waiting(waiting, mut context) => {
                context.ticket = None;
                self.finish_task(request, &context, &waiting.refuse(failure), 0);
            }
            other => self.tasks[request] = other,
        }
    }

    fn handle_revocation(&mut self, request: usize, failure: Failure) {
        match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::Waiting(waiting, context) | Task::Delayed(waiting, context) => {
                self.finish_task(request, &context, &waiting.refuse(failure), 0);
            }
            Task::Running(running, context, _, agent) => {
                self.cancel_attempt(agent, (request, running.attempt().0));
                self.finish_task(request, &context, &running.abort(failure), 0);
            }
            other => self.tasks[request] = other,
        }
    }

    fn handle_deadline(&mut self, request: usize) {
        if matches!(&self.tasks[request], Task::Running(_, context, ..) if context.deadline <= Time(self.now))
        {
            self.handle_revocation(request, Failure::from(ErrorKind::DeadlinePassed));
        }
    }

    fn handle_event(&mut self, stream: StreamId, from: (RequestId, Attempt), event: CallEvent) {
        let (request, attempt) = stream;
        let (mut running, context, mut answer, agent) =
            match std::mem::replace(&mut self.tasks[request], Task::Done) {
                Task::Running(running, context, answer, agent)
                    if running.attempt().0 == attempt =>
                {
                    (running, context, answer, agent)
                }
                other => return self.tasks[request] = other,
            };
        let attempt_id = (running.id(), running.attempt());
        match answer.handle_event(&mut running, check_attempt(event, Some(from), attempt_id)) {
            AnswerStep::Wait => {
                self.tasks[request] = Task::Running(running, context, answer, agent)
            }
            AnswerStep::Pass(event) => {
                self.pass_event(request, &event);
                self.tasks[request] = Task::Running(running, context, answer, agent);
            }
            AnswerStep::Complete(parts, tokens) => {
                for part in &parts {
                    self.pass_event(request, part);
                }
                self.finish_task(request, &context, &running.finish(), tokens);
            }
            AnswerStep::Stop(failure) => {
                self.cancel_attempt(agent, stream);
                self.finish_task(request, &context, &running.abort(failure), 0);
            }
            AnswerStep::Failed(failure) => {
                self.cancel_attempt(agent, stream);
                self.handle_failure(request, running, context, failure);
            }
        }
    }

    fn handle_failure(
        &mut self,
        request: usize,
        running: Request<Dispatched>,
        context: TaskContext,
        failure: Failure,
    ) {
        match running.fail(failure) {
            AfterFailure::Retry(waiting) => {
                let ticket = context.ticket.unwrap();
                self.send_control(Message::Retry(ticket, failure));
                self.tasks[request] = Task::Waiting(waiting, context);
            }
            AfterFailure::Final(answered) => self.finish_task(request, &context, &answered, 0),
        }
    }

    /// Passes an event on to the caller.
    fn pass_event(&mut self, request: usize, event: &CallEvent) {
        let caller = &mut self.callers[request];
        match event {
            CallEvent::Chunk(bytes) => caller.bytes.extend(bytes),
            CallEvent::End(_) => caller.complete = true,
            _ => {}
        }
    }

    /// Ends a task with its answer or its failure.
    fn finish_task(
        &mut self,
        request: usize,
        context: &TaskContext,
        answered: &Request<Answered>,
        tokens: u64,
    ) {
        self.tasks[request] = Task::Done;
        self.callers[request].failure = answered.failure();
        let outcome = answered
            .failure()
            .map_or(Outcome::Complete(tokens), Outcome::Failed);
        if let Some(ticket) = context.ticket {
            self.send_control(Message::Ended(ticket, outcome));
        }
    }

    /// Closes the ticket of a task that was stopped.
    fn cancel_ticket(&mut self, context: &TaskContext) {
        if let Some(ticket) = context.ticket {
            let outcome = Outcome::Failed(Failure::from(ErrorKind::Cancelled));
            self.send_control(Message::Ended(ticket, outcome));
        }
    }
}

//! The steps of the entry between its decisions: control state and one task for each request.

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
use crate::support::pairs::Place;
use crate::support::pairs::StreamId;
use crate::support::pairs::World;
use crate::support::pairs::entry_state;
use crate::support::pairs_fixture;

/// The entry process.
pub struct Entry {
    /// Counts the restarts.
    pub life: u32,
    /// The process makes no step before this time.
    pub paused: u64,
    /// True once the drain has started.
    pub draining: bool,
    pub traffic: Traffic,
    pub freshness: Freshness,
    pub config: Arc<Config>,
    /// The tasks of open tickets.
    pub verdicts: BTreeMap<TicketKey, usize>,
    pub snapshot: Snapshot,
}

/// What the control state has published.
pub struct Snapshot {
    config: Arc<Config>,
    ready: bool,
    keys: Option<Time>,
}

/// What a request's task knows beside its state.
#[derive(Clone, Debug)]
pub struct Job {
    deadline: Time,
    call: Call,
    /// The ticket that the task has to close.
    ticket: Option<TicketKey>,
}

/// The task of a request.
#[derive(Debug)]
pub enum Task {
    /// Has not come yet.
    Idle,
    /// Waits for a verdict.
    Waiting(Request<Admitted>, Job),
    /// Waits for the delay before an attempt.
    Delayed(Request<Admitted>, Job),
    /// Waits for events from this agent.
    Running(Request<Dispatched>, Job, AnswerBuffer, usize),
    /// Has ended.
    Done,
}

impl Entry {
    /// Starts a life of the entry.
    pub fn new(life: u32, seed: u64) -> Self {
        let (traffic, freshness) = entry_state(seed);
        Self {
            life,
            paused: 0,
            draining: false,
            traffic,
            freshness,
            config: Arc::default(),
            verdicts: BTreeMap::new(),
            snapshot: Snapshot {
                config: Arc::default(),
                ready: false,
                keys: None,
            },
        }
    }

    pub fn publish(&mut self, now: Time) {
        self.snapshot = Snapshot {
            config: self.config.clone(),
            ready: self.freshness.readiness(now).ready,
            keys: self.freshness.keys_until(),
        };
    }
}

impl World {
    /// Makes a step of the entry.
    pub fn step_entry(&mut self, message: Message) {
        match message {
            Message::Submit(request) => self.submit(request),
            Message::Go(request, ticket, choice, delay) => {
                self.go(request, ticket, choice, delay);
            }
            Message::Refused(request, failure) => self.refused(request, failure),
            Message::Revoked(request, failure) => self.revoked(request, failure),
            Message::Depart(request, ticket, choice) => {
                self.depart(request, ticket, &choice);
            }
            Message::Deadline(request) => self.deadline(request),
            Message::Event(stream, from, event) => self.event(stream, from, event),
            message => self.step_control(message),
        }
    }

    /// Stops the task of a caller that hangs up.
    pub fn caller_leaves(&mut self, request: usize) {
        self.callers[request].gone = true;
        match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::Idle | Task::Done => {}
            Task::Waiting(_, job) | Task::Delayed(_, job) => self.close_gone(&job),
            Task::Running(running, job, _, agent) => {
                self.give_up(agent, (request, running.attempt().0));
                self.close_gone(&job);
            }
        }
    }

    /// Gives an attempt up at its agent.
    pub fn give_up(&mut self, agent: usize, stream: StreamId) {
        let after = self.way();
        let place = Place::Agent(agent, self.agents[agent].life);
        let lane = (3, agent, self.agents[agent].life);
        self.send_in_order(place, lane, after, Message::Cancel(agent, stream));
    }

    fn submit(&mut self, request: usize) {
        if self.now < self.entry.paused {
            let later = self.entry.paused - self.now;
            return self.send(Place::Outside, later, Message::Submit(request));
        }
        if self.entry.draining || self.callers[request].gone {
            self.callers[request].gone = true;
            return;
        }
        let inbound = pairs_fixture::inbound(&self.callers[request]);
        let snapshot = &self.entry.snapshot;
        let view = EntrySnapshot {
            config: &snapshot.config,
            ready: snapshot.ready,
            keys_until: snapshot.keys,
        };
        let (authorized, ask) = match authorize_request(view, Time(self.now), &inbound) {
            Ok(entered) => entered,
            Err(kind) => return self.callers[request].failure = Some(Failure::from(kind)),
        };
        let workspace = self.callers[request].workspace;
        self.seen.entered.push((self.now, workspace));
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
        let job = Job {
            deadline: ask.deadline,
            call,
            ticket: None,
        };
        self.tasks[request] = Task::Waiting(Request::new(id, authorized.idempotent), job);
        self.tell_control(Message::Ask(request, ask));
    }

    fn go(&mut self, request: usize, ticket: TicketKey, choice: Choice, delay: Duration) {
        match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::Waiting(waiting, mut job) => {
                job.ticket = Some(ticket);
                self.tasks[request] = Task::Delayed(waiting, job);
                let after = u64::try_from(delay.as_millis()).unwrap();
                let place = Place::Entry(self.entry.life);
                self.send(place, after, Message::Depart(request, ticket, choice));
            }
            other => self.tasks[request] = other,
        }
    }

    fn depart(&mut self, request: usize, ticket: TicketKey, choice: &Choice) {
        let (waiting, job) = match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::Delayed(waiting, job) if job.ticket == Some(ticket) => (waiting, job),
            other => return self.tasks[request] = other,
        };
        let left = job.deadline.since(Time(self.now));
        let running = match waiting.start_attempt(Time(self.now), choice.valid_until, job.deadline)
        {
            AttemptStart::Started(running) => running,
            AttemptStart::ChoiceExpired(waiting, failure) => {
                self.tell_control(Message::Retry(ticket, failure));
                self.tasks[request] = Task::Waiting(waiting, job);
                return;
            }
            AttemptStart::DeadlinePassed(answered) => {
                return self.finish(request, &job, &answered, 0);
            }
        };
        let agent = usize::from(choice.agent.port() - 7000);
        let call = Call {
            attempt: running.attempt(),
            deadline: left,
            ..job.call.clone()
        };
        self.seen.dispatched.push((self.now, agent));
        self.execute(agent, (request, running.attempt().0), call);
        let answer = AnswerBuffer::new(self.callers[request].streamed);
        let after = u64::try_from(left.as_millis()).unwrap();
        self.tasks[request] = Task::Running(running, job, answer, agent);
        let place = Place::Entry(self.entry.life);
        self.send(place, after, Message::Deadline(request));
    }

    fn refused(&mut self, request: usize, failure: Failure) {
        match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::Waiting(waiting, mut job) => {
                job.ticket = None;
                self.finish(request, &job, &waiting.refuse(failure), 0);
            }
            other => self.tasks[request] = other,
        }
    }

    fn revoked(&mut self, request: usize, failure: Failure) {
        match std::mem::replace(&mut self.tasks[request], Task::Done) {
            Task::Waiting(waiting, job) | Task::Delayed(waiting, job) => {
                self.finish(request, &job, &waiting.refuse(failure), 0);
            }
            Task::Running(running, job, _, agent) => {
                self.give_up(agent, (request, running.attempt().0));
                self.finish(request, &job, &running.abort(failure), 0);
            }
            other => self.tasks[request] = other,
        }
    }

    fn deadline(&mut self, request: usize) {
        if matches!(&self.tasks[request], Task::Running(_, job, ..) if job.deadline <= Time(self.now))
        {
            self.revoked(request, Failure::from(ErrorKind::DeadlinePassed));
        }
    }

    fn event(&mut self, stream: StreamId, from: (RequestId, Attempt), event: CallEvent) {
        let (request, attempt) = stream;
        let (mut running, job, mut answer, agent) =
            match std::mem::replace(&mut self.tasks[request], Task::Done) {
                Task::Running(running, job, answer, agent) if running.attempt().0 == attempt => {
                    (running, job, answer, agent)
                }
                other => return self.tasks[request] = other,
            };
        let of = (running.id(), running.attempt());
        match answer.handle_event(&mut running, check_attempt(event, Some(from), of)) {
            AnswerStep::Wait => self.tasks[request] = Task::Running(running, job, answer, agent),
            AnswerStep::Pass(event) => {
                self.pass(request, &event);
                self.tasks[request] = Task::Running(running, job, answer, agent);
            }
            AnswerStep::Complete(parts, tokens) => {
                for part in &parts {
                    self.pass(request, part);
                }
                self.finish(request, &job, &running.finish(), tokens);
            }
            AnswerStep::Stop(failure) => {
                self.give_up(agent, stream);
                self.finish(request, &job, &running.abort(failure), 0);
            }
            AnswerStep::Failed(failure) => {
                self.give_up(agent, stream);
                self.failed(request, running, job, failure);
            }
        }
    }

    fn failed(&mut self, request: usize, running: Request<Dispatched>, job: Job, failure: Failure) {
        match running.fail(failure) {
            AfterFailure::Retry(waiting) => {
                let ticket = job.ticket.unwrap();
                self.tell_control(Message::Retry(ticket, failure));
                self.tasks[request] = Task::Waiting(waiting, job);
            }
            AfterFailure::Final(answered) => self.finish(request, &job, &answered, 0),
        }
    }

    /// Passes an event on to the caller.
    fn pass(&mut self, request: usize, event: &CallEvent) {
        let caller = &mut self.callers[request];
        match event {
            CallEvent::Chunk(bytes) => caller.bytes.extend(bytes),
            CallEvent::End(_) => caller.whole = true,
            _ => {}
        }
    }

    /// Ends a task with its answer or its failure.
    fn finish(&mut self, request: usize, job: &Job, answered: &Request<Answered>, tokens: u64) {
        self.tasks[request] = Task::Done;
        self.callers[request].failure = answered.failure();
        let outcome = answered
            .failure()
            .map_or(Outcome::Complete(tokens), Outcome::Failed);
        if let Some(ticket) = job.ticket {
            self.tell_control(Message::Ended(ticket, outcome));
        }
    }

    /// Closes the ticket of a task that was stopped.
    fn close_gone(&mut self, job: &Job) {
        if let Some(ticket) = job.ticket {
            let outcome = Outcome::Failed(Failure::from(ErrorKind::Cancelled));
            self.tell_control(Message::Ended(ticket, outcome));
        }
    }
}

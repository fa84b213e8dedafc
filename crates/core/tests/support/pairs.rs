//! A simulation of one entry and two agents with fake targets, which exchange messages in virtual
//! time.
//!
//! The steps between the decisions follow `EntryService`, `AgentService` and the `Control` types of
//! the entry and the agent.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sardinepath_core::decision::agent::AgentState;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::freshness::Freshness;
use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Choice;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::target::TargetEvent;

use crate::support::pairs_agent::Agent;
use crate::support::pairs_entry::Entry;
use crate::support::pairs_entry::Task;
use crate::support::pairs_fault::AttemptFault;
use crate::support::pairs_fault::Fault;
use crate::support::pairs_fault::FaultKind;
use crate::support::pairs_fixture;

/// Number of requests in a run.
pub const REQUEST_COUNT: usize = 6;

/// Time within which all requests arrive, in milliseconds.
pub const ARRIVAL_PERIOD: u64 = 4_000;

/// End of a run in milliseconds. It is later than the sum of every deadline, silence and pause.
pub const RUN_END: u64 = 40_000;

/// Upper bound of the time that a message waits in a queue of the entry, in milliseconds.
const MAX_QUEUE_WAIT: u64 = 40;

/// Upper bound of the latency of a message between two processes, in milliseconds.
const MAX_LATENCY: u64 = 8;

/// Stream on which the entry receives the events of an attempt: number of the request and of the
/// attempt.
pub type StreamId = (usize, u32);

/// A message that will be handled at a later time.
#[derive(Clone, Debug)]
pub enum Message {
    /// A caller sends this request.
    Submit(usize),
    /// The caller of this request hangs up.
    HangUp(usize),
    /// A request asks the control state for admission.
    Admit(usize, AdmissionRequest),
    /// A request asks the control state for another attempt after this failure.
    Retry(TicketKey, Failure),
    /// A request has ended and closes its ticket.
    Ended(TicketKey, Outcome),
    /// The control state grants a target to a request, with the delay before the attempt.
    Grant(usize, TicketKey, Choice, Duration),
    /// The control state refuses a request.
    Refuse(usize, Failure),
    /// The control state revokes a grant, so the request must stop.
    Revoke(usize, Failure),
    /// The delay before an attempt has ended.
    StartAttempt(usize, TicketKey, Choice),
    /// The deadline of an attempt has been reached, if that attempt is still running.
    Deadline(usize),
    /// An event arrives on a stream of the entry. It names the request and attempt that it belongs
    /// to.
    Event(StreamId, (RequestId, Attempt), CallEvent),
    /// A report of an agent arrives at the entry.
    Report(Report),
    /// The answer to a watch arrives: the time at which the watch was sent, and the revision of the
    /// configuration.
    WatchAnswer(Time, Revision),
    /// A configuration that was delivered before arrives again.
    Update(Revision),
    /// The timers of the entry expire.
    EntryTick,
    /// An attempt arrives at an agent.
    Execute(usize, StreamId, Call),
    /// The entry cancels an attempt at an agent.
    Cancel(usize, StreamId),
    /// The target produces an event for a run of an agent.
    TargetEvent(usize, u64, TargetEvent),
    /// An agent sends its periodic report.
    ReportTick(usize),
    /// The entry asks the platform for changes.
    WatchTick,
    /// A failure begins.
    Fault(FaultKind),
}

/// The process that handles a message. A message to an earlier incarnation is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receiver {
    /// The entry in this incarnation.
    Entry(u32),
    /// The agent of this number in this incarnation.
    Agent(usize, u32),
    /// Everything outside the entry and the agents.
    Environment,
}

/// One execution of a request at a target.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Number of the request.
    pub request: usize,
    /// Workspace named in the call.
    pub workspace: WorkspaceId,
    /// Number of the agent.
    pub agent: usize,
    /// Time of the start in milliseconds.
    pub at: u64,
    /// True if the target had already left.
    pub left: bool,
}

/// A caller with its request and the answer that it received.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Workspace of the caller's key.
    pub workspace: &'static str,
    /// True if the route is idempotent.
    pub idempotent: bool,
    /// True if the answer is streamed.
    pub streamed: bool,
    /// Time in milliseconds that a target needs for each part of the answer.
    pub part_time: u64,
    /// Bytes of the answer received so far.
    pub bytes: Vec<u8>,
    /// True once the end of a complete answer was received.
    pub complete: bool,
    /// Failure with which the request ended, if it did.
    pub failure: Option<Failure>,
    /// True if the caller or its entry has disconnected, so that no answer can arrive.
    pub disconnected: bool,
}

/// Events that the checks at the end need beside the answers and executions.
#[derive(Debug, Default)]
pub struct Observed {
    /// Times at which the entry applied a withdrawal, by workspace.
    pub applied_withdrawals: HashMap<&'static str, u64>,
    /// Times at which the platform accepted a withdrawal, by workspace.
    pub accepted_withdrawals: HashMap<&'static str, u64>,
    /// Requests whose key was accepted: time and workspace.
    pub authorized: Vec<(u64, &'static str)>,
    /// Times at which targets left, by agent.
    pub departures: HashMap<usize, u64>,
    /// Attempts that the entry sent: time and agent.
    pub dispatches: Vec<(u64, usize)>,
    /// Revisions in the order in which the entry applied them, each with the entry's incarnation.
    pub revisions: Vec<(u32, Revision)>,
}

/// State of the simulation.
pub struct Simulation {
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub entry: Entry,
    pub agents: Vec<Agent>,
    pub callers: Vec<Caller>,
    pub tasks: Vec<Task>,
    pub executions: Vec<Execution>,
    pub observed: Observed,
    /// Configurations that the platform has accepted. The last one is current.
    pub configs: Vec<(Revision, Arc<Config>)>,
    /// Workspaces whose keys are withdrawn.
    pub withdrawn: Vec<&'static str>,
    /// A failure that affects the next attempt.
    pub attempt_fault: Option<AttemptFault>,
    /// Streams whose events are delivered on another stream.
    pub crossed_streams: HashMap<StreamId, StreamId>,
    /// Streams on which no event arrives any more.
    pub lost_streams: HashSet<StreamId>,
    /// Streams on which no event arrives before this time.
    pub stalled_streams: HashMap<StreamId, u64>,
    /// The agent whose target truncates its next complete answer.
    pub truncate_next: Option<usize>,
    queue: BTreeMap<(u64, u64), (Receiver, Message)>,
    /// Time of the last arrival in each channel, that is a connection or queue that keeps its
    /// order. The next message does not arrive earlier.
    pub channels: HashMap<(u8, usize, u32), u64>,
    sequence: u64,
}

impl Simulation {
    /// Creates a run and schedules its requests and failures.
    pub fn new(seed: u64, faults: &[Fault]) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let callers = pairs_fixture::draw_callers(&mut rng);
        let mut simulation = Self {
            now: 0,
            entry: Entry::new(0, seed),
            agents: (0..2).map(Agent::new).collect(),
            tasks: callers.iter().map(|_| Task::NotArrived).collect(),
            callers,
            executions: Vec::new(),
            observed: Observed::default(),
            configs: vec![pairs_fixture::config(1, &[])],
            withdrawn: Vec::new(),
            attempt_fault: None,
            crossed_streams: HashMap::new(),
            lost_streams: HashSet::new(),
            stalled_streams: HashMap::new(),
            truncate_next: None,
            queue: BTreeMap::new(),
            channels: HashMap::new(),
            sequence: 0,
            rng,
        };
        simulation.schedule(faults);
        simulation
    }

    /// Runs until the end of the run, or until only timers are left.
    pub fn run(mut self) -> Self {
        while let Some(((at, sequence), (receiver, message))) = self.queue.pop_first() {
            if at > RUN_END {
                break;
            }
            if matches!(message, Message::EntryTick) && self.is_idle() {
                break;
            }
            self.now = at;
            match receiver {
                Receiver::Entry(expected) if expected != self.entry.incarnation => continue,
                Receiver::Agent(n, expected) if expected != self.agents[n].incarnation => continue,
                Receiver::Entry(_) if at < self.entry.paused_until => {
                    // A paused process handles its queued messages in their order when it resumes.
                    let later = self.entry.paused_until;
                    self.queue.insert((later, sequence), (receiver, message));
                    continue;
                }
                _ => {}
            }
            self.handle(message);
        }
        self
    }

    /// Returns `true` if all requests have ended and only timers and their messages are queued.
    fn is_idle(&self) -> bool {
        let timer = |message: &Message| {
            matches!(
                message,
                Message::WatchTick
                    | Message::ReportTick(_)
                    | Message::WatchAnswer(..)
                    | Message::Report(_)
                    | Message::Deadline(_)
            )
        };
        let ended = |task: &Task| matches!(task, Task::NotArrived | Task::Done);
        self.entry.traffic.open() == 0
            && self.tasks.iter().all(ended)
            && self.queue.values().all(|(_, message)| timer(message))
    }

    /// Sends a message that arrives after this time.
    pub fn send(&mut self, receiver: Receiver, after: u64, message: Message) {
        self.sequence += 1;
        let at = (self.now + after, self.sequence);
        self.queue.insert(at, (receiver, message));
    }

    /// Sends a message that arrives after this time, but not before earlier messages of the
    /// channel.
    pub fn send_in_order(
        &mut self,
        receiver: Receiver,
        channel: (u8, usize, u32),
        after: u64,
        message: Message,
    ) {
        let at = self.channels.entry(channel).or_default();
        *at = (*at).max(self.now + after);
        let after = *at - self.now;
        self.send(receiver, after, message);
    }

    /// Sends a message to the entry's control state, in order.
    pub fn send_control(&mut self, message: Message) {
        let after = self.queue_wait();
        let receiver = Receiver::Entry(self.entry.incarnation);
        self.send_in_order(receiver, (0, 0, self.entry.incarnation), after, message);
    }

    /// Sends a message to the task of a request, in order.
    pub fn send_task(&mut self, request: usize, after: u64, message: Message) {
        let receiver = Receiver::Entry(self.entry.incarnation);
        self.send_in_order(
            receiver,
            (1, request, self.entry.incarnation),
            after,
            message,
        );
    }

    /// Draws the time that a message waits in a queue of the entry.
    pub fn queue_wait(&mut self) -> u64 {
        self.rng.random_range(0..MAX_QUEUE_WAIT)
    }

    /// Draws the latency of a message between two processes.
    pub fn latency(&mut self) -> u64 {
        self.rng.random_range(1..MAX_LATENCY)
    }

    fn schedule(&mut self, faults: &[Fault]) {
        self.send(Receiver::Environment, 0, Message::WatchTick);
        self.send(Receiver::Entry(0), 0, Message::EntryTick);
        for agent in 0..2 {
            self.send(Receiver::Environment, 5, Message::ReportTick(agent));
        }
        for request in 0..REQUEST_COUNT {
            let at = self.rng.random_range(100..ARRIVAL_PERIOD);
            self.send(Receiver::Environment, at, Message::Submit(request));
        }
        for fault in faults {
            self.send(Receiver::Environment, fault.at, Message::Fault(fault.kind));
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Execute(..)
            | Message::Cancel(..)
            | Message::TargetEvent(..)
            | Message::ReportTick(_) => self.step_agent(message),
            Message::Fault(kind) => self.inject_fault(kind),
            Message::HangUp(request) => self.hang_up(request),
            Message::WatchTick => self.watch_platform(),
            message => self.step_entry(message),
        }
    }

    /// Asks the platform for changes, as the entry's watch does.
    fn watch_platform(&mut self) {
        let (revision, _) = self.configs[self.configs.len() - 1];
        let asked = Time(self.now);
        let after = self.latency();
        let receiver = Receiver::Entry(self.entry.incarnation);
        let channel = (2, 0, self.entry.incarnation);
        self.send_in_order(
            receiver,
            channel,
            after,
            Message::WatchAnswer(asked, revision),
        );
        self.send(Receiver::Environment, 500, Message::WatchTick);
    }
}

/// Creates the control state of an agent in this incarnation.
pub fn agent_state(number: usize, incarnation: u32) -> AgentState {
    AgentState::new(Incarnation(u64::from(incarnation) * 2 + number as u64 + 1))
}

/// Creates the state of a newly started entry.
pub fn entry_state(seed: u64) -> (Traffic, Freshness) {
    (Traffic::new("cx1".into(), seed), Freshness::default())
}

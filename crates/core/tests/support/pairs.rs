//! One entry, two agents and their fake targets, joined by a message queue in virtual time.
//!
//! The steps between the decisions follow `EntryService`, the entry's and the agent's `Control`,
//! and `AgentService`.

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
use crate::support::pairs_fault::Ambush;
use crate::support::pairs_fault::Fault;
use crate::support::pairs_fault::Kind;
use crate::support::pairs_fixture;

/// Requests of one run.
pub const REQUESTS: usize = 6;

/// Time in which the requests come, in milliseconds.
pub const ARRIVALS: u64 = 4_000;

/// End of a run, later than every deadline, silence and pause together, in milliseconds.
pub const END: u64 = 40_000;

/// Longest wait of a message in a queue of the entry, in milliseconds.
const QUEUE: u64 = 40;

/// Longest way of a message between processes, in milliseconds.
const WAY: u64 = 8;

/// One attempt on its way: the stream of the entry that waits for it.
pub type StreamId = (usize, u32);

/// A message on its way.
#[derive(Clone, Debug)]
pub enum Message {
    /// A caller sends a request.
    Submit(usize),
    /// A caller hangs up.
    Leave(usize),
    /// A request asks for admission.
    Ask(usize, AdmissionRequest),
    /// A request asks for another attempt.
    Retry(TicketKey, Failure),
    /// A request ended.
    Ended(TicketKey, Outcome),
    /// A request gets a target.
    Go(usize, TicketKey, Choice, Duration),
    /// A request is refused by the control state.
    Refused(usize, Failure),
    /// A request has to stop.
    Revoked(usize, Failure),
    /// The delay before an attempt is over.
    Depart(usize, TicketKey, Choice),
    /// The deadline of a request may have come.
    Deadline(usize),
    /// An event arrives on a stream of the entry, with the attempt that it names.
    Event(StreamId, (RequestId, Attempt), CallEvent),
    /// A report arrives.
    Report(Report),
    /// A watch answer arrives: a question asked then, and the configuration.
    Watched(Time, Revision),
    /// A configuration arrives again.
    Updated(Revision),
    /// The timers of the entry.
    EntryTick,
    /// An attempt arrives at an agent.
    Execute(usize, StreamId, Call),
    /// The entry gives an attempt up.
    Cancel(usize, StreamId),
    /// The target of a run yields something.
    Part(usize, u64, TargetEvent),
    /// The agent of this number sends its report.
    ReportTick(usize),
    /// The platform is asked for changes.
    WatchTick,
    /// A failure begins.
    Fault(Kind),
}

/// Whose step a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// The entry, in one of its lives.
    Entry(u32),
    /// An agent, in one of its lives.
    Agent(usize, u32),
    /// The world outside.
    Outside,
}

/// One start of a request at a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the request.
    pub request: usize,
    /// The workspace of the call.
    pub workspace: WorkspaceId,
    /// The agent.
    pub agent: usize,
    /// Time of the start.
    pub at: u64,
    /// True if the target had left then.
    pub left: bool,
}

/// What a caller asks and gets.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The workspace of its key.
    pub workspace: &'static str,
    /// True if the route is idempotent.
    pub idempotent: bool,
    /// True if the answer is streamed.
    pub streamed: bool,
    /// Time that a target needs for each of the parts, in milliseconds.
    pub pace: u64,
    /// Bytes received.
    pub bytes: Vec<u8>,
    /// True after the end of a whole answer.
    pub whole: bool,
    /// The failure, after one.
    pub failure: Option<Failure>,
    /// True if the caller or its entry is gone, so that no answer can come.
    pub gone: bool,
}

/// What was observed beside the callers and the target logs.
#[derive(Debug, Default)]
pub struct Observed {
    /// Times at which a withdrawal came into force at the entry, by workspace.
    pub withdrawn: HashMap<&'static str, u64>,
    /// Times at which the platform accepted a withdrawal, by workspace.
    pub accepted: HashMap<&'static str, u64>,
    /// Requests that passed the check of their key: time and workspace.
    pub entered: Vec<(u64, &'static str)>,
    /// Times at which a target left, by agent.
    pub left: HashMap<usize, u64>,
    /// Dispatches: time and agent.
    pub dispatched: Vec<(u64, usize)>,
    /// Revisions that came into force at the entry, in order, with its life.
    pub revisions: Vec<(u32, Revision)>,
}

/// The whole run.
pub struct World {
    pub now: u64,
    pub random: ChaCha8Rng,
    pub entry: Entry,
    pub agents: Vec<Agent>,
    pub callers: Vec<Caller>,
    pub tasks: Vec<Task>,
    pub log: Vec<Run>,
    pub seen: Observed,
    /// Trees that the platform has accepted. The last is in force.
    pub accepted: Vec<(Revision, Arc<Config>)>,
    /// Workspaces whose keys are withdrawn.
    pub withdrawn: Vec<&'static str>,
    /// A failure that waits for the next attempt.
    pub ambush: Option<Ambush>,
    /// Streams whose events go to another stream.
    pub crossed: HashMap<StreamId, StreamId>,
    /// Streams on which nothing arrives any more.
    pub cut: HashSet<StreamId>,
    /// Streams on which nothing arrives before a time.
    pub stalled: HashMap<StreamId, u64>,
    /// The agent whose next whole answer loses its end.
    pub lose_whole: Option<usize>,
    queue: BTreeMap<(u64, u64), (Place, Message)>,
    /// Earliest arrival of the next message of a connection or queue.
    pub lanes: HashMap<(u8, usize, u32), u64>,
    sequence: u64,
}

impl World {
    /// Creates a run with its requests and failures.
    pub fn new(seed: u64, faults: &[Fault]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let callers = pairs_fixture::callers(&mut random);
        let mut world = Self {
            now: 0,
            entry: Entry::new(0, seed),
            agents: (0..2).map(Agent::new).collect(),
            tasks: callers.iter().map(|_| Task::Idle).collect(),
            callers,
            log: Vec::new(),
            seen: Observed::default(),
            accepted: vec![pairs_fixture::accepted(1, &[])],
            withdrawn: Vec::new(),
            ambush: None,
            crossed: HashMap::new(),
            cut: HashSet::new(),
            stalled: HashMap::new(),
            lose_whole: None,
            queue: BTreeMap::new(),
            lanes: HashMap::new(),
            sequence: 0,
            random,
        };
        world.schedule(faults);
        world
    }

    /// Runs to the end.
    pub fn run(mut self) -> Self {
        while let Some(((at, sequence), (place, message))) = self.queue.pop_first() {
            if at > END {
                break;
            }
            if matches!(message, Message::EntryTick) && self.is_quiet() {
                break;
            }
            self.now = at;
            match place {
                Place::Entry(life) if life != self.entry.life => continue,
                Place::Agent(n, life) if life != self.agents[n].life => continue,
                Place::Entry(_) if at < self.entry.paused => {
                    // A paused process finds its messages in their order when it resumes.
                    let later = self.entry.paused;
                    self.queue.insert((later, sequence), (place, message));
                    continue;
                }
                _ => {}
            }
            self.handle(message);
        }
        self
    }

    /// Tells whether only timers can still make steps.
    fn is_quiet(&self) -> bool {
        let timer = |message: &Message| {
            matches!(
                message,
                Message::WatchTick
                    | Message::ReportTick(_)
                    | Message::Watched(..)
                    | Message::Report(_)
                    | Message::Deadline(_)
            )
        };
        let ended = |task: &Task| matches!(task, Task::Idle | Task::Done);
        self.entry.traffic.open() == 0
            && self.tasks.iter().all(ended)
            && self.queue.values().all(|(_, message)| timer(message))
    }

    /// Sends a message that arrives after a time.
    pub fn send(&mut self, place: Place, after: u64, message: Message) {
        self.sequence += 1;
        let at = (self.now + after, self.sequence);
        self.queue.insert(at, (place, message));
    }

    /// Sends a message on a lane that keeps its order. Returns the time on the way.
    pub fn send_in_order(
        &mut self,
        place: Place,
        lane: (u8, usize, u32),
        after: u64,
        message: Message,
    ) {
        let at = self.lanes.entry(lane).or_default();
        *at = (*at).max(self.now + after);
        let after = *at - self.now;
        self.send(place, after, message);
    }

    /// Sends a message to the entry's control state, in order.
    pub fn tell_control(&mut self, message: Message) {
        let after = self.wait();
        let place = Place::Entry(self.entry.life);
        self.send_in_order(place, (0, 0, self.entry.life), after, message);
    }

    /// Sends a message to a task of the entry, in order.
    pub fn tell_task(&mut self, request: usize, after: u64, message: Message) {
        let place = Place::Entry(self.entry.life);
        self.send_in_order(place, (1, request, self.entry.life), after, message);
    }

    /// Draws the wait in a queue of the entry.
    pub fn wait(&mut self) -> u64 {
        self.random.random_range(0..QUEUE)
    }

    /// Draws the time on the way between two processes.
    pub fn way(&mut self) -> u64 {
        self.random.random_range(1..WAY)
    }

    fn schedule(&mut self, faults: &[Fault]) {
        self.send(Place::Outside, 0, Message::WatchTick);
        self.send(Place::Entry(0), 0, Message::EntryTick);
        for agent in 0..2 {
            self.send(Place::Outside, 5, Message::ReportTick(agent));
        }
        for request in 0..REQUESTS {
            let at = self.random.random_range(100..ARRIVALS);
            self.send(Place::Outside, at, Message::Submit(request));
        }
        for fault in faults {
            self.send(Place::Outside, fault.at, Message::Fault(fault.kind));
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Execute(..)
            | Message::Cancel(..)
            | Message::Part(..)
            | Message::ReportTick(_) => self.step_agent(message),
            Message::Fault(kind) => self.begin_fault(kind),
            Message::Leave(request) => self.caller_leaves(request),
            Message::WatchTick => self.ask_platform(),
            message => self.step_entry(message),
        }
    }

    /// Asks the platform for changes, as the entry's watch does.
    fn ask_platform(&mut self) {
        let (revision, _) = self.accepted[self.accepted.len() - 1];
        let asked = Time(self.now);
        let after = self.way();
        let place = Place::Entry(self.entry.life);
        let lane = (2, 0, self.entry.life);
        self.send_in_order(place, lane, after, Message::Watched(asked, revision));
        self.send(Place::Outside, 500, Message::WatchTick);
    }
}

/// Creates the control state of an agent's life.
pub fn agent_state(number: usize, life: u32) -> AgentState {
    AgentState::new(Incarnation(u64::from(life) * 2 + number as u64 + 1))
}

/// Creates what a new life of the entry knows.
pub fn entry_state(seed: u64) -> (Traffic, Freshness) {
    (Traffic::new("cx1".into(), seed), Freshness::default())
}

//! Simulation of gateways, a store and targets in virtual time, with faults.
#![allow(dead_code, unused_imports)] // Each test crate uses only some of the names.

mod crashing;
mod duty;
mod effects;
mod fixtures;
mod leaving;
mod places;
mod start;
mod store;
mod traffic;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_core::decision::batch::RunEnd;
use sardinepath_core::decision::batch::RunId;
use sardinepath_core::decision::gateway::Gateway;
use sardinepath_core::decision::gateway::GatewaySettings;
use sardinepath_core::decision::gateway::message::CallId;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::gateway::message::RunRequest;
use sardinepath_core::decision::gateway::message::Source;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::Record;
use sardinepath_core::decision::gateway::stored::StoreCall;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::decision::lease::Terms;
use sardinepath_core::decision::memory::MemoryLimits;
use sardinepath_core::decision::tally::Counts;
use sardinepath_core::domain::batch::Outcome;
use sardinepath_core::domain::cold::ColdTolerance;
use sardinepath_core::domain::fleet::Peer;
use sardinepath_core::domain::fleet::TargetEntry;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::ItemId;
use sardinepath_core::domain::name::RegionName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::table::RouteTable;
use sardinepath_core::domain::time::Time;

pub use crate::gateway_support::crashing::CONTACT_MS;
use crate::gateway_support::crashing::Crashing;
pub use crate::gateway_support::crashing::fingerprint;
use crate::gateway_support::duty::DutyCall;
pub use crate::gateway_support::fixtures::address;
pub use crate::gateway_support::fixtures::batch;
pub use crate::gateway_support::fixtures::batch_id;
pub use crate::gateway_support::fixtures::host;
pub use crate::gateway_support::fixtures::route;
pub use crate::gateway_support::fixtures::score_route;
pub use crate::gateway_support::fixtures::submission;
pub use crate::gateway_support::fixtures::table;
use crate::gateway_support::fixtures::target;
pub use crate::gateway_support::fixtures::workspace;
pub use crate::gateway_support::leaving::DRAIN_MS;
use crate::gateway_support::leaving::Leaving;
pub use crate::gateway_support::places::AWAY;
pub use crate::gateway_support::places::HOME;
use crate::gateway_support::places::Places;
use crate::gateway_support::places::regions;
pub use crate::gateway_support::store::StoreFault;
pub use crate::gateway_support::traffic::GENERATION_EVENTS;
use crate::gateway_support::traffic::PermitCall;

/// Virtual time between two steps in milliseconds.
pub const STEP_MS: u64 = 20;

/// Wall-clock time at the virtual time 0, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_000_000_000;

/// Latency of a call to the store in milliseconds.
const STORE_LATENCY_MS: u64 = 20;

/// Duration of a generation in milliseconds.
const GENERATION_MS: u64 = 700;

/// Time after acceptance during which an ended job can be read.
pub const JOB_RETENTION: Duration = Duration::from_secs(60);

/// Default CPU allowance of a host, in percent of a core.
pub const HOST_POWER: u32 = 50;

/// Key of an object in the store.
type Key = (Kind, Arc<str>);

pub struct Node {
    pub gateway: Option<Gateway>,
    pub fault: StoreFault,
    /// Whether the process is frozen and handles no messages.
    pub frozen: bool,
    /// Whether calls between this gateway and the others get no answer.
    pub cut: bool,
    /// Gateways that this one does not reach.
    pub unreached: BTreeSet<usize>,
    /// Additional time in milliseconds until this gateway learns of changes in the store.
    pub watch_lag: u64,
    /// CPU allowance of the host, in percent of a core.
    power: u32,
    /// Region of the host.
    region: RegionName,
    /// Configuration that the gateway gets when it starts, or `None` if it gets none.
    pub table: Option<Arc<RouteTable>>,
    /// Source from which the gateway receives watched objects.
    pub source: Source,
    incarnation: u64,
    inbox: Vec<(u64, Message)>,
    replies: BTreeMap<CallId, Reply>,
    runs: BTreeMap<RunId, TargetName>,
    /// Plain requests without a reply, with the number of tries that are left.
    plain_calls: Vec<(CallId, u32)>,
    /// Additional time in milliseconds until a call for the duty arrives.
    pub duty_delay: u64,
    /// Calls for the duty that the traffic thread has not sent yet, with the time of each.
    duty_calls: Vec<(u64, DutyCall)>,
}

pub struct Simulation {
    pub now: u64,
    pub nodes: Vec<Node>,
    store: BTreeMap<Key, (u64, Record)>,
    revision: u64,
    /// Delayed calls with the time at which they take effect.
    delayed: Vec<(u64, StoreCall)>,
    next_call: u64,
    /// Times at which the runner of a job changed in the store.
    pub runner_changes: Vec<u64>,
    /// Start times of the generations of each item.
    pub starts: BTreeMap<ItemId, Vec<u64>>,
    /// Number of events with which the last generation of each item began.
    pub begun: BTreeMap<ItemId, u64>,
    /// Host, fencing token and counts of the reports of each window.
    pub reports: BTreeMap<u64, Vec<(usize, u64, Counts)>>,
    /// Host, fencing token and time of each order.
    pub orders: Vec<(usize, u64, u64)>,
    /// Host, fencing token and time of each usage report.
    pub report_times: Vec<(usize, u64, u64)>,
    /// Whether the platform and the targets check fencing tokens.
    pub fence_checked: bool,
    /// Evacuations and homes, and what went where.
    pub places: Places,
    /// Request limits that the targets state, in requests a second.
    pub limits: BTreeMap<TargetName, f64>,
    /// Arrival time of each request at a target.
    pub arrivals: Vec<(u64, TargetName)>,
    /// Gateway that sent each of these requests.
    senders: Vec<usize>,
    /// Targets that say that they are leaving.
    pub leaving: Leaving,
    /// Request that crashes each target that runs it.
    pub crashing: Crashing,
    /// Interval in milliseconds at which each gateway gets a plain request, or `None`.
    pub plain_interval: Option<u64>,
    /// Number of plain requests that got a target.
    pub plain_served: usize,
    /// Number of plain requests that got no target.
    pub plain_refused: usize,
    /// Requests for permits without an answer.
    permit_calls: Vec<PermitCall>,
    /// Registered targets.
    targets: Vec<TargetEntry>,
    /// Duration of a generation in milliseconds.
    pub generation_ms: u64,
    /// Factor of the duration of a generation at each target that is slower than others.
    pub speeds: BTreeMap<TargetName, f64>,
    /// Generations that have started, with the time of the start and between two events.
    generations: BTreeMap<(usize, RunId), (u64, u64, RunRequest)>,
    /// Number of events after which the first attempt of each item breaks, or `None`.
    pub break_after: Option<u64>,
    /// Whether targets answer each generation with an error.
    pub failing: bool,
    /// Answer of all targets to each generation of an item, for items that none can do.
    pub failing_items: BTreeMap<ItemId, RunEnd>,
    /// Whether stored submissions cannot be decoded.
    pub undecodable: bool,
    /// Number of stored submissions that were to be decoded.
    pub decodes: usize,
    /// Whether targets answer each scoring request with an error.
    pub failing_scores: bool,
}

impl Simulation {
    /// Starts gateways on equal hosts, with four targets and a configuration.
    pub fn new(gateways: usize) -> Self {
        Self::with_power(&vec![HOST_POWER; gateways])
    }

    /// Starts gateways on hosts with these CPU allowances.
    pub fn with_power(powers: &[u32]) -> Self {
        let node = |power: &u32| Node {
            gateway: None,
            fault: StoreFault::None,
            frozen: false,
            cut: false,
            unreached: BTreeSet::new(),
            watch_lag: 0,
            power: *power,
            region: RegionName::from(HOME),
            table: Some(table()),
            source: Source::Store,
            incarnation: 0,
            inbox: Vec::new(),
            replies: BTreeMap::new(),
            runs: BTreeMap::new(),
            plain_calls: Vec::new(),
            duty_delay: 0,
            duty_calls: Vec::new(),
        };
        let mut sim = Self {
            now: 10_000,
            nodes: powers.iter().map(node).collect(),
            store: BTreeMap::new(),
            revision: 1,
            delayed: Vec::new(),
            next_call: 0,
            runner_changes: Vec::new(),
            starts: BTreeMap::new(),
            begun: BTreeMap::new(),
            reports: BTreeMap::new(),
            orders: Vec::new(),
            report_times: Vec::new(),
            fence_checked: true,
            places: Places::default(),
            limits: BTreeMap::new(),
            arrivals: Vec::new(),
            senders: Vec::new(),
            leaving: Leaving::default(),
            crashing: Crashing::default(),
            plain_interval: None,
            plain_served: 0,
            plain_refused: 0,
            permit_calls: Vec::new(),
            targets: (0..4).map(target).collect(),
            generation_ms: GENERATION_MS,
            speeds: BTreeMap::new(),
            generations: BTreeMap::new(),
            break_after: None,
            failing: false,
            failing_items: BTreeMap::new(),
            undecodable: false,
            decodes: 0,
            failing_scores: false,
        };
        sim.start_all();
        sim
    }

    /// Starts all gateways, also those that run.
    fn start_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.start(index);
        }
        self.run(1_000);
    }

    /// Sends a version of the configuration to a gateway.
    pub fn configure(&mut self, index: usize, table: Arc<RouteTable>) {
        let changed = Message::Changed(WatchedObject::Table(table));
        self.send(index, STORE_LATENCY_MS, changed);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].gateway = None;
        self.nodes[index].inbox.clear();
        self.nodes[index].duty_calls.clear();
    }

    /// Sends a question to a gateway. `reply` returns the reply later.
    pub fn ask(&mut self, index: usize, question: Question) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.send(index, 0, Message::Ask(call, question));
        call
    }

    pub fn reply(&self, index: usize, call: CallId) -> Option<&Reply> {
        self.nodes[index].replies.get(&call)
    }

    /// Returns the gateway that should run a new job according to the gateway at `index`.
    pub fn place(&mut self, index: usize) -> usize {
        let question = Question::ChooseRunner {
            id: BatchId::from("new"),
            route: route(),
            homes: None,
        };
        let call = self.ask(index, question);
        self.run(2 * STEP_MS);
        match self.reply(index, call) {
            Some(Reply::Local) => index,
            Some(Reply::Forward(there)) => (0..self.nodes.len())
                .find(|i| address(*i) == *there)
                .unwrap(),
            other => panic!("no place: {other:?}"),
        }
    }

    pub fn submit(&mut self, index: usize, items: usize) -> CallId {
        self.ask(index, Question::Submit(submission(items)))
    }

    /// Reads all results at a gateway, from the start until a read returns none.
    pub fn read_all(&mut self, index: usize) -> Vec<Arc<Outcome>> {
        let mut all: Vec<Arc<Outcome>> = Vec::new();
        loop {
            let question = Question::Read {
                id: batch_id(),
                workspace: workspace(),
                after: all.len(),
                wait: Duration::ZERO,
                local: true,
            };
            let call = self.ask(index, question);
            self.run(1_500);
            match self.reply(index, call) {
                Some(Reply::Results(_, _, outcomes)) if !outcomes.is_empty() => {
                    all.extend(outcomes.iter().cloned());
                }
                Some(Reply::Results(..)) => return all,
                other => panic!("no results: {other:?}"),
            }
        }
    }

    pub fn message(&mut self, index: usize, message: Message) {
        self.send(index, 0, message);
    }

    /// Returns the item names of the results in the store, in order.
    pub fn listed(&self) -> Vec<ItemId> {
        let pages = self
            .store
            .iter()
            .filter(|((kind, _), _)| *kind == Kind::Pages);
        let mut listed = Vec::new();
        for ((_, name), (_, record)) in pages {
            let Record::Page(page) = record else {
                panic!("not a page")
            };
            let start: usize = name.rsplit_once('.').unwrap().1.parse().unwrap();
            assert_eq!(start, listed.len(), "pages leave no gap and do not overlap");
            listed.extend(page.outcomes.iter().map(|o| o.id.clone()));
        }
        listed
    }

    /// Returns the number of objects of jobs in the store.
    pub fn objects(&self) -> usize {
        let job_kinds = [
            Kind::Heads,
            Kind::Parts,
            Kind::Pages,
            Kind::Drafts,
            Kind::Failures,
        ];
        let kinds = self.store.keys().map(|(kind, _)| kind);
        kinds.filter(|kind| job_kinds.contains(kind)).count()
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    pub fn wall_time(&self) -> u64 {
        EPOCH_MS + self.now
    }

    /// Advances the virtual time.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            let due: Vec<_> = self
                .delayed
                .extract_if(.., |(at, _)| *at <= self.now)
                .collect();
            for (_, call) in due {
                let _ = self.apply(call);
            }
            for index in 0..self.nodes.len() {
                self.ask_plain(index);
                self.send_duty_calls(index);
                self.step(index);
                self.send_plain(index);
            }
            self.answer_permits();
            self.step_crashing();
        }
    }

    fn send(&mut self, index: usize, delay: u64, message: Message) {
        if self.nodes[index].gateway.is_some() {
            self.nodes[index].inbox.push((self.now + delay, message));
        }
    }
}

//! Simulation of gateways, a store and targets in virtual time, with faults.
#![allow(dead_code)] // Each test crate uses only some of the methods.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_core::decision::batch::RunEnd;
use sardinepath_core::decision::batch::RunId;
use sardinepath_core::decision::batch::ScoreEnd;
use sardinepath_core::decision::directory::CallEnd;
use sardinepath_core::decision::directory::Choice;
use sardinepath_core::decision::gateway::Gateway;
use sardinepath_core::decision::gateway::GatewaySettings;
use sardinepath_core::decision::gateway::message::CallId;
use sardinepath_core::decision::gateway::message::Effect;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Pong;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::gateway::message::ReportEnd;
use sardinepath_core::decision::gateway::message::RunRequest;
use sardinepath_core::decision::gateway::message::Source;
use sardinepath_core::decision::gateway::stored::Answer;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::Record;
use sardinepath_core::decision::gateway::stored::StoreCall;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::decision::lease::Terms;
use sardinepath_core::decision::permit::PermitRequest;
use sardinepath_core::decision::tally::Counts;
use sardinepath_core::decision::weights::Load;
use sardinepath_core::decision::weights::OrderEnd;
use sardinepath_core::domain::batch::Batch;
use sardinepath_core::domain::batch::Item;
use sardinepath_core::domain::batch::Outcome;
use sardinepath_core::domain::batch::Scorer;
use sardinepath_core::domain::fleet::Peer;
use sardinepath_core::domain::fleet::TargetEntry;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::limit::LimitStatement;
use sardinepath_core::domain::limit::RequestLimit;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::GroupName;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::ItemId;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::RouteName;
use sardinepath_core::domain::name::SoftwareVersion;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::name::WorkspaceName;
use sardinepath_core::domain::table::BatchSettings;
use sardinepath_core::domain::table::Route;
use sardinepath_core::domain::table::RouteKind;
use sardinepath_core::domain::table::RouteTable;
use sardinepath_core::domain::table::StreamSettings;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;

/// Virtual time between two steps in milliseconds.
pub const STEP_MS: u64 = 20;

/// Latency of a call to the store in milliseconds.
const STORE_LATENCY_MS: u64 = 20;

/// Timeout of a request for permits in milliseconds.
const PERMIT_TIMEOUT_MS: u64 = 240;

/// Number of events in a generation.
pub const GENERATION_EVENTS: u64 = 10;

/// Duration of a generation in milliseconds.
const GENERATION_MS: u64 = 700;

/// Time after acceptance during which an ended job can be read.
pub const JOB_RETENTION: Duration = Duration::from_secs(60);

/// Default CPU allowance of a host, in percent of a core.
pub const HOST_POWER: u32 = 50;

/// Key of an object in the store.
type Key = (Kind, Arc<str>);

/// Fault of the store for the calls of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    None,
    /// Calls fail without effect.
    Unavailable,
    /// Calls take effect, but the answer is lost.
    AnswerLost,
    /// Calls take effect three seconds later, and the answer is lost.
    Delayed,
}

pub struct Node {
    pub gateway: Option<Gateway>,
    pub fault: StoreFault,
    /// Whether the process is frozen and handles no messages.
    pub frozen: bool,
    /// Whether calls between this gateway and the others get no answer.
    pub cut: bool,
    /// Additional time in milliseconds until this gateway learns of changes in the store.
    pub watch_lag: u64,
    /// CPU allowance of the host, in percent of a core.
    power: u32,
    /// Source from which the gateway receives watched objects.
    pub source: Source,
    incarnation: u64,
    inbox: Vec<(u64, Message)>,
    replies: BTreeMap<CallId, Reply>,
    runs: BTreeMap<RunId, TargetName>,
    /// Plain requests without a reply.
    plain_calls: Vec<CallId>,
}

pub struct Simulation {
    pub now: u64,
    pub nodes: Vec<Node>,
    store: BTreeMap<Key, (u64, Record)>,
    revision: u64,
    /// Delayed calls with the time at which they take effect.
    delayed: Vec<(u64, StoreCall)>,
    next_call: u64,
    /// Start times of the generations of each item.
    pub starts: BTreeMap<ItemId, Vec<u64>>,
    /// Host, fencing token and counts of the reports of each window.
    pub reports: BTreeMap<u64, Vec<(usize, u64, Counts)>>,
    /// Host, fencing token and time of each order.
    pub orders: Vec<(usize, u64, u64)>,
    /// Request limits that the targets state, in requests a second.
    pub limits: BTreeMap<TargetName, f64>,
    /// Arrival time of each request at a target.
    pub arrivals: Vec<(u64, TargetName)>,
    /// Interval in milliseconds at which each gateway gets a plain request, or `None`.
    pub plain_interval: Option<u64>,
    /// Requests for permits without an answer.
    permit_calls: Vec<PermitCall>,
    /// Registered targets.
    targets: Vec<TargetEntry>,
    /// Duration of a generation in milliseconds.
    pub generation_ms: u64,
    /// Number of events after which the first attempt of each item breaks, or `None`.
    pub break_after: Option<u64>,
}

/// Request of a gateway to another one for permits.
struct PermitCall {
    asker: usize,
    granter: usize,
    call: CallId,
    target: TargetName,
    timeout: u64,
}

pub fn host(index: usize) -> HostName {
    HostName::from(format!("g{index}"))
}

pub fn batch_id() -> BatchId {
    BatchId::from("b1")
}

pub fn workspace() -> Option<WorkspaceName> {
    Some(WorkspaceName::from("press"))
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + u16::try_from(index).unwrap()))
}

pub fn route() -> Arc<Route> {
    Arc::new(Route {
        name: RouteName::from("dreams"),
        host: Arc::from("dreams.example"),
        prefix: Arc::from("/dreams/"),
        kind: RouteKind::Batch(BatchSettings {
            retention: Duration::from_secs(600),
            single: false,
        }),
        timeout: Duration::from_secs(10),
        latency_objective: Duration::from_millis(400),
        split: vec![(PoolName::from("engines"), 1)],
        attempts: 3,
        open: false,
        rank: 0,
    })
}

fn score_route() -> Arc<Route> {
    Arc::new(Route {
        name: RouteName::from("scores"),
        prefix: Arc::from("/scores/"),
        kind: RouteKind::Safe,
        ..(*route()).clone()
    })
}

fn stream_route() -> Arc<Route> {
    Arc::new(Route {
        name: RouteName::from("streams"),
        prefix: Arc::from("/streams/"),
        kind: RouteKind::Stream(StreamSettings { resumable: true }),
        ..(*route()).clone()
    })
}

fn table() -> Arc<RouteTable> {
    let mut table = RouteTable {
        version: 1,
        needs_key: true,
        ..RouteTable::default()
    };
    table.hosts.insert(
        Arc::from("dreams.example"),
        vec![route(), score_route(), stream_route()],
    );
    Arc::new(table)
}

/// Creates a submission of items in groups of four.
pub fn batch(items: usize) -> Arc<Batch> {
    let item = |index: usize| {
        Arc::new(Item {
            id: ItemId::from(format!("i{index}")),
            path: Arc::from("/dreams/x"),
            headers: Vec::new(),
            body: Arc::from(&b"body"[..]),
            expected_tokens: 10,
            group: Some(GroupName::from(format!("g{}", index / 4))),
            scorer: Some(Scorer {
                id: Arc::from(format!("s{index}")),
                host: Arc::from("dreams.example"),
                path: Arc::from("/scores/x"),
                body: Arc::from(&b"text"[..]),
            }),
        })
    };
    Arc::new(Batch {
        model: Some(ModelName::from("m")),
        min_version: WeightVersion(1),
        items: (0..items).map(item).collect(),
        source: Arc::from(items.to_string()),
    })
}

fn target(index: usize) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(format!("t{index}")),
        pool: PoolName::from("engines"),
        address: address(500 + index),
        centre: CentreName::from("c"),
        slots: 8,
        leaving: false,
        models: vec![(ModelName::from("m"), WeightVersion(1))],
        software: SoftwareVersion::from("v1"),
        started_at: 1,
    }
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
            watch_lag: 0,
            power: *power,
            source: Source::Store,
            incarnation: 0,
            inbox: Vec::new(),
            replies: BTreeMap::new(),
            runs: BTreeMap::new(),
            plain_calls: Vec::new(),
        };
        let mut sim = Self {
            now: 10_000,
            nodes: powers.iter().map(node).collect(),
            store: BTreeMap::new(),
            revision: 1,
            delayed: Vec::new(),
            next_call: 0,
            starts: BTreeMap::new(),
            reports: BTreeMap::new(),
            orders: Vec::new(),
            limits: BTreeMap::new(),
            arrivals: Vec::new(),
            plain_interval: None,
            permit_calls: Vec::new(),
            targets: (0..4).map(target).collect(),
            generation_ms: GENERATION_MS,
            break_after: None,
        };
        for index in 0..powers.len() {
            sim.start(index);
        }
        sim.run(1_000);
        sim
    }

    /// Starts or restarts a process.
    pub fn start(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        let me = GatewaySettings {
            peer: Peer {
                host: host(index),
                address: address(index),
                incarnation: Incarnation(u64::try_from(index).unwrap() * 1_000 + incarnation),
                cpu_percent: self.nodes[index].power,
            },
            centre: CentreName::from("c"),
            epoch: 1_000_000_000,
            lease: Terms {
                length: Duration::from_secs(3),
                renewal: Duration::from_secs(1),
                poll: Duration::from_millis(1_500),
                retry: Duration::from_millis(400),
            },
            job_retention: JOB_RETENTION,
            usage_window: Some(Duration::from_secs(5)),
            report_deadline: Duration::from_secs(10),
            seed: incarnation + 77 * u64::try_from(index).unwrap(),
        };
        let node = &mut self.nodes[index];
        node.incarnation = incarnation;
        node.gateway = Some(Gateway::new(me, Time(self.now)));
        node.inbox.clear();
        node.replies.clear();
        node.runs.clear();
        node.plain_calls.clear();
        let targets = self
            .targets
            .iter()
            .cloned()
            .map(WatchedObject::Target)
            .collect();
        let heads = self.views(Kind::Heads);
        let peers = self.views(Kind::Peers);
        let limits = self.views(Kind::Limits);
        let software = self.views(Kind::Software);
        for message in [
            Message::Changed(WatchedObject::Table(table())),
            Message::Listing(Kind::Targets, targets),
            Message::Listing(Kind::Heads, heads),
            Message::Listing(Kind::Peers, peers),
            Message::Listing(Kind::Limits, limits),
            Message::Listing(Kind::Software, software),
        ] {
            self.send(index, STORE_LATENCY_MS, message);
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].gateway = None;
        self.nodes[index].inbox.clear();
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
            route: route().name.clone(),
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
        let question = Question::Submit {
            id: batch_id(),
            workspace: workspace(),
            route: route(),
            batch: batch(items),
        };
        self.ask(index, question)
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
        let job_kinds = [Kind::Heads, Kind::Parts, Kind::Pages, Kind::Drafts];
        let kinds = self.store.keys().map(|(kind, _)| kind);
        kinds.filter(|kind| job_kinds.contains(kind)).count()
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
                self.step(index);
                self.send_plain(index);
            }
            self.answer_permits();
        }
    }

    /// Passes a request for permits on to the granter, which does not get it if it is cut off.
    fn ask_permits(&mut self, asker: usize, granter: SocketAddr, request: PermitRequest) {
        let granter = (0..self.nodes.len())
            .find(|i| address(*i) == granter)
            .unwrap();
        let target = request.target.clone();
        let reachable = !self.nodes[asker].cut && !self.nodes[granter].cut;
        self.next_call += 1;
        let call = CallId(self.next_call);
        if reachable {
            let message = Message::Ask(call, Question::GrantPermits(request));
            self.send(granter, STEP_MS, message);
        }
        self.permit_calls.push(PermitCall {
            asker,
            granter,
            call,
            target,
            timeout: self.now + PERMIT_TIMEOUT_MS,
        });
    }

    /// Passes the answers to requests for permits on to the askers.
    fn answer_permits(&mut self) {
        for ask in std::mem::take(&mut self.permit_calls) {
            let granter = address(ask.granter);
            let reply = self.nodes[ask.granter].replies.remove(&ask.call);
            let grant = match reply {
                Some(Reply::Permits(grant)) => Some(grant),
                _ if self.now < ask.timeout => {
                    self.permit_calls.push(ask);
                    continue;
                }
                _ => None,
            };
            let message = Message::PermitsAnswered(ask.target, granter, grant);
            self.send(ask.asker, 0, message);
        }
    }

    /// Asks for the target of a plain request if the next one is due.
    fn ask_plain(&mut self, index: usize) {
        let due = self.plain_interval.is_some_and(|interval| {
            let offset = u64::try_from(index).unwrap() * STEP_MS;
            (self.now + offset) % interval < STEP_MS
        });
        if due && self.nodes[index].gateway.is_some() {
            let question = Question::ChooseTarget {
                pool: PoolName::from("engines"),
                tried: Vec::new(),
                software: None,
            };
            let call = self.ask(index, question);
            self.nodes[index].plain_calls.push(call);
        }
    }

    /// Sends the plain requests whose target was chosen.
    fn send_plain(&mut self, index: usize) {
        for call in std::mem::take(&mut self.nodes[index].plain_calls) {
            match self.nodes[index].replies.remove(&call) {
                Some(Reply::Target(choice)) => {
                    self.arrive(index, &choice);
                    let ended = Message::RequestEnded(choice.name, CallEnd::Answered);
                    self.send(index, STEP_MS, ended);
                }
                Some(_) => {}
                None => self.nodes[index].plain_calls.push(call),
            }
        }
    }

    /// Records a request at a target, whose answer states the request limit of the target.
    fn arrive(&mut self, index: usize, choice: &Choice) {
        self.arrivals.push((self.now, choice.name.clone()));
        let statement = match self.limits.get(&choice.name) {
            Some(limit) => LimitStatement::Limited(RequestLimit::new(*limit).unwrap()),
            None if choice.limited => LimitStatement::Unlimited,
            None => return,
        };
        let stated = Message::LimitStated(choice.name.clone(), statement);
        self.send(index, STEP_MS, stated);
    }

    /// Returns `true` if a gateway has generations or scoring requests that have not ended.
    pub fn runs_jobs(&self, index: usize) -> bool {
        !self.nodes[index].runs.is_empty()
    }

    /// Returns the largest number of requests that a target got in a window of this length after a
    /// time.
    pub fn most_arrivals(&self, target: &str, since: u64, window: u64) -> usize {
        let times = || {
            let of = |(at, name): &&(u64, TargetName)| *at >= since && name.as_str() == target;
            self.arrivals.iter().filter(of).map(|(at, _)| *at)
        };
        let within = |start: u64| {
            times()
                .filter(|at| (start..start + window).contains(at))
                .count()
        };
        times().map(within).max().unwrap_or(0)
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.frozen || node.gateway.is_none() {
            return;
        }
        let mut due: Vec<_> = node.inbox.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            if let Message::RunEnded(run, ..) | Message::ScoringEnded(run, _) = &message
                && self.nodes[index].runs.remove(run).is_none()
            {
                continue;
            }
            let Some(gateway) = &mut self.nodes[index].gateway else {
                return;
            };
            let effects = gateway.handle(Time(now), message);
            self.apply_effects(index, effects);
        }
        let Some(gateway) = &mut self.nodes[index].gateway else {
            return;
        };
        let effects = gateway.tick(Time(now));
        self.apply_effects(index, effects);
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(call, reply) => drop(self.nodes[index].replies.insert(call, reply)),
                Effect::Store(purpose, call) => {
                    let answer = self.call_store(index, call);
                    self.send(index, STORE_LATENCY_MS, Message::Stored(purpose, answer));
                }
                Effect::Decode(id, source) => {
                    let decoded = batch(source.parse().unwrap());
                    self.send(index, 0, Message::Decoded(id, Some(decoded)));
                }
                Effect::StartRun(run) => self.generate(index, &run),
                Effect::Score(run, choice, _) => {
                    self.arrive(index, &choice);
                    self.nodes[index].runs.insert(run, choice.name);
                    let end = ScoreEnd::Scored(Arc::from("digest"));
                    self.send(index, STEP_MS, Message::ScoringEnded(run, end));
                }
                Effect::StopRun(run) => drop(self.nodes[index].runs.remove(&run)),
                Effect::Ping(runner) => {
                    let pong = self.pong(&runner.host);
                    self.send(index, STEP_MS, Message::PingEnded(runner.host, pong));
                }
                Effect::AskPermits(address, request) => {
                    self.ask_permits(index, address, request);
                }
                Effect::CollectCounts(window, peer) => {
                    let alive = self.pong(&peer.host).is_some();
                    let counts = alive.then(Counts::new);
                    self.send(
                        index,
                        STEP_MS,
                        Message::CountsCollected(window, peer.host, counts),
                    );
                }
                Effect::OrderLoad(load, _, permit) => self.order(index, load, permit),
                Effect::ReportUsage(window, counts, permit) => {
                    let entry = (index, permit.fence.0, counts);
                    self.reports.entry(window).or_default().push(entry);
                    let ended = Message::ReportEnded(window, ReportEnd::Accepted);
                    self.send(index, STEP_MS, ended);
                }
                Effect::SetSource(source) => self.nodes[index].source = source,
                Effect::Publish(_)
                | Effect::StopAccepting
                | Effect::Drained
                | Effect::SetRelays(_)
                | Effect::MoveRun(_)
                | Effect::Log(..) => {}
            }
        }
    }

    /// Accepts an order whose permit is still valid.
    fn order(&mut self, index: usize, load: Load, permit: Permit) {
        if permit.allows(Time(self.now)) {
            self.orders.push((index, permit.fence.0, self.now));
        }
        let ended = Message::OrderEnded(load.target, OrderEnd::Accepted);
        self.send(index, STEP_MS, ended);
    }

    /// Runs a generation. The text of each event is the software version of the target.
    fn generate(&mut self, index: usize, run: &RunRequest) {
        let starts = self.starts.entry(run.item.id.clone()).or_default();
        starts.push(self.now);
        self.arrive(index, &run.target);
        let target = run.target.name.clone();
        self.nodes[index].runs.insert(run.id, target);
        let mut partial = run.partial.clone();
        if partial.events == 0 {
            partial.software = Some(run.target.software.clone());
        }
        let interval = self.generation_ms / GENERATION_EVENTS;
        let first_attempt = self.starts[&run.item.id].len() == 1;
        let last = match self.break_after {
            Some(events) if first_attempt => events,
            _ => GENERATION_EVENTS,
        };
        let begun = partial.events;
        while partial.events < last {
            let next = partial.events + 1;
            let text = run.target.software.as_str();
            run.versions.push(&mut partial, next, 1, text).unwrap();
            let progress = Message::RunProgress(run.id, partial.clone());
            self.send(index, (next - begun) * interval, progress);
        }
        let end = match last {
            GENERATION_EVENTS => RunEnd::Complete,
            _ => RunEnd::Broken("the target closed the stream".to_owned()),
        };
        let delay = (last - begun) * interval;
        self.send(index, delay, Message::RunEnded(run.id, end, partial));
    }

    /// Replaces the targets by ones with these software versions, which have names of their own if
    /// they are `later`.
    pub fn set_targets(&mut self, later: bool, software: &[&str]) {
        let first = if later { 4 } else { 0 };
        let entry = |(index, software): (usize, &&str)| TargetEntry {
            software: SoftwareVersion::from(*software),
            ..target(first + index)
        };
        self.targets = software.iter().enumerate().map(entry).collect();
        for index in 0..self.nodes.len() {
            let targets = self
                .targets
                .iter()
                .cloned()
                .map(WatchedObject::Target)
                .collect();
            let listing = Message::Listing(Kind::Targets, targets);
            self.send(index, STORE_LATENCY_MS, listing);
        }
    }

    /// Returns the texts of the results in the store.
    pub fn texts(&self) -> Vec<Arc<str>> {
        let pages = self.store.values().filter_map(|(_, record)| match record {
            Record::Page(page) => Some(page),
            _ => None,
        });
        let outcomes = pages.flat_map(|page| &page.outcomes);
        outcomes.map(|outcome| outcome.text.clone()).collect()
    }

    fn load(&self, index: usize) -> BTreeMap<TargetName, u32> {
        let mut load = BTreeMap::new();
        for target in self.nodes[index].runs.values() {
            *load.entry(target.clone()).or_default() += 1;
        }
        load
    }

    fn pong(&self, name: &HostName) -> Option<Pong> {
        let index = (0..self.nodes.len()).find(|i| host(*i) == *name)?;
        let node = &self.nodes[index];
        let alive = node.gateway.is_some() && !node.frozen;
        let incarnation = u64::try_from(index).unwrap() * 1_000 + node.incarnation;
        let unavailable = node.fault == StoreFault::Unavailable;
        alive.then(|| Pong {
            incarnation: Incarnation(incarnation),
            silence: if unavailable { 60_000 } else { 0 },
            load: self.load(index),
        })
    }

    fn call_store(&mut self, index: usize, call: StoreCall) -> Result<Answer, ObjectError> {
        match self.nodes[index].fault {
            StoreFault::None => self.apply(call),
            StoreFault::Unavailable => Err(ObjectError::Unavailable("unavailable".into())),
            StoreFault::AnswerLost => {
                let _ = self.apply(call);
                Err(ObjectError::Unknown("lost".into()))
            }
            StoreFault::Delayed => {
                self.delayed.push((self.now + 3_000, call));
                Err(ObjectError::Unknown("delayed".into()))
            }
        }
    }

    fn apply(&mut self, call: StoreCall) -> Result<Answer, ObjectError> {
        let conflict = |revision: u64| Err(ObjectError::Conflict(Some(Revision(revision))));
        match call {
            StoreCall::Get(kind, name) => {
                let found = self.store.get(&(kind, name));
                Ok(Answer::Found(
                    found.map(|(at, record)| (Revision(*at), record.clone())),
                ))
            }
            StoreCall::Create(kind, name, record) => match self.store.get(&(kind, name.clone())) {
                Some((at, _)) => conflict(*at),
                None => self.put(kind, name, record),
            },
            StoreCall::Update(kind, name, record, revision) => {
                match self.store.get(&(kind, name.clone())) {
                    Some((at, _)) if *at == revision.0 => self.put(kind, name, record),
                    Some((at, _)) => conflict(*at),
                    None => Err(ObjectError::Conflict(None)),
                }
            }
            StoreCall::Delete(kind, name) => {
                self.store.remove(&(kind, name.clone()));
                let gone = match kind {
                    Kind::Heads => Some(WatchedObject::HeadGone(BatchId::from(name.as_ref()))),
                    Kind::Limits => Some(WatchedObject::LimitGone(TargetName::from(name.as_ref()))),
                    _ => None,
                };
                if let Some(gone) = gone {
                    for index in 0..self.nodes.len() {
                        self.send(index, STORE_LATENCY_MS, Message::Changed(gone.clone()));
                    }
                }
                Ok(Answer::Written(Revision(0)))
            }
        }
    }

    fn put(&mut self, kind: Kind, name: Arc<str>, record: Record) -> Result<Answer, ObjectError> {
        self.revision += 1;
        let revision = self.revision;
        let view = view(kind, &name, revision, &record);
        self.store.insert((kind, name), (revision, record));
        for index in 0..self.nodes.len() {
            if self.nodes[index].fault != StoreFault::Unavailable {
                let view = view.clone();
                let delay = STORE_LATENCY_MS + self.nodes[index].watch_lag;
                if let Some(view) = view {
                    self.send(index, delay, Message::Changed(view));
                }
            }
        }
        Ok(Answer::Written(Revision(revision)))
    }

    /// Sends all heads and peers to a gateway again, as a watch does after an interruption.
    pub fn relist(&mut self, index: usize) {
        for kind in [Kind::Heads, Kind::Peers] {
            let views = self.views(kind);
            self.send(index, STORE_LATENCY_MS, Message::Listing(kind, views));
        }
    }

    fn views(&self, kind: Kind) -> Vec<WatchedObject> {
        let objects = self.store.iter().filter(|((of, _), _)| *of == kind);
        objects
            .filter_map(|((_, name), (at, record))| view(kind, name, *at, record))
            .collect()
    }

    fn send(&mut self, index: usize, delay: u64, message: Message) {
        if self.nodes[index].gateway.is_some() {
            self.nodes[index].inbox.push((self.now + delay, message));
        }
    }
}

fn view(kind: Kind, name: &str, revision: u64, record: &Record) -> Option<WatchedObject> {
    match record {
        Record::Head(head) => Some(WatchedObject::Head(
            BatchId::from(name),
            Revision(revision),
            head.clone(),
        )),
        Record::Peer(peer) => Some(WatchedObject::Peer(peer.clone())),
        Record::Software(record) if kind == Kind::Software => {
            let pool = PoolName::from(name);
            let software = record.software.clone();
            Some(WatchedObject::Software(pool, Revision(revision), software))
        }
        Record::Limit(limit) => Some(WatchedObject::Limit(TargetName::from(name), *limit)),
        _ => None,
    }
}

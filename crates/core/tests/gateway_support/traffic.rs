//! Requests between gateways, to targets and from callers in the simulation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use sardinepath_core::decision::batch::RunEnd;
use sardinepath_core::decision::batch::RunId;
use sardinepath_core::decision::directory::CallEnd;
use sardinepath_core::decision::directory::Choice;
use sardinepath_core::decision::gateway::message::CallId;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::gateway::message::RunRequest;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::Record;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::decision::permit::PermitRequest;
use sardinepath_core::domain::batch::PartialText;
use sardinepath_core::domain::fleet::TargetEntry;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::limit::LimitStatement;
use sardinepath_core::domain::limit::RequestLimit;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::SoftwareVersion;
use sardinepath_core::domain::name::TargetName;

use crate::gateway_support::STEP_MS;
use crate::gateway_support::STORE_LATENCY_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::fixtures::address;
use crate::gateway_support::fixtures::target;

/// Timeout of a request for permits in milliseconds.
const PERMIT_TIMEOUT_MS: u64 = 240;

/// Number of events in a generation.
pub const GENERATION_EVENTS: u64 = 10;

/// Number of times that a gateway asks for the target of a plain request before it refuses it.
const PLAIN_TRIES: u32 = 4;

/// Request of a gateway to another one for permits.
pub(super) struct PermitCall {
    asker: usize,
    granter: usize,
    call: CallId,
    request: PermitRequest,
    timeout: u64,
}

impl Simulation {
    /// Tells a gateway that a job has ended, unless one of the two is cut off.
    pub(super) fn tell_ended(
        &mut self,
        teller: usize,
        runner: SocketAddr,
        id: BatchId,
        revision: Revision,
    ) {
        let runner = (0..self.nodes.len()).find(|i| address(*i) == runner);
        let runner = runner.filter(|i| !self.nodes[teller].cut && !self.nodes[*i].cut);
        if let Some(runner) = runner {
            self.next_call += 1;
            let question = Question::JobEnded(id, revision);
            self.send(
                runner,
                STEP_MS,
                Message::Ask(CallId(self.next_call), question),
            );
        }
    }

    /// Passes a request for permits on to the granter, which does not get it if it is cut off.
    pub(super) fn ask_permits(
        &mut self,
        asker: usize,
        granter: SocketAddr,
        request: PermitRequest,
    ) {
        let granter = (0..self.nodes.len())
            .find(|i| address(*i) == granter)
            .unwrap();
        let reachable = !self.nodes[asker].cut && !self.nodes[granter].cut;
        self.next_call += 1;
        let call = CallId(self.next_call);
        if reachable {
            let message = Message::Ask(call, Question::GrantPermits(request.clone()));
            self.send(granter, STEP_MS, message);
        }
        self.permit_calls.push(PermitCall {
            asker,
            granter,
            call,
            request,
            timeout: self.now + PERMIT_TIMEOUT_MS,
        });
    }

    /// Passes the answers to requests for permits on to the askers.
    pub(super) fn answer_permits(&mut self) {
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
            let message = Message::PermitsAnswered(ask.request, granter, grant);
            self.send(ask.asker, 0, message);
        }
    }

    /// Asks for the target of a plain request if the next one is due.
    pub(super) fn ask_plain(&mut self, index: usize) {
        let due = self.plain_interval.is_some_and(|interval| {
            let offset = u64::try_from(index).unwrap() * STEP_MS;
            (self.now + offset) % interval < STEP_MS
        });
        if due && self.nodes[index].gateway.is_some() {
            self.choose_plain(index, PLAIN_TRIES);
        }
    }

    /// Asks for the target of a plain request that may be asked for so many times.
    fn choose_plain(&mut self, index: usize, tries: u32) {
        let question = Question::ChooseTarget {
            pool: PoolName::from("engines"),
            request: None,
            tried: Vec::new(),
            software: None,
            homes: None,
        };
        let call = self.ask(index, question);
        self.nodes[index].plain_calls.push((call, tries));
    }

    /// Sends the plain requests whose target was chosen.
    pub(super) fn send_plain(&mut self, index: usize) {
        for (call, tries) in std::mem::take(&mut self.nodes[index].plain_calls) {
            match self.nodes[index].replies.remove(&call) {
                Some(Reply::Target(choice)) => {
                    self.arrive(index, &choice);
                    let ended = Message::RequestEnded(choice.name, CallEnd::Answered);
                    self.send(index, STEP_MS, ended);
                    self.plain_served += 1;
                }
                Some(_) if tries > 1 => self.choose_plain(index, tries - 1),
                Some(_) => self.plain_refused += 1,
                None => self.nodes[index].plain_calls.push((call, tries)),
            }
        }
    }

    /// Records a request at a target, whose answer states the request limit of the target.
    pub(super) fn arrive(&mut self, index: usize, choice: &Choice) {
        self.arrivals.push((self.now, choice.name.clone()));
        self.senders.push(index);
        self.arrive_leaving(index, choice);
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

    /// Runs a generation. The text of each event is the software version of the target.
    pub(super) fn generate(&mut self, index: usize, run: &RunRequest) {
        let starts = self.starts.entry(run.item.id.clone()).or_default();
        starts.push(self.now);
        self.begun.insert(run.item.id.clone(), run.partial.events);
        self.arrive(index, &run.target);
        self.places.generated.push(run.target.name.clone());
        let target = run.target.name.clone();
        self.nodes[index].runs.insert(run.id, target);
        let mut partial = run.partial.clone();
        let forced = self.failing_items.get(&run.item.id).cloned();
        if let Some(end) = forced.or(self.failing.then_some(RunEnd::Failed)) {
            let ended = Message::RunEnded(run.id, end, partial);
            self.send(index, STEP_MS, ended);
            return;
        }
        if partial.events == 0 {
            partial.software = Some(run.target.software.clone());
        }
        let speed = self.speeds.get(&run.target.name).copied().unwrap_or(1.0);
        let interval = slowed(self.generation_ms, speed) / GENERATION_EVENTS;
        let generation = (self.now, interval, run.clone());
        self.generations.insert((index, run.id), generation);
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

    /// Breaks all generations of a gateway.
    pub fn break_runs(&mut self, index: usize) {
        let runs: Vec<RunId> = self.nodes[index].runs.keys().copied().collect();
        for run in runs {
            let end = RunEnd::Broken("the target closed the stream".to_owned());
            let ended = Message::RunEnded(run, end, PartialText::default());
            self.send(index, STEP_MS, ended);
        }
    }

    /// Ends a generation whose item another target continues.
    pub(super) fn move_run(&mut self, index: usize, id: RunId) {
        let Some((start, interval, run)) = self.generations.remove(&(index, id)) else {
            return;
        };
        let mut partial = run.partial.clone();
        partial.software.get_or_insert(run.target.software.clone());
        let events = (self.now - start) / interval;
        for _ in 0..events.min(GENERATION_EVENTS - 1 - partial.events) {
            let next = partial.events + 1;
            let text = run.target.software.as_str();
            run.versions.push(&mut partial, next, 1, text).unwrap();
        }
        self.send(index, 0, Message::RunEnded(id, RunEnd::Moved, partial));
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

    /// Sends a gateway a listing without a target, as the watch does when it has contact again.
    pub fn list_without(&mut self, index: usize, target: &str) {
        self.message(index, Message::WatchContact(Kind::Targets, true));
        let left = self.targets.iter().filter(|e| e.name.as_str() != target);
        let views = left.cloned().map(WatchedObject::Target).collect();
        self.message(index, Message::Listing(Kind::Targets, views));
    }

    /// Registers a target again, as a run that started at another time or under another state.
    pub fn register(&mut self, target: &str, change: impl Fn(&mut TargetEntry)) {
        let name = TargetName::from(target);
        let Some(entry) = self.targets.iter_mut().find(|entry| entry.name == name) else {
            panic!("no target {target}");
        };
        let before = entry.started_at;
        change(entry);
        let entry = entry.clone();
        if entry.started_at > before {
            self.leaving.targets.remove(&name);
            self.forget_leaving(|_, target| *target == name);
        }
        self.publish_entry(&entry);
    }

    /// Registers a run of a target that has served for some time already.
    pub fn announce_run(&mut self, target: &str, started_at: u64) {
        let mut targets = self.targets.iter_mut();
        let entry = targets.find(|entry| entry.name.as_str() == target).unwrap();
        entry.started_at = started_at;
        let entry = entry.clone();
        self.publish_entry(&entry);
    }

    fn publish_entry(&mut self, entry: &TargetEntry) {
        for index in 0..self.nodes.len() {
            let changed = Message::Changed(WatchedObject::Target(entry.clone()));
            self.send(index, STORE_LATENCY_MS, changed);
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

    /// Returns the number of requests that a gateway runs at targets.
    pub fn running(&self, index: usize) -> u32 {
        u32::try_from(self.nodes[index].runs.len()).unwrap()
    }

    pub(super) fn load(&self, index: usize) -> BTreeMap<TargetName, u32> {
        let mut load = BTreeMap::new();
        for target in self.nodes[index].runs.values() {
            *load.entry(target.clone()).or_default() += 1;
        }
        load
    }
}

/// Returns a duration at a target that is slower by a factor.
fn slowed(millis: u64, factor: f64) -> u64 {
    let percent = (factor * 100.0).round() as u64;
    millis * percent / 100
}

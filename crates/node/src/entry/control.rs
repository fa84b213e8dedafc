//! The control thread of an entry, which owns all mutable control state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use sardinepath_adapters::event::emit;
use sardinepath_adapters::panic::survive;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::Merge;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::decision::process::TimerPanics;
use sardinepath_core::decision::process::TimerStep;
use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::host::HostEntry;
use slotmap::SecondaryMap;

use crate::entry::duty::Duties;
use crate::entry::duty::DutyMessage;
use crate::entry::member::Membership;
use crate::entry::peer::Distribution;
use crate::entry::peer::PeerMessage;
use crate::entry::reports::ReportStreams;
use crate::entry::request::Decision;
use crate::entry::request::RequestMessage;
use crate::entry::snapshot::SharedSnapshot;
use crate::entry::snapshot::Snapshot;
use crate::entry::step::StepMessage;
use crate::entry::step::Steps;
use crate::entry::watch::WatchMessage;

/// Minimum time between two runs of the timers of the control state.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Message to the control thread of an entry.
#[derive(Debug)]
pub enum Message {
    /// Admission, retry or end of a request.
    Request(RequestMessage),
    /// Report of a target.
    Report(Report),
    /// Result of reading the configuration.
    Watch(WatchMessage),
    /// Hosts that the platform lists.
    Hosts(Vec<HostEntry>),
    /// Message from or about another entry, or an answer of the platform.
    Peer(PeerMessage),
    /// Result of a call of the duties, or a request to them.
    Duty(DutyMessage),
    /// Post, poll or progress of a trainer's step.
    Step(StepMessage),
    /// Ends the control thread.
    Stop,
}

impl From<RequestMessage> for Message {
    fn from(message: RequestMessage) -> Self {
        Self::Request(message)
    }
}

impl From<Report> for Message {
    fn from(report: Report) -> Self {
        Self::Report(report)
    }
}

impl From<WatchMessage> for Message {
    fn from(message: WatchMessage) -> Self {
        Self::Watch(message)
    }
}

impl From<Vec<HostEntry>> for Message {
    fn from(hosts: Vec<HostEntry>) -> Self {
        Self::Hosts(hosts)
    }
}

impl From<PeerMessage> for Message {
    fn from(message: PeerMessage) -> Self {
        Self::Peer(message)
    }
}

impl From<DutyMessage> for Message {
    fn from(message: DutyMessage) -> Self {
        Self::Duty(message)
    }
}

impl From<StepMessage> for Message {
    fn from(message: StepMessage) -> Self {
        Self::Step(message)
    }
}

/// State of the control thread.
pub struct Control {
    clock: Arc<dyn Clock>,
    snapshot: SharedSnapshot,
    config: Arc<Config>,
    traffic: Traffic,
    decisions: SecondaryMap<TicketKey, Sender<Decision>>,
    streams: ReportStreams,
    distribution: Distribution,
    duties: Duties,
    /// Steps of trainers, or none if the entry runs no steps.
    steps: Option<Steps>,
    members: Membership,
    last_tick: Time,
}

/// Whether the message loop continues.
enum Flow {
    Continue,
    Stop,
}

impl Control {
    /// Creates the state of an entry that has no configuration yet and runs no steps.
    pub fn new(
        clock: Arc<dyn Clock>,
        snapshot: SharedSnapshot,
        streams: ReportStreams,
        traffic: Traffic,
        distribution: Distribution,
        duties: Duties,
        members: Membership,
    ) -> Self {
        Self {
            clock,
            snapshot,
            config: Arc::default(),
            traffic,
            decisions: SecondaryMap::new(),
            streams,
            distribution,
            duties,
            steps: None,
            members,
            last_tick: Time(0),
        }
    }

    /// Returns the state with the steps of trainers.
    pub fn with_steps(self, steps: Steps) -> Self {
        let steps = Some(steps);
        Self { steps, ..self }
    }

    /// Handles messages and timers until the process stops. A panic ends the message or timer in which
    /// it happens, and its caller finds its reply channel closed.
    pub fn run(mut self, queue: &Receiver<Message>) {
        let mut panics = TimerPanics::default();
        loop {
            let flow = match queue.recv_timeout(TICK_INTERVAL) {
                Ok(message) => survive(|| self.handle(message)).unwrap_or(Flow::Continue),
                Err(RecvTimeoutError::Timeout) => Flow::Continue,
                Err(RecvTimeoutError::Disconnected) => Flow::Stop,
            };
            let ticked = survive(|| {
                self.tick(queue);
                self.execute_actions();
            });
            let step = panics.record(ticked.is_err());
            if matches!(flow, Flow::Stop) || step == TimerStep::GiveUp {
                return;
            }
        }
    }

    fn handle(&mut self, message: Message) -> Flow {
        let now = self.clock.now();
        match message {
            Message::Request(message) => self.handle_request(now, message),
            Message::Report(report) => {
                let report = self.members.correct(report);
                self.duties.add_report(now, &report);
                self.traffic.handle_report(now, report);
            }
            Message::Watch(message) => self.handle_watch(now, message),
            Message::Duty(message) => self.duties.handle(now, &self.config, message),
            Message::Hosts(hosts) => {
                self.members.update_hosts(now, &hosts);
                self.last_tick = Time(0);
            }
            Message::Peer(message) => {
                self.members.observe(now, &message);
                if let Some(update) = self.distribution.handle(now, message) {
                    self.merge(update.teams, update.complete);
                }
                self.last_tick = Time(0);
            }
            Message::Step(message) => {
                if let Some(steps) = &mut self.steps {
                    steps.handle(now, &self.config, message);
                }
            }
            Message::Stop => return Flow::Stop,
        }
        Flow::Continue
    }

    fn handle_request(&mut self, now: Time, message: RequestMessage) {
        match message {
            RequestMessage::Admit { request, decisions } => {
                let ticket = self.traffic.admit(now, request);
                self.decisions.insert(ticket, decisions);
            }
            RequestMessage::Retry { ticket, failure } => self.traffic.retry(now, ticket, failure),
            RequestMessage::Ended {
                ticket,
                outcome,
                counter,
            } => {
                self.duties.add_counter(counter.as_ref());
                self.traffic.finish(now, ticket, &outcome);
                self.decisions.remove(ticket);
            }
        }
    }

    fn handle_watch(&mut self, now: Time, message: WatchMessage) {
        match message {
            WatchMessage::Changed { teams, revision } => self.merge(teams, Some(revision)),
            WatchMessage::Listed {
                teams,
                unreadable,
                revision,
                sent_at,
            } => {
                // Contact and configuration are applied together, so that an entry is never ready
                // without its keys and never trusts old keys because of a newer contact.
                let answered = PeerMessage::PlatformAnswered(sent_at);
                self.distribution.handle(now, answered);
                let mut config = Config::clone(&self.config);
                config.merge_listing(teams, &unreadable, revision);
                self.apply_config(config, Some(revision));
            }
        }
    }

    /// Merges newer team states into the configuration. `complete` is the revision up to which no
    /// change is missing.
    fn merge(&mut self, teams: Vec<(TeamName, TeamState)>, complete: Option<Revision>) {
        if teams.is_empty() && complete.is_some_and(|r| r <= self.config.revision()) {
            // A node that already holds newer teams is also complete up to the older revision.
            self.distribution.applied(complete.unwrap_or_default());
            return;
        }
        let mut config = Config::clone(&self.config);
        for (team, state) in teams {
            if config.merge(team.clone(), state) == Merge::Outdated {
                emit(Event::TreeKnown, &[("team", &team)]);
            }
        }
        self.apply_config(config, complete);
    }

    /// Applies a configuration to all parts of the control state and publishes it.
    fn apply_config(&mut self, mut config: Config, complete: Option<Revision>) {
        if let Some(revision) = complete {
            config.advance(revision);
        }
        self.config = Arc::new(config);
        self.streams.configure(&self.config);
        self.traffic
            .configure(self.clock.now(), self.config.clone());
        if let Some(revision) = complete {
            self.distribution.applied(revision);
        }
        self.publish(self.clock.now());
    }

    /// Runs the timers if they are due and publishes what they changed. It is called after each
    /// message, since under steady traffic waiting for a message never times out.
    fn tick(&mut self, queue: &Receiver<Message>) {
        let now = self.clock.now();
        // Without this limit, each request would cost a check of every entry.
        if now.since(self.last_tick) < TICK_INTERVAL {
            return;
        }
        self.last_tick = now;
        if let Some(entries) = self.members.tick(now) {
            self.set_entries(now, entries);
        }
        self.traffic.set_entries(self.members.live(now));
        self.traffic.tick(now);
        self.close_abandoned(now, queue);
        self.duties.tick(now, &self.config);
        if let Some(steps) = &mut self.steps {
            steps.tick(now);
        }
        let heartbeat = self.distribution.heartbeat(now);
        self.distribution.tick(now, heartbeat.revision);
        let old = self.snapshot.load();
        let ready = self.distribution.is_ready(now);
        let keys_until = self.distribution.keys_until();
        if (old.ready, old.keys_until, &old.heartbeat) != (ready, keys_until, &heartbeat) {
            drop(old);
            self.publish(now);
        }
    }

    /// Passes the other entries on to the parts that call them.
    fn set_entries(&mut self, now: Time, entries: Vec<(HostName, SocketAddr)>) {
        self.duties.set_entries(&entries);
        let hosts = entries.iter().map(|(host, _)| host.clone()).collect();
        self.streams.set_entries(hosts, &self.config);
        self.distribution
            .handle(now, PeerMessage::SetEntries(entries));
    }

    fn publish(&mut self, now: Time) {
        let heartbeat = self.distribution.heartbeat(now);
        let is_newer = heartbeat.revision > self.snapshot.load().heartbeat.revision;
        self.snapshot.store(Arc::new(Snapshot {
            config: self.config.clone(),
            ready: self.distribution.is_ready(now),
            keys_until: self.distribution.keys_until(),
            heartbeat,
        }));
        if is_newer {
            self.distribution.wake_streams();
        }
    }

    /// Sends the decisions that the last message or timer led to.
    fn execute_actions(&mut self) {
        while let Some(action) = self.traffic.next_action() {
            match action {
                Action::Grant(ticket, choice, delay) => {
                    let decision = Decision::Dispatch {
                        ticket,
                        choice,
                        delay,
                    };
                    self.send_decision(ticket, decision);
                }
                Action::Refuse(ticket, failure) => {
                    self.send_decision(ticket, Decision::Refused(failure));
                    self.decisions.remove(ticket);
                }
                Action::Revoke(ticket, failure) => {
                    self.send_decision(ticket, Decision::Revoked(failure))
                }
            }
        }
    }

    /// Closes the tickets of requests that were dropped before they read their decision. Any other
    /// request sends its end before it closes its channel, so an empty queue after the check of the
    /// channels proves that no such end is under way.
    fn close_abandoned(&mut self, now: Time, queue: &Receiver<Message>) {
        let dropped = |(ticket, sender): (TicketKey, &Sender<Decision>)| {
            sender.is_disconnected().then_some(ticket)
        };
        let dropped: Vec<_> = self.decisions.iter().filter_map(dropped).collect();
        if !queue.is_empty() {
            return;
        }
        for ticket in dropped {
            self.close(now, ticket);
        }
    }

    /// Closes the ticket of a dropped request as cancelled.
    fn close(&mut self, now: Time, ticket: TicketKey) {
        let failure = Failure::from(sardinepath_core::domain::error::ErrorKind::Cancelled);
        self.traffic.finish(now, ticket, &Outcome::Failed(failure));
        self.decisions.remove(ticket);
    }

    /// Sends a decision to its request. The ticket of a dropped request is closed.
    fn send_decision(&mut self, ticket: TicketKey, decision: Decision) {
        let Some(sender) = self.decisions.get(ticket) else {
            return;
        };
        if let Err(flume::TrySendError::Disconnected(_)) = sender.try_send(decision) {
            self.close(self.clock.now(), ticket);
        }
    }
}

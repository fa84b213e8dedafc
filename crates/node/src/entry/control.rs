//! The control thread of an entry. It owns all mutable control state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use sardinepath_adapters::event::emit;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::Merge;
use sardinepath_core::decision::config::TeamState;
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
use crate::entry::request::RequestMessage;
use crate::entry::request::Verdict;
use crate::entry::snapshot::Published;
use crate::entry::snapshot::Snapshot;
use crate::entry::step::StepMessage;
use crate::entry::step::Steps;
use crate::entry::watch::WatchMessage;

/// Interval of the timers of the control state.
const TICK: Duration = Duration::from_millis(100);

/// What the control thread is told.
#[derive(Debug)]
pub enum Message {
    /// A request asks, fails or ends.
    Request(RequestMessage),
    /// A target reported.
    Report(Report),
    /// The configuration was read.
    Watch(WatchMessage),
    /// The list of hosts was read.
    Hosts(Vec<HostEntry>),
    /// Another entry or the platform answered.
    Peer(PeerMessage),
    /// A result for the duties, or a question to them.
    Duty(DutyMessage),
    /// A step of a trainer is posted, polled or has progressed.
    Step(StepMessage),
    /// The process stops.
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
    snapshot: Published,
    config: Arc<Config>,
    traffic: Traffic,
    verdicts: SecondaryMap<TicketKey, Sender<Verdict>>,
    follow: ReportStreams,
    distribution: Distribution,
    duties: Duties,
    /// Steps of trainers. None at an entry without steps.
    steps: Option<Steps>,
    members: Membership,
    ticked: Time,
}

/// What the loop does next.
enum Step {
    Continue,
    Stop,
}

impl Control {
    /// Creates the state of a new entry.
    pub fn new(
        clock: Arc<dyn Clock>,
        snapshot: Published,
        follow: ReportStreams,
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
            verdicts: SecondaryMap::new(),
            follow,
            distribution,
            duties,
            steps: None,
            members,
            ticked: Time(0),
        }
    }

    /// Adds the steps of trainers.
    pub fn with_steps(self, steps: Steps) -> Self {
        let steps = Some(steps);
        Self { steps, ..self }
    }

    /// Handles messages and timers until the process stops.
    pub fn run(mut self, queue: &Receiver<Message>) {
        loop {
            let step = match queue.recv_timeout(TICK) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => Step::Continue,
                Err(RecvTimeoutError::Disconnected) => Step::Stop,
            };
            self.tick(queue);
            self.carry_out();
            if let Step::Stop = step {
                return;
            }
        }
    }

    fn handle(&mut self, message: Message) -> Step {
        let now = self.clock.now();
        match message {
            Message::Request(message) => self.request(now, message),
            Message::Report(report) => {
                let report = self.members.correct(report);
                self.duties.report(now, &report);
                self.traffic.report(now, report);
            }
            Message::Watch(message) => self.watched(now, message),
            Message::Duty(message) => self.duties.handle(now, &self.config, message),
            Message::Hosts(hosts) => {
                self.members.listed(now, &hosts);
                self.ticked = Time(0);
            }
            Message::Peer(message) => {
                self.members.told(now, &message);
                if let Some(update) = self.distribution.handle(now, message) {
                    self.merge(update.teams, update.complete);
                }
                self.ticked = Time(0);
            }
            Message::Step(message) => {
                if let Some(steps) = &mut self.steps {
                    steps.handle(now, &self.config, message);
                }
            }
            Message::Stop => return Step::Stop,
        }
        Step::Continue
    }

    fn request(&mut self, now: Time, message: RequestMessage) {
        match message {
            RequestMessage::Ask { ask, verdicts } => {
                let ticket = self.traffic.ask(now, ask);
                self.verdicts.insert(ticket, verdicts);
            }
            RequestMessage::Retry { ticket, failure } => self.traffic.retry(now, ticket, failure),
            RequestMessage::Ended {
                ticket,
                outcome,
                counter,
            } => {
                self.duties.count(counter.as_ref());
                self.traffic.ended(now, ticket, &outcome);
                self.verdicts.remove(ticket);
            }
        }
    }

    fn watched(&mut self, now: Time, message: WatchMessage) {
        match message {
            WatchMessage::Changed { teams, revision } => self.merge(teams, Some(revision)),
            WatchMessage::Listed {
                teams,
                unreadable,
                revision,
                asked,
            } => {
                // Contact and configuration come into force together, so that an entry is never
                // ready without its keys, and never trusts old keys because of a new contact.
                let answered = PeerMessage::PlatformAnswered(asked);
                self.distribution.handle(now, answered);
                let mut config = Config::clone(&self.config);
                config.merge_listing(teams, &unreadable, revision);
                self.put_in_force(config, Some(revision));
            }
        }
    }

    /// Merges newer team states. `complete` is the revision up to which nothing is missing.
    fn merge(&mut self, teams: Vec<(TeamName, TeamState)>, complete: Option<Revision>) {
        if teams.is_empty() && complete.is_some_and(|r| r <= self.config.revision()) {
            // A node that holds newer parts already is complete up to the older revision too.
            self.distribution.applied(complete.unwrap_or_default());
            return;
        }
        let mut config = Config::clone(&self.config);
        for (team, state) in teams {
            if config.merge(team.clone(), state) == Merge::Old {
                emit(Event::TreeKnown, &[("team", &team)]);
            }
        }
        self.put_in_force(config, complete);
    }

    /// Puts a configuration in force and publishes it.
    fn put_in_force(&mut self, mut config: Config, complete: Option<Revision>) {
        if let Some(revision) = complete {
            config.advance(revision);
        }
        self.config = Arc::new(config);
        self.follow.configure(&self.config);
        self.traffic
            .configure(self.clock.now(), self.config.clone());
        if let Some(revision) = complete {
            self.distribution.applied(revision);
        }
        self.publish(self.clock.now());
    }

    /// Runs the timers and publishes what they changed. Called after each message, since under
    /// steady traffic no wait for a message ends by itself.
    fn tick(&mut self, queue: &Receiver<Message>) {
        let now = self.clock.now();
        // Without this limit, each request would pay for a look at every entry.
        if now.since(self.ticked) < TICK {
            return;
        }
        self.ticked = now;
        if let Some(entries) = self.members.tick(now) {
            self.know(now, entries);
        }
        self.traffic.set_entries(self.members.live(now));
        self.traffic.tick(now);
        self.close_abandoned(now, queue);
        self.duties.tick(now, &self.config);
        if let Some(steps) = &mut self.steps {
            steps.tick(now);
        }
        let pulse = self.distribution.pulse(now);
        self.distribution.tick(now, pulse.revision);
        let old = self.snapshot.load();
        let ready = self.distribution.is_ready(now);
        let keys = self.distribution.keys_until();
        if (old.ready, old.keys, &old.pulse) != (ready, keys, &pulse) {
            drop(old);
            self.publish(now);
        }
    }

    /// Tells every part the other entries.
    fn know(&mut self, now: Time, entries: Vec<(HostName, SocketAddr)>) {
        self.duties.know(&entries);
        let hosts = entries.iter().map(|(host, _)| host.clone()).collect();
        self.follow.set_entries(hosts, &self.config);
        self.distribution.handle(now, PeerMessage::Know(entries));
    }

    fn publish(&mut self, now: Time) {
        let pulse = self.distribution.pulse(now);
        let risen = pulse.revision > self.snapshot.load().pulse.revision;
        self.snapshot.store(Arc::new(Snapshot {
            config: self.config.clone(),
            ready: self.distribution.is_ready(now),
            keys: self.distribution.keys_until(),
            pulse,
        }));
        if risen {
            self.distribution.wake_streams();
        }
    }

    /// Carries out the actions that the last message led to.
    fn carry_out(&mut self) {
        while let Some(action) = self.traffic.next_action() {
            match action {
                Action::Grant(ticket, choice, delay) => {
                    let verdict = Verdict::Go {
                        ticket,
                        choice,
                        delay,
                    };
                    self.tell(ticket, verdict);
                }
                Action::Refuse(ticket, failure) => {
                    self.tell(ticket, Verdict::Refused(failure));
                    self.verdicts.remove(ticket);
                }
                Action::Revoke(ticket, failure) => self.tell(ticket, Verdict::Revoked(failure)),
            }
        }
    }

    /// Closes the tickets of requests that have gone without reading their grant. A request that
    /// ends otherwise sends its end before it closes its channel, so after a look at the channels
    /// an empty queue proves that no such end is on its way.
    fn close_abandoned(&mut self, now: Time, queue: &Receiver<Message>) {
        let gone = |(ticket, sender): (TicketKey, &Sender<Verdict>)| {
            sender.is_disconnected().then_some(ticket)
        };
        let gone: Vec<_> = self.verdicts.iter().filter_map(gone).collect();
        if !queue.is_empty() {
            return;
        }
        for ticket in gone {
            self.close(now, ticket);
        }
    }

    /// Closes the ticket of a request that has gone.
    fn close(&mut self, now: Time, ticket: TicketKey) {
        let failure = Failure::from(sardinepath_core::domain::error::ErrorKind::Cancelled);
        self.traffic.ended(now, ticket, &Outcome::Failed(failure));
        self.verdicts.remove(ticket);
    }

    /// Tells a request its verdict. A request that has gone is closed.
    fn tell(&mut self, ticket: TicketKey, verdict: Verdict) {
        let Some(sender) = self.verdicts.get(ticket) else {
            return;
        };
        if let Err(flume::TrySendError::Disconnected(_)) = sender.try_send(verdict) {
            self.close(self.clock.now(), ticket);
        }
    }
}

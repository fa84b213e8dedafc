//! The control thread of an entry. It owns all mutable control state.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use sardinepath_adapters::event::emit;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::Merge;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::Ask;
use sardinepath_core::decision::traffic::Choice;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::clock::Clock;
use slotmap::SecondaryMap;

use crate::entry::reports::Follow;

/// Interval of the timers of the control state.
const TICK: Duration = Duration::from_millis(100);

/// What the control thread is told.
#[derive(Debug)]
pub enum Message {
    /// A request asks for admission and a target.
    Ask {
        /// The question.
        ask: Ask,
        /// Where the answers go.
        verdicts: Sender<Verdict>,
    },
    /// An attempt failed and may be repeated.
    Retry {
        /// The request.
        ticket: TicketKey,
        /// Why the attempt failed.
        failure: Failure,
    },
    /// A request ended.
    Ended {
        /// The request.
        ticket: TicketKey,
        /// How it ended.
        outcome: Outcome,
    },
    /// A target reported.
    Report(Report),
    /// Teams changed up to a revision.
    Changed {
        /// The changed teams.
        teams: Vec<(TeamName, TeamState)>,
        /// Revision up to which the changes are complete.
        revision: Revision,
    },
    /// The process stops.
    Stop,
}

/// What a request is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Go to a target after a delay.
    Go {
        /// Names the request at the control thread.
        ticket: TicketKey,
        /// The target.
        choice: Choice,
        /// Time to wait first.
        delay: Duration,
    },
    /// End with this failure.
    Refused(Failure),
    /// Stop what runs and end with this failure.
    Revoked(Failure),
}

/// What traffic threads read without asking.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Arc<Config>,
    /// True once a configuration was read.
    pub ready: bool,
}

/// The published snapshot.
pub type Published = Arc<ArcSwap<Snapshot>>;

/// Creates an empty snapshot.
pub fn new_snapshot() -> Published {
    Arc::new(ArcSwap::from_pointee(Snapshot::default()))
}

/// State of the control thread.
pub struct Control {
    clock: Arc<dyn Clock>,
    snapshot: Published,
    config: Arc<Config>,
    traffic: Traffic,
    verdicts: SecondaryMap<TicketKey, Sender<Verdict>>,
    follow: Follow,
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
        follow: Follow,
        traffic: Traffic,
    ) -> Self {
        Self {
            clock,
            snapshot,
            config: Arc::default(),
            traffic,
            verdicts: SecondaryMap::new(),
            follow,
        }
    }

    /// Handles messages and timers until the process stops.
    pub fn run(mut self, queue: &Receiver<Message>) {
        let mut next_tick = Instant::now() + TICK;
        loop {
            // A queue that is never empty must not hold up the timers.
            if Instant::now() >= next_tick {
                self.traffic.tick(self.clock.now());
                next_tick = Instant::now() + TICK;
            }
            let step = match queue.recv_deadline(next_tick) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => Step::Continue,
                Err(RecvTimeoutError::Disconnected) => Step::Stop,
            };
            self.carry_out();
            if let Step::Stop = step {
                return;
            }
        }
    }

    fn handle(&mut self, message: Message) -> Step {
        let now = self.clock.now();
        match message {
            Message::Ask { ask, verdicts } => {
                let ticket = self.traffic.ask(now, ask);
                self.verdicts.insert(ticket, verdicts);
            }
            Message::Retry { ticket, failure } => self.traffic.retry(now, ticket, failure),
            Message::Ended { ticket, outcome } => {
                self.traffic.ended(now, ticket, &outcome);
                self.verdicts.remove(ticket);
            }
            Message::Report(report) => self.traffic.report(now, report),
            Message::Changed { teams, revision } => self.configure(now, teams, revision),
            Message::Stop => return Step::Stop,
        }
        Step::Continue
    }

    /// Puts newer team states in force and publishes them.
    fn configure(&mut self, now: Time, teams: Vec<(TeamName, TeamState)>, revision: Revision) {
        let mut config = Config::clone(&self.config);
        for (team, state) in teams {
            if config.merge(team.clone(), state) == Merge::Old {
                emit(Event::TreeKnown, &[("team", &team)]);
            }
        }
        config.advance(revision);
        self.config = Arc::new(config);
        self.follow.configure(&self.config);
        self.traffic.configure(now, self.config.clone());
        self.snapshot.store(Arc::new(Snapshot {
            config: self.config.clone(),
            ready: true,
        }));
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

    /// Tells a request its verdict. A request that has gone is closed.
    fn tell(&mut self, ticket: TicketKey, verdict: Verdict) {
        let Some(sender) = self.verdicts.get(ticket) else {
            return;
        };
        if let Err(flume::TrySendError::Disconnected(_)) = sender.try_send(verdict) {
            let failure = Failure::from(sardinepath_core::domain::error::ErrorKind::Cancelled);
            let outcome = Outcome::Failed(failure);
            self.traffic.ended(self.clock.now(), ticket, &outcome);
            self.verdicts.remove(ticket);
        }
    }
}

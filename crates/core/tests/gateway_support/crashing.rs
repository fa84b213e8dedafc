//! A request that crashes each target that runs it, and comes again at any gateway.

use std::collections::BTreeMap;

use sardinepath_core::decision::directory::CallEnd;
use sardinepath_core::decision::directory::Choice;
use sardinepath_core::decision::gateway::message::CallId;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::domain::crash::Crash;
use sardinepath_core::domain::name::Fingerprint;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::TargetName;

use crate::gateway_support::STEP_MS;
use crate::gateway_support::Simulation;

/// Time in milliseconds within which all gateways in touch must know of a crash.
pub const CONTACT_MS: u64 = 3_000;

/// Number of targets that may run one attempt of a consumer.
const MAX_ATTEMPTS: usize = 3;

/// Number of times that a gateway asks for a target before it refuses an attempt.
const MAX_TRIES: u32 = 6;

/// Time in milliseconds after which a target crashes under the request.
const CRASH_MS: u64 = 100;

/// Time in milliseconds after which a crashed target starts anew.
const DOWN_MS: u64 = 3_000;

/// Attempt of a consumer at a gateway.
struct Attempt {
    gateway: usize,
    call: CallId,
    tried: Vec<TargetName>,
    tries: u32,
}

/// Crashing request, and what it has done.
#[derive(Default)]
pub struct Crashing {
    /// Interval in milliseconds at which the request comes, at the gateways in turn, or `None`.
    pub interval: Option<u64>,
    /// Time and gateway of each time that a target got the request.
    pub sent: Vec<(u64, usize)>,
    /// Time of each crash of a target.
    pub crashes: Vec<u64>,
    /// Number of attempts that were refused because of the quarantine.
    pub quarantined: usize,
    /// Whether each target crashes under each scoring request.
    pub scores: bool,
    /// Time at which each scoring request was sent.
    pub scored: Vec<u64>,
    attempts: Vec<Attempt>,
    /// Runs of targets that will crash, with the time of the crash and the attempt.
    running: Vec<(u64, Choice, Attempt)>,
    /// Targets that are down, with the time at which they start anew.
    down: BTreeMap<TargetName, u64>,
}

/// Returns the fingerprint of the request with this name.
pub fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::from(name)
}

impl Simulation {
    /// Sends the crashing request to a gateway.
    pub fn send_crashing(&mut self, gateway: usize) {
        self.choose_crashing(gateway, Vec::new(), MAX_TRIES);
    }

    /// Returns the number of times that a target got the request later than `CONTACT_MS` after the
    /// third crash, from gateways for which `counts` is true.
    pub fn late_sends(&self, counts: impl Fn(usize) -> bool) -> usize {
        let Some(third) = self.crashing.crashes.get(2) else {
            return 0;
        };
        let late = |(at, gateway): &&(u64, usize)| *at > third + CONTACT_MS && counts(*gateway);
        self.crashing.sent.iter().filter(late).count()
    }

    /// Advances the attempts and crashes of the request by one step.
    pub(super) fn step_crashing(&mut self) {
        let due = self.crashing.interval.filter(|i| self.now % i < STEP_MS);
        if let Some(interval) = due {
            let turn = usize::try_from(self.now / interval).unwrap();
            self.send_crashing(turn % self.nodes.len());
        }
        self.restart_targets();
        self.crash_targets();
        for attempt in std::mem::take(&mut self.crashing.attempts) {
            let replies = &mut self.nodes[attempt.gateway].replies;
            match replies.remove(&attempt.call) {
                Some(reply) => self.follow(attempt, reply),
                None => self.crashing.attempts.push(attempt),
            }
        }
    }

    fn choose_crashing(&mut self, gateway: usize, tried: Vec<TargetName>, tries: u32) {
        if self.nodes[gateway].gateway.is_none() || tries == 0 || tried.len() >= MAX_ATTEMPTS {
            return;
        }
        let question = Question::ChooseTarget {
            pool: PoolName::from("engines"),
            request: Some(fingerprint("crashing")),
            tried: tried.clone(),
            software: None,
            homes: None,
        };
        let call = self.ask(gateway, question);
        self.crashing.attempts.push(Attempt {
            gateway,
            call,
            tried,
            tries,
        });
    }

    fn follow(&mut self, mut attempt: Attempt, reply: Reply) {
        let gateway = attempt.gateway;
        match reply {
            Reply::Target(choice) if self.crashing.down.contains_key(&choice.name) => {
                let ended = Message::RequestEnded(choice.name, CallEnd::Failed);
                self.send(gateway, 0, ended);
                self.choose_crashing(gateway, attempt.tried, attempt.tries - 1);
            }
            Reply::Target(choice) => {
                self.crashing.sent.push((self.now, gateway));
                attempt.tried.push(choice.name.clone());
                let crash_at = self.now + CRASH_MS;
                self.crashing.running.push((crash_at, choice, attempt));
            }
            Reply::Quarantined(_) => self.crashing.quarantined += 1,
            _ => self.choose_crashing(gateway, attempt.tried, attempt.tries - 1),
        }
    }

    fn crash_targets(&mut self) {
        let now = self.now;
        let due = self.crashing.running.extract_if(.., |(at, ..)| *at <= now);
        for (_, choice, attempt) in due.collect::<Vec<_>>() {
            let restart = now + DOWN_MS;
            if self
                .crashing
                .down
                .insert(choice.name.clone(), restart)
                .is_none()
            {
                self.crashing.crashes.push(now);
            }
            let crash = Crash {
                request: fingerprint("crashing"),
                target: choice.name.clone(),
                started_at: choice.started_at,
                ordinal: 0,
            };
            self.send(attempt.gateway, 0, Message::TargetCrashed(crash));
            let ended = Message::RequestEnded(choice.name, CallEnd::Failed);
            self.send(attempt.gateway, 0, ended);
            self.choose_crashing(attempt.gateway, attempt.tried, attempt.tries);
        }
    }

    fn restart_targets(&mut self) {
        let now = self.now;
        let down = &mut self.crashing.down;
        let due: Vec<_> = down.extract_if(.., |_, at| *at <= now).collect();
        for (target, _) in due {
            let started_at = self.wall_time();
            self.register(target.as_str(), |entry| entry.started_at = started_at);
        }
    }
}

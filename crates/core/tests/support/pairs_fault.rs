//! The failures of a run.

use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_oneof;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::target::TargetEvent;

use crate::support::pairs::Message;
use crate::support::pairs::Receiver;
use crate::support::pairs::Simulation;
use crate::support::pairs::StreamId;
use crate::support::pairs_entry::Entry;
use crate::support::pairs_entry::Task;
use crate::support::pairs_fixture;

/// Time within which failures begin, in milliseconds.
const FAULT_PERIOD: u64 = 7_000;

/// Upper bound of the time between two failures in close succession, in milliseconds.
const MAX_CLOSE_GAP: u64 = 100;

/// Time for which a restarted agent or a crashed target accepts no connection, in milliseconds.
const DOWN_TIME: u64 = 1_000;

/// Upper bound of the delay of a message in milliseconds. Pings end a connection that is silent for
/// longer.
const MAX_DELAY: u64 = 3_900;

/// A failure and the time at which it begins, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub at: u64,
    pub kind: FaultKind,
}

/// The kinds of failures. The values are the number of an agent, workspace or request, or a time in
/// milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The next attempt is lost on its way.
    LoseAttempt,
    /// The answers of an agent that are on their way are lost.
    LoseAnswers(usize),
    /// The next attempt arrives late by this time.
    DelayAttempt(u64),
    /// The answers of an agent stall for this time.
    DelayAnswers(usize, u64),
    /// The next attempt arrives twice, the second copy late by this time.
    DuplicateAttempt(u64),
    /// The streams of the next two attempts are exchanged.
    CrossStreams,
    /// An agent restarts without its state.
    RestartAgent(usize),
    /// The entry restarts.
    RestartEntry,
    /// A target accepts no connection, so calls do not start.
    CrashBefore(usize),
    /// A target crashes while it runs requests.
    CrashDuring(usize),
    /// A target crashes after it ran a request and before the end of its answer.
    CrashAfter(usize),
    /// A target leaves, and its agent reports it.
    Leave(usize),
    /// A target leaves, and no further report of its agent arrives.
    LeaveUnreported(usize),
    /// The key of a workspace is withdrawn.
    WithdrawKey(usize),
    /// The current configuration arrives twice.
    DuplicateUpdate,
    /// The first configuration arrives again after newer ones, late by this time.
    LateUpdate(u64),
    /// The entry drains.
    Drain,
    /// The reports of an agent stop for this time.
    SilenceReports(usize, u64),
    /// The entry handles no message for this time.
    Pause(u64),
    /// The targets become so slow that deadlines pass.
    SlowTargets,
    /// The caller of a request hangs up.
    HangUp(usize),
}

/// A failure that affects the next attempt.
#[derive(Clone, Copy, Debug)]
pub enum AttemptFault {
    /// The attempt is lost.
    Lose,
    /// The attempt arrives late by this time.
    Delay(u64),
    /// A second copy of the attempt arrives late by this time.
    Duplicate(u64),
    /// The stream of the attempt is exchanged with that of the attempt after it.
    Cross,
    /// The stream of the attempt is exchanged with this one.
    CrossWith(StreamId),
}

/// Draws a failure.
fn fault() -> impl Strategy<Value = Fault> {
    (0..FAULT_PERIOD, kind()).prop_map(|(at, kind)| Fault { at, kind })
}

/// Draws two failures. In half of the pairs the second one follows the first in close succession.
pub fn fault_pair() -> impl Strategy<Value = [Fault; 2]> {
    let close = prop::option::of(0..MAX_CLOSE_GAP);
    (fault(), fault(), close).prop_map(|(first, second, close)| {
        let at = close.map_or(second.at, |after| first.at + after);
        [first, Fault { at, ..second }]
    })
}

fn kind() -> impl Strategy<Value = FaultKind> {
    let fixed = prop::sample::select(vec![
        FaultKind::LoseAttempt,
        FaultKind::CrossStreams,
        FaultKind::RestartEntry,
        FaultKind::DuplicateUpdate,
        FaultKind::Drain,
        FaultKind::SlowTargets,
    ]);
    prop_oneof![
        6 => fixed,
        1 => (0..MAX_DELAY).prop_map(FaultKind::DelayAttempt),
        1 => (0..MAX_DELAY).prop_map(FaultKind::DuplicateAttempt),
        1 => (0..MAX_DELAY).prop_map(FaultKind::LateUpdate),
        1 => (500..12_000_u64).prop_map(FaultKind::Pause),
        1 => (0..2_usize).prop_map(FaultKind::LoseAnswers),
        1 => (0..2_usize, 0..MAX_DELAY).prop_map(|(n, time)| FaultKind::DelayAnswers(n, time)),
        1 => (0..2_usize).prop_map(FaultKind::RestartAgent),
        1 => (0..2_usize).prop_map(FaultKind::CrashBefore),
        1 => (0..2_usize).prop_map(FaultKind::CrashDuring),
        1 => (0..2_usize).prop_map(FaultKind::CrashAfter),
        1 => (0..2_usize).prop_map(FaultKind::Leave),
        1 => (0..2_usize).prop_map(FaultKind::LeaveUnreported),
        2 => (0..2_usize).prop_map(FaultKind::WithdrawKey),
        1 => (0..2_usize, 1_000..12_000_u64)
            .prop_map(|(n, time)| FaultKind::SilenceReports(n, time)),
        1 => (0..crate::support::pairs::REQUEST_COUNT).prop_map(FaultKind::HangUp),
    ]
}

impl Simulation {
    /// Begins a failure.
    pub fn inject_fault(&mut self, kind: FaultKind) {
        let now = self.now;
        match kind {
            FaultKind::LoseAttempt => self.attempt_fault = Some(AttemptFault::Lose),
            FaultKind::DelayAttempt(time) => self.attempt_fault = Some(AttemptFault::Delay(time)),
            FaultKind::DuplicateAttempt(time) => {
                self.attempt_fault = Some(AttemptFault::Duplicate(time))
            }
            FaultKind::CrossStreams => self.attempt_fault = Some(AttemptFault::Cross),
            FaultKind::LoseAnswers(agent) => self.lose_answers(agent),
            FaultKind::DelayAnswers(agent, time) => {
                for stream in self.streams(agent) {
                    self.stalled_streams.insert(stream, now + time);
                }
            }
            FaultKind::RestartAgent(agent) => self.restart_agent(agent),
            FaultKind::RestartEntry => self.restart_entry(),
            FaultKind::CrashBefore(agent) => self.agents[agent].outage_until = now + DOWN_TIME,
            FaultKind::CrashDuring(agent) => self.crash_target(agent),
            FaultKind::CrashAfter(agent) => self.truncate_next = Some(agent),
            FaultKind::Leave(agent) => {
                self.leave_target(agent);
                self.send_report(agent);
            }
            FaultKind::LeaveUnreported(agent) => {
                self.leave_target(agent);
                self.agents[agent].silent_until = u64::MAX;
            }
            FaultKind::WithdrawKey(workspace) => {
                self.withdraw_key(pairs_fixture::WORKSPACES[workspace])
            }
            FaultKind::DuplicateUpdate => self.repeat_update(self.configs.len() - 1, 1),
            FaultKind::LateUpdate(time) => self.repeat_update(0, time),
            FaultKind::Drain => self.entry.draining = true,
            FaultKind::SilenceReports(agent, time) => {
                let until = &mut self.agents[agent].silent_until;
                *until = (*until).max(now + time);
            }
            FaultKind::Pause(time) => {
                self.entry.paused_until = self.entry.paused_until.max(now + time);
            }
            FaultKind::SlowTargets => self.callers.iter_mut().for_each(|c| c.part_time = 5_000),
            FaultKind::HangUp(request) => self.hang_up(request),
        }
    }

    /// Returns `true` if a message to the entry's control state is on its way.
    pub fn is_control_busy(&self) -> bool {
        let channel = (0, 0, self.entry.incarnation);
        self.channels
            .get(&channel)
            .is_some_and(|at| *at >= self.now)
    }

    /// Returns the open streams of the entry to an agent.
    fn streams(&self, agent: usize) -> Vec<StreamId> {
        let streams = self.tasks.iter().enumerate();
        let streams = streams.filter_map(|(request, task)| match task {
            Task::Running(running, _, _, at) if *at == agent => {
                Some((request, running.attempt().0))
            }
            _ => None,
        });
        streams.collect()
    }

    fn lose_answers(&mut self, agent: usize) {
        for stream in self.streams(agent) {
            self.lose_stream(stream, attempt_of(stream));
        }
    }

    /// Restarts an agent. Its connections break, and messages on their way to it are lost.
    fn restart_agent(&mut self, agent: usize) {
        for stream in self.streams(agent) {
            let event = CallEvent::Failed(Failure::from(ErrorKind::AgentLost));
            let after = self.latency();
            let message = Message::Event(stream, attempt_of(stream), event);
            self.send(Receiver::Entry(self.entry.incarnation), after, message);
        }
        self.agents[agent].restart(self.now + DOWN_TIME);
        // The restart of an agent puts its target back into service.
        self.observed.departures.remove(&agent);
        self.agents[agent].silent_until = 0;
    }

    /// Restarts the entry. Callers lose their connections, and agents cancel the attempts.
    fn restart_entry(&mut self) {
        for agent in 0..self.agents.len() {
            for stream in self.streams(agent) {
                self.cancel_attempt(agent, stream);
            }
        }
        for (request, task) in self.tasks.iter_mut().enumerate() {
            if !matches!(task, Task::NotArrived | Task::Done) {
                self.callers[request].disconnected = true;
                *task = Task::Done;
            }
        }
        self.entry = Entry::new(self.entry.incarnation + 1, self.now);
        self.send(
            Receiver::Entry(self.entry.incarnation),
            0,
            Message::EntryTick,
        );
    }

    fn crash_target(&mut self, agent: usize) {
        self.agents[agent].outage_until = self.now + DOWN_TIME;
        let runs: Vec<_> = self.agents[agent].runs.keys().copied().collect();
        let receiver = Receiver::Agent(agent, self.agents[agent].incarnation);
        for run in runs {
            let event = TargetEvent::Failed(Failure::from(ErrorKind::TargetFailed));
            self.send(receiver, 0, Message::TargetEvent(agent, run, event));
        }
    }

    fn leave_target(&mut self, agent: usize) {
        self.agents[agent].state.drain();
        self.observed.departures.insert(agent, self.now);
    }

    fn withdraw_key(&mut self, workspace: &'static str) {
        self.withdrawn.push(workspace);
        self.observed
            .accepted_withdrawals
            .entry(workspace)
            .or_insert(self.now);
        let revision = self.configs.len() as u64 + 1;
        let config = pairs_fixture::config(revision, &self.withdrawn);
        self.configs.push(config);
        // A pending watch answers at once.
        let message = Message::WatchAnswer(Time(self.now), Revision(revision));
        let after = self.latency();
        self.send(Receiver::Entry(self.entry.incarnation), after, message);
    }

    /// Delivers an accepted configuration again.
    fn repeat_update(&mut self, number: usize, after: u64) {
        let (revision, _) = self.configs[number];
        let message = Message::Update(revision);
        self.send(Receiver::Entry(self.entry.incarnation), after, message);
    }
}

/// Returns the request and attempt that belong to a stream.
fn attempt_of(stream: StreamId) -> (RequestId, Attempt) {
    (RequestId(stream.0 as u128), Attempt(stream.1))
}

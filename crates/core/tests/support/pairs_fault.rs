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
use crate::support::pairs::Place;
use crate::support::pairs::StreamId;
use crate::support::pairs::World;
use crate::support::pairs_entry::Entry;
use crate::support::pairs_entry::Task;
use crate::support::pairs_fixture;

/// Time in which failures begin, in milliseconds.
const FAULTS: u64 = 7_000;

/// Longest time between two failures that follow closely on each other, in milliseconds.
const CLOSE: u64 = 100;

/// Time for which a restarted process or a crashed target takes no connection, in milliseconds.
const DOWN: u64 = 1_000;

/// Longest delay of a message in milliseconds. Pings end a connection that is silent for longer.
const DELAY: u64 = 3_900;

/// One failure and the time at which it begins.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub at: u64,
    pub kind: Kind,
}

/// The kinds of failures. A number is an agent, a workspace, a request or a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The next attempt is lost on its way.
    LoseExecute,
    /// The answers of an agent that are on their way are lost.
    LoseAnswers(usize),
    /// The next attempt is late.
    DelayExecute(u64),
    /// The answers of an agent stall.
    DelayAnswers(usize, u64),
    /// The next attempt arrives twice.
    DoubleExecute(u64),
    /// The streams of the next two attempts are exchanged.
    CrossStreams,
    /// An agent restarts and has lost its memory.
    RestartAgent(usize),
    /// The entry restarts.
    RestartEntry,
    /// A target takes no connection, so calls do not start.
    CrashBefore(usize),
    /// A target crashes with all that it runs.
    CrashDuring(usize),
    /// A target crashes after it ran a request and before the end of its answer.
    CrashAfter(usize),
    /// A target leaves and its agent reports it.
    Leave(usize),
    /// A target leaves, and the report does not arrive.
    LeaveUnreported(usize),
    /// The key of a workspace is withdrawn.
    Withdraw(usize),
    /// A configuration arrives twice.
    DoubleUpdate,
    /// An older configuration arrives after newer ones.
    LateUpdate(u64),
    /// The entry drains.
    Drain,
    /// The reports of an agent stop for a time.
    SilenceReports(usize, u64),
    /// The entry makes no step for a time.
    Pause(u64),
    /// The targets become so slow that deadlines pass.
    SlowTargets,
    /// A caller hangs up.
    HangUp(usize),
}

/// A failure that waits for the next attempt.
#[derive(Clone, Copy, Debug)]
pub enum Ambush {
    /// It is lost.
    Lose,
    /// It is late by this time.
    Delay(u64),
    /// Its second copy is late by this time.
    Double(u64),
    /// Its stream is exchanged with the one after.
    Cross,
    /// Its stream is exchanged with this one.
    CrossWith(StreamId),
}

/// Draws one failure.
fn fault() -> impl Strategy<Value = Fault> {
    (0..FAULTS, kind()).prop_map(|(at, kind)| Fault { at, kind })
}

/// Draws two failures. In half of the pairs the second follows closely on the first.
pub fn pair() -> impl Strategy<Value = [Fault; 2]> {
    let close = prop::option::of(0..CLOSE);
    (fault(), fault(), close).prop_map(|(first, second, close)| {
        let at = close.map_or(second.at, |after| first.at + after);
        [first, Fault { at, ..second }]
    })
}

fn kind() -> impl Strategy<Value = Kind> {
    let fixed = prop::sample::select(vec![
        Kind::LoseExecute,
        Kind::CrossStreams,
        Kind::RestartEntry,
        Kind::DoubleUpdate,
        Kind::Drain,
        Kind::SlowTargets,
    ]);
    prop_oneof![
        6 => fixed,
        1 => (0..DELAY).prop_map(Kind::DelayExecute),
        1 => (0..DELAY).prop_map(Kind::DoubleExecute),
        1 => (0..DELAY).prop_map(Kind::LateUpdate),
        1 => (500..12_000_u64).prop_map(Kind::Pause),
        1 => (0..2_usize).prop_map(Kind::LoseAnswers),
        1 => (0..2_usize, 0..DELAY).prop_map(|(n, time)| Kind::DelayAnswers(n, time)),
        1 => (0..2_usize).prop_map(Kind::RestartAgent),
        1 => (0..2_usize).prop_map(Kind::CrashBefore),
        1 => (0..2_usize).prop_map(Kind::CrashDuring),
        1 => (0..2_usize).prop_map(Kind::CrashAfter),
        1 => (0..2_usize).prop_map(Kind::Leave),
        1 => (0..2_usize).prop_map(Kind::LeaveUnreported),
        2 => (0..2_usize).prop_map(Kind::Withdraw),
        1 => (0..2_usize, 1_000..12_000_u64).prop_map(|(n, time)| Kind::SilenceReports(n, time)),
        1 => (0..crate::support::pairs::REQUESTS).prop_map(Kind::HangUp),
    ]
}

impl World {
    /// Begins a failure.
    pub fn begin_fault(&mut self, kind: Kind) {
        let now = self.now;
        match kind {
            Kind::LoseExecute => self.ambush = Some(Ambush::Lose),
            Kind::DelayExecute(time) => self.ambush = Some(Ambush::Delay(time)),
            Kind::DoubleExecute(time) => self.ambush = Some(Ambush::Double(time)),
            Kind::CrossStreams => self.ambush = Some(Ambush::Cross),
            Kind::LoseAnswers(agent) => self.lose_answers(agent),
            Kind::DelayAnswers(agent, time) => {
                for stream in self.streams(agent) {
                    self.stalled.insert(stream, now + time);
                }
            }
            Kind::RestartAgent(agent) => self.restart_agent(agent),
            Kind::RestartEntry => self.restart_entry(),
            Kind::CrashBefore(agent) => self.agents[agent].target_down = now + DOWN,
            Kind::CrashDuring(agent) => self.crash_target(agent),
            Kind::CrashAfter(agent) => self.lose_whole = Some(agent),
            Kind::Leave(agent) => {
                self.leave(agent);
                self.report(agent);
            }
            Kind::LeaveUnreported(agent) => {
                self.leave(agent);
                self.agents[agent].silent = u64::MAX;
            }
            Kind::Withdraw(workspace) => self.withdraw(pairs_fixture::WORKSPACES[workspace]),
            Kind::DoubleUpdate => self.update_again(self.accepted.len() - 1, 1),
            Kind::LateUpdate(time) => self.update_again(0, time),
            Kind::Drain => self.entry.draining = true,
            Kind::SilenceReports(agent, time) => {
                let silent = &mut self.agents[agent].silent;
                *silent = (*silent).max(now + time);
            }
            Kind::Pause(time) => {
                self.entry.paused = self.entry.paused.max(now + time);
            }
            Kind::SlowTargets => self.callers.iter_mut().for_each(|c| c.pace = 5_000),
            Kind::HangUp(request) => self.caller_leaves(request),
        }
    }

    /// Tells whether a message to the entry's control state is on its way.
    pub fn is_control_busy(&self) -> bool {
        let lane = (0, 0, self.entry.life);
        self.lanes.get(&lane).is_some_and(|at| *at >= self.now)
    }

    /// Returns the streams of the entry to an agent.
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
            self.end_silent(stream, attempt(stream));
        }
    }

    /// Restarts an agent. Its connections break, and what was on its way is lost.
    fn restart_agent(&mut self, agent: usize) {
        for stream in self.streams(agent) {
            let event = CallEvent::Failed(Failure::from(ErrorKind::AgentLost));
            let after = self.way();
            let message = Message::Event(stream, attempt(stream), event);
            self.send(Place::Entry(self.entry.life), after, message);
        }
        self.agents[agent].restart(self.now + DOWN);
        // Whoever starts an agent again wants its target to serve.
        self.seen.left.remove(&agent);
        self.agents[agent].silent = 0;
    }

    /// Restarts the entry. Its callers lose their connections, and its agents notice.
    fn restart_entry(&mut self) {
        for agent in 0..self.agents.len() {
            for stream in self.streams(agent) {
                self.give_up(agent, stream);
            }
        }
        for (request, task) in self.tasks.iter_mut().enumerate() {
            if !matches!(task, Task::Idle | Task::Done) {
                self.callers[request].gone = true;
                *task = Task::Done;
            }
        }
        self.entry = Entry::new(self.entry.life + 1, self.now);
        self.send(Place::Entry(self.entry.life), 0, Message::EntryTick);
    }

    fn crash_target(&mut self, agent: usize) {
        self.agents[agent].target_down = self.now + DOWN;
        let runs: Vec<_> = self.agents[agent].runs.keys().copied().collect();
        let place = Place::Agent(agent, self.agents[agent].life);
        for run in runs {
            let event = TargetEvent::Failed(Failure::from(ErrorKind::TargetFailed));
            self.send(place, 0, Message::Part(agent, run, event));
        }
    }

    fn leave(&mut self, agent: usize) {
        self.agents[agent].state.drain();
        self.seen.left.insert(agent, self.now);
    }

    fn withdraw(&mut self, workspace: &'static str) {
        self.withdrawn.push(workspace);
        self.seen.accepted.entry(workspace).or_insert(self.now);
        let revision = self.accepted.len() as u64 + 1;
        let accepted = pairs_fixture::accepted(revision, &self.withdrawn);
        self.accepted.push(accepted);
        // A pending watch answers at once.
        let message = Message::Watched(Time(self.now), Revision(revision));
        let after = self.way();
        self.send(Place::Entry(self.entry.life), after, message);
    }

    fn update_again(&mut self, number: usize, after: u64) {
        let (revision, _) = self.accepted[number];
        let message = Message::Updated(revision);
        self.send(Place::Entry(self.entry.life), after, message);
    }
}

/// Names the attempt of a stream.
fn attempt(stream: StreamId) -> (RequestId, Attempt) {
    (RequestId(stream.0 as u128), Attempt(stream.1))
}

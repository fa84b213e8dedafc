//! Scheduling of the samples of a step: order, concurrency and duplicate runs for stragglers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain::time::Time;

/// Group index and sample index of one sample to generate.
pub type Member = (u32, u32);

/// Number of one attempt to generate a member. The runs of a step are numbered from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run(pub u64);

/// Next step of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Start a run of the member.
    Start(Member, Run),
    /// Cancel the run because it passed its deadline or another run answered first. A member
    /// without an answer waits for another run.
    Cancel(Member, Run),
    /// Call `next` again at this time, or earlier after an event.
    Wait(Time),
    /// Every member has an answer and no run is active.
    Complete,
}

/// Schedule of the samples of one step.
#[derive(Clone, Debug)]
pub struct Plan {
    members: BTreeMap<Member, State>,
    /// Maximum number of concurrent runs.
    slots: usize,
    /// Number of duplicate runs that may still be started for stragglers.
    budget: u32,
    /// Time after which a run is cancelled.
    timeout: Duration,
    started: u64,
}

#[derive(Clone, Debug)]
struct State {
    /// Expected number of tokens in the answer.
    length: u64,
    done: bool,
    runs: BTreeMap<Run, Time>,
}

impl Plan {
    /// Creates a plan from the expected answer lengths in tokens. The caller passes members whose
    /// groups are already stored to `answered`.
    pub fn new(
        lengths: impl IntoIterator<Item = (Member, u64)>,
        slots: usize,
        budget: u32,
        timeout: Duration,
    ) -> Self {
        let state = |length| State {
            length,
            done: false,
            runs: BTreeMap::new(),
        };
        let members = lengths.into_iter().map(|(m, length)| (m, state(length)));
        Self {
            members: members.collect(),
            slots,
            budget,
            timeout,
            started: 0,
        }
    }

    /// Returns the next step to perform.
    pub fn next(&mut self, now: Time) -> PlanStep {
        if let Some((member, run)) = self.overdue(now) {
            self.remove_run(member, run);
            return PlanStep::Cancel(member, run);
        }
        if self.running() < self.slots {
            if let Some(member) = self.pending() {
                return self.start(now, member);
            }
            if let Some(member) = self.straggler() {
                self.budget -= 1;
                return self.start(now, member);
            }
        }
        match self.deadlines().min() {
            Some(due) => PlanStep::Wait(due),
            None if self.members.values().all(|state| state.done) => PlanStep::Complete,
            // Reached only if the plan has no slots.
            None => PlanStep::Wait(now + self.timeout),
        }
    }

    /// Handles a complete answer. Returns `true` if it is the first one of the member, which is
    /// kept.
    pub fn answered(&mut self, member: Member, run: Run) -> bool {
        self.remove_run(member, run);
        let Some(state) = self.members.get_mut(&member) else {
            return false;
        };
        !std::mem::replace(&mut state.done, true)
    }

    /// Handles the failure of a run. The member becomes pending again unless another run is active.
    pub fn failed(&mut self, member: Member, run: Run) {
        self.remove_run(member, run);
    }

    /// Makes all members of a group pending again, after the group expired or became stale.
    pub fn reopen(&mut self, group: u32) {
        let range = (group, 0)..=(group, u32::MAX);
        for (_, state) in self.members.range_mut(range) {
            state.done = false;
        }
    }

    fn start(&mut self, now: Time, member: Member) -> PlanStep {
        self.started += 1;
        let run = Run(self.started);
        if let Some(state) = self.members.get_mut(&member) {
            state.runs.insert(run, now);
        }
        PlanStep::Start(member, run)
    }

    fn remove_run(&mut self, member: Member, run: Run) {
        if let Some(state) = self.members.get_mut(&member) {
            state.runs.remove(&run);
        }
    }

    fn running(&self) -> usize {
        self.members.values().map(|state| state.runs.len()).sum()
    }

    /// Returns the member with the longest expected answer among those without an answer and
    /// without a run.
    fn pending(&self) -> Option<Member> {
        let open = self.open().filter(|(_, state)| state.runs.is_empty());
        open.max_by_key(|(_, state)| state.length)
            .map(|open| *open.0)
    }

    /// Returns the member with the longest expected answer among those with exactly one run, if
    /// the budget allows a duplicate run.
    fn straggler(&self) -> Option<Member> {
        let open = self.open().filter(|(_, state)| state.runs.len() == 1);
        let longest = open.max_by_key(|(_, state)| state.length);
        longest.filter(|_| self.budget > 0).map(|open| *open.0)
    }

    /// Returns a run that passed its deadline or whose member has an answer.
    fn overdue(&self, now: Time) -> Option<(Member, Run)> {
        self.members.iter().find_map(|(member, state)| {
            let over = |since: &Time| state.done || now >= *since + self.timeout;
            let run = state.runs.iter().find(|(_, since)| over(since))?;
            Some((*member, *run.0))
        })
    }

    fn open(&self) -> impl Iterator<Item = (&Member, &State)> {
        self.members.iter().filter(|(_, state)| !state.done)
    }

    fn deadlines(&self) -> impl Iterator<Item = Time> {
        let runs = self.members.values().flat_map(|state| state.runs.values());
        runs.map(|since| *since + self.timeout)
    }
}

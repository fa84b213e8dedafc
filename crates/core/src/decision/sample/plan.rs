//! Plan of a step: which members run next, on how many targets, and when to send again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain::time::Time;

/// One sample to generate: group and index.
pub type Member = (u32, u32);

/// One run of a member. Runs of a step are counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run(pub u64);

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Start a run of the member.
    Start(Member, Run),
    /// Cancel the run, which has passed its deadline. The member waits for another run.
    Cancel(Member, Run),
    /// Call `next` again at this time, or earlier after an event.
    Wait(Time),
    /// Every member has an answer and no run is left.
    Complete,
}

/// The members of one step.
#[derive(Clone, Debug)]
pub struct Plan {
    members: BTreeMap<Member, State>,
    /// Runs that may go on at once.
    slots: usize,
    /// Runs beyond the first that may still be started without a failure.
    budget: u32,
    /// Longest run.
    limit: Duration,
    started: u64,
}

#[derive(Clone, Debug)]
struct State {
    /// Expected tokens of the answer.
    length: u64,
    done: bool,
    runs: BTreeMap<Run, Time>,
}

impl Plan {
    /// Creates a plan from the expected lengths in tokens. Groups that are recorded are left out
    /// by the caller.
    pub fn new(
        lengths: impl IntoIterator<Item = (Member, u64)>,
        slots: usize,
        budget: u32,
        limit: Duration,
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
            limit,
            started: 0,
        }
    }

    /// Decides what to do next.
    pub fn next(&mut self, now: Time) -> PlanStep {
        if let Some((member, run)) = self.overdue(now) {
            self.ended(member, run);
            return PlanStep::Cancel(member, run);
        }
        if self.running() < self.slots {
            if let Some(member) = self.waiting() {
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
            // Only a plan without slots gets here.
            None => PlanStep::Wait(now + self.limit),
        }
    }

    /// Takes in a whole answer. Returns true for the first one of the member, which is kept.
    pub fn answered(&mut self, member: Member, run: Run) -> bool {
        self.ended(member, run);
        let Some(state) = self.members.get_mut(&member) else {
            return false;
        };
        !std::mem::replace(&mut state.done, true)
    }

    /// Takes in the failure of a run. The member waits again unless another run goes on.
    pub fn failed(&mut self, member: Member, run: Run) {
        self.ended(member, run);
    }

    /// Adds the members of a group that expired and is generated again.
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

    fn ended(&mut self, member: Member, run: Run) {
        if let Some(state) = self.members.get_mut(&member) {
            state.runs.remove(&run);
        }
    }

    fn running(&self) -> usize {
        self.members.values().map(|state| state.runs.len()).sum()
    }

    /// Returns the longest member without an answer and without a run.
    fn waiting(&self) -> Option<Member> {
        let open = self.open().filter(|(_, state)| state.runs.is_empty());
        open.max_by_key(|(_, state)| state.length)
            .map(|open| *open.0)
    }

    /// Returns the longest member with one run, if the budget allows a second run.
    fn straggler(&self) -> Option<Member> {
        let open = self.open().filter(|(_, state)| state.runs.len() == 1);
        let longest = open.max_by_key(|(_, state)| state.length);
        longest.filter(|_| self.budget > 0).map(|open| *open.0)
    }

    /// Returns a run that passed its deadline or whose member has an answer.
    fn overdue(&self, now: Time) -> Option<(Member, Run)> {
        self.members.iter().find_map(|(member, state)| {
            let over = |since: &Time| state.done || now >= *since + self.limit;
            let run = state.runs.iter().find(|(_, since)| over(since))?;
            Some((*member, *run.0))
        })
    }

    fn open(&self) -> impl Iterator<Item = (&Member, &State)> {
        self.members.iter().filter(|(_, state)| !state.done)
    }

    fn deadlines(&self) -> impl Iterator<Item = Time> {
        let runs = self.members.values().flat_map(|state| state.runs.values());
        runs.map(|since| *since + self.limit)
    }
}

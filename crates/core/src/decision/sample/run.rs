//! The run of one step: which samples to generate, score and record next.
//!
//! Call sequence: `start` with one listing of the step's groups, then `next` until it waits, and
//! the result of each step to the method that its variant names. `observe` takes in the trainer's
//! version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::sample::DropReason;
use crate::decision::sample::Fact;
use crate::decision::sample::Freshness;
use crate::decision::sample::Generated;
use crate::decision::sample::Group;
use crate::decision::sample::GroupRecord;
use crate::decision::sample::GroupSpec;
use crate::decision::sample::GroupState;
use crate::decision::sample::GroupWrite;
use crate::decision::sample::Member;
use crate::decision::sample::Open;
use crate::decision::sample::Plan;
use crate::decision::sample::PlanStep;
use crate::decision::sample::Recording;
use crate::decision::sample::Run;
use crate::decision::sample::Sample;
use crate::decision::sample::StepKey;
use crate::decision::sample::StepRecord;
use crate::decision::sample::Stored;
use crate::domain::ids::Revision;
use crate::domain::ids::WeightVersion;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Pause after failed runs and after a failed score or write, so that an outage does not cause a
/// busy loop.
const PAUSE: Duration = Duration::from_millis(500);

/// Failed runs in a row before a pause. A pause after each failure would let one bad target hold
/// up the whole step.
const FAILURES: u32 = 4;

/// Time between two listings while recorded groups wait for the trainer. Only a listing shows a
/// group that a poll at another entry has expired.
const RELIST: Duration = Duration::from_secs(2);

/// One run in this many members may be a second run of a straggler.
const OVERSAMPLING: usize = 10;

/// The run that stands for a result of another process. Runs of a plan are counted from 1.
const ELSEWHERE: Run = Run(0);

/// Bounds of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunLimits {
    /// Samples that may be generated at once.
    pub slots: usize,
    /// Longest generation of a sample.
    pub time: Duration,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum RunStep {
    /// Generate a sample on a target at this version or above, then call `generated` or `failed`.
    Generate(Member, Run, WeightVersion),
    /// Cancel a generation.
    Cancel(Run),
    /// Score the answer, then call `scored`.
    Score(Member, Run, Arc<str>),
    /// Write the group, then call `written`.
    Record(u32, GroupWrite),
    /// Read the group's object, then call `read`.
    ReadBack(u32, Arc<str>),
    /// List the groups, then call `listed`.
    List,
    /// Call `next` again at this time, or earlier after an event.
    Wait(Time),
    /// Every group was delivered.
    Complete,
}

/// A step that is being run.
#[derive(Debug)]
pub struct StepRun {
    key: StepKey,
    record: Arc<StepRecord>,
    fresh: Freshness,
    plan: Plan,
    groups: Vec<Progress>,
    /// Time before which no generation starts.
    paused: Time,
    /// Failed runs since the last whole answer.
    failures: u32,
    /// Time of the next listing, or none while one is under way.
    relist: Option<Time>,
    facts: Vec<Fact>,
}

#[derive(Debug)]
enum Progress {
    Open(Group<Open>, BTreeMap<u32, Answer>),
    /// Has to be written at a time.
    Due(Group<Generated>, Time),
    Writing(Group<Generated>),
    /// Has to be read back at a time.
    Unsure(Group<Generated>, Time),
    Reading(Group<Generated>),
    Stored(GroupState),
}

#[derive(Debug)]
struct Answer {
    run: Run,
    sample: Sample,
    score: Score,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Score {
    Due(Time),
    Asked,
    Known,
}

impl StepRun {
    /// Starts a run. Groups that are stored are not generated again, unless they expired.
    pub fn start(
        now: Time,
        key: StepKey,
        record: Arc<StepRecord>,
        fresh: Freshness,
        limits: RunLimits,
        stored: Vec<Stored>,
    ) -> Self {
        let numbered = || (0..).zip(&record.groups);
        let lengths: Vec<_> = numbered()
            .flat_map(|(n, g)| (0..g.samples).map(move |i| ((n, i), u64::from(g.max_tokens))))
            .collect();
        let budget = u32::try_from(lengths.len() / OVERSAMPLING).unwrap_or(u32::MAX);
        let open = |(n, g): (u32, &GroupSpec)| {
            Progress::Open(Group::first(key.group(n), g.samples), BTreeMap::new())
        };
        let groups = numbered().map(open).collect();
        let mut run = Self {
            plan: Plan::new(lengths, limits.slots, budget, limits.time),
            groups,
            key,
            record,
            fresh,
            paused: now,
            failures: 0,
            relist: Some(now + RELIST),
            facts: Vec::new(),
        };
        run.listed(now, Ok(stored));
        run
    }

    /// Decides what to do next.
    pub fn next(&mut self, now: Time) -> RunStep {
        let mut due = now + RELIST;
        for index in (0..).take(self.groups.len()) {
            match self.advance(now, index) {
                RunStep::Wait(time) => due = due.min(time),
                step => return step,
            }
        }
        let stored = |state| move |p: &Progress| matches!(p, Progress::Stored(s) if *s == state);
        if self.groups.iter().all(stored(GroupState::Delivered)) {
            return RunStep::Complete;
        }
        let waits = self.groups.iter().any(stored(GroupState::Recorded));
        match self.relist {
            Some(time) if waits && now >= time => {
                self.relist = None;
                return RunStep::List;
            }
            Some(time) if waits => due = due.min(time),
            _ => {}
        }
        if now < self.paused {
            return RunStep::Wait(due.min(self.paused));
        }
        match self.plan.next(now) {
            PlanStep::Start(member, run) => RunStep::Generate(member, run, self.floor()),
            PlanStep::Cancel(_, run) => RunStep::Cancel(run),
            PlanStep::Wait(time) => RunStep::Wait(due.min(time)),
            PlanStep::Complete => RunStep::Wait(due),
        }
    }

    /// Takes in the trainer's version. It never goes back.
    pub fn observe(&mut self, version: WeightVersion) {
        self.fresh.trainer = self.fresh.trainer.max(version);
    }

    /// Takes in a whole answer. Returns false if it is dropped.
    pub fn generated(&mut self, now: Time, member: Member, run: Run, sample: Sample) -> bool {
        let drop = if sample.versions.is_empty() {
            Some(DropReason::Unlabelled)
        } else if !self.fresh.allows(&sample.versions) {
            Some(DropReason::Stale)
        } else {
            None
        };
        if let Some(reason) = drop {
            self.facts.push(Fact::Dropped(reason, 1));
            self.failed(now, member, run);
            return false;
        }
        self.failures = 0;
        let first = self.plan.answered(member, run);
        match self.groups.get_mut(member.0 as usize) {
            Some(Progress::Open(_, answers)) if first => {
                let score = Score::Due(now);
                answers.insert(member.1, Answer { run, sample, score });
                true
            }
            _ => {
                self.facts.push(Fact::Dropped(DropReason::Duplicate, 1));
                false
            }
        }
    }

    /// Takes in the failure of a generation.
    pub fn failed(&mut self, now: Time, member: Member, run: Run) {
        self.plan.failed(member, run);
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES {
            self.paused = now + PAUSE;
        }
    }

    /// Takes in a score, or none if the scoring service failed.
    pub fn scored(&mut self, now: Time, member: Member, run: Run, score: Option<f64>) {
        let Some(Progress::Open(_, answers)) = self.groups.get_mut(member.0 as usize) else {
            return;
        };
        let Some(answer) = answers.get_mut(&member.1).filter(|a| a.run == run) else {
            return;
        };
        match score {
            Some(score) => {
                answer.sample.score = score;
                answer.score = Score::Known;
            }
            None => answer.score = Score::Due(now + PAUSE),
        }
    }

    /// Takes in the answer to the write of a group.
    pub fn written(
        &mut self,
        now: Time,
        index: u32,
        write: &GroupWrite,
        answer: &Result<Revision, ObjectError>,
    ) {
        let Some(Progress::Writing(group)) = self.take(index) else {
            return;
        };
        match group.answered(write, answer) {
            Recording::Recorded(revision, record) => {
                self.facts.push(Fact::Recorded);
                self.store(index, revision, &record);
            }
            Recording::ReadBack(group, _) => self.put(index, Progress::Unsure(group, now)),
            Recording::Again(group) => self.put(index, Progress::Due(group, now + PAUSE)),
        }
    }

    /// Takes in the object of a group that was read back.
    pub fn read(
        &mut self,
        now: Time,
        index: u32,
        found: Result<Option<(Revision, GroupRecord)>, ObjectError>,
    ) {
        let Some(Progress::Reading(group)) = self.take(index) else {
            return;
        };
        let mine = group.samples().to_vec();
        match group.read(found) {
            Recording::Recorded(revision, record) => {
                if record.samples == mine {
                    self.facts.push(Fact::Recorded);
                } else {
                    self.drop_samples(DropReason::Elsewhere, mine.len());
                }
                self.store(index, revision, &record);
            }
            Recording::ReadBack(group, _) => self.put(index, Progress::Unsure(group, now + PAUSE)),
            Recording::Again(group) => self.put(index, Progress::Due(group, now + PAUSE)),
        }
    }

    /// Takes in a listing of the step's groups.
    pub fn listed(&mut self, now: Time, listed: Result<Vec<Stored>, ObjectError>) {
        self.relist = Some(now + RELIST);
        for (id, revision, record) in listed.unwrap_or_default() {
            let index = id.group as usize;
            match self.groups.get(index) {
                Some(Progress::Open(open, answers)) if record.round >= open.round() => {
                    self.drop_samples(DropReason::Elsewhere, answers.len());
                }
                Some(Progress::Stored(_)) => {}
                // The answer to the write or read that is under way decides.
                _ => continue,
            }
            self.store(id.group, revision, &record);
        }
    }

    /// Returns what is to be counted since the last call.
    pub fn take_facts(&mut self) -> Vec<Fact> {
        std::mem::take(&mut self.facts)
    }

    /// Returns the lowest version of a target whose sample can still be fresh.
    fn floor(&self) -> WeightVersion {
        WeightVersion(self.fresh.trainer.0.saturating_sub(self.fresh.bound))
    }

    /// Takes one group a step further.
    fn advance(&mut self, now: Time, index: u32) -> RunStep {
        match self.groups.get_mut(index as usize) {
            Some(Progress::Open(..)) => self.advance_open(now, index),
            Some(Progress::Due(_, time)) if now >= *time => self.write(now, index),
            Some(Progress::Unsure(_, time)) if now >= *time => {
                if let Some(Progress::Unsure(group, _)) = self.take(index) {
                    self.put(index, Progress::Reading(group));
                }
                RunStep::ReadBack(index, self.key.group(index).path())
            }
            Some(Progress::Due(_, time) | Progress::Unsure(_, time)) => RunStep::Wait(*time),
            _ => RunStep::Wait(now + RELIST),
        }
    }

    /// Asks for a score that is due, or takes a group on whose members are whole and scored.
    fn advance_open(&mut self, now: Time, index: u32) -> RunStep {
        let size = self.record.groups[index as usize].samples as usize;
        let mut due = now + RELIST;
        let Some(Progress::Open(_, answers)) = self.groups.get_mut(index as usize) else {
            return RunStep::Wait(due);
        };
        for (member, answer) in answers.iter_mut() {
            match answer.score {
                Score::Due(time) if now >= time => {
                    answer.score = Score::Asked;
                    let text = answer.sample.text.clone();
                    return RunStep::Score((index, *member), answer.run, text);
                }
                Score::Due(time) => due = due.min(time),
                Score::Asked | Score::Known => {}
            }
        }
        let scored = answers.values().filter(|a| a.score == Score::Known);
        if scored.count() < size {
            return RunStep::Wait(due);
        }
        if let Some(Progress::Open(group, answers)) = self.take(index) {
            let samples = answers.into_values().map(|answer| answer.sample).collect();
            // Each member was checked when it came, so the group is complete and labelled.
            if let Ok(group) = group.generated(samples) {
                self.put(index, Progress::Due(group, now));
            }
        }
        self.advance(now, index)
    }

    /// Writes a whole group, or starts it again if it has become too old.
    fn write(&mut self, now: Time, index: u32) -> RunStep {
        let Some(Progress::Due(group, _)) = self.take(index) else {
            return RunStep::Wait(now + RELIST);
        };
        match group.record(self.fresh) {
            Ok(write) => {
                self.put(index, Progress::Writing(group));
                RunStep::Record(index, write)
            }
            Err(_) => {
                self.drop_samples(DropReason::Stale, group.samples().len());
                self.put(index, Progress::Open(group.reopen(), BTreeMap::new()));
                self.plan.reopen(index);
                RunStep::Wait(now + RELIST)
            }
        }
    }

    /// Takes in a stored group.
    fn store(&mut self, index: u32, revision: Revision, record: &GroupRecord) {
        let Some(spec) = self.record.groups.get(index as usize) else {
            return;
        };
        let size = spec.samples;
        if record.state == GroupState::Expired {
            let group = Group::again(self.key.group(index), size, revision, record);
            self.put(index, Progress::Open(group, BTreeMap::new()));
            self.plan.reopen(index);
            return;
        }
        for member in 0..size {
            self.plan.answered((index, member), ELSEWHERE);
        }
        self.put(index, Progress::Stored(record.state));
    }

    fn drop_samples(&mut self, reason: DropReason, count: usize) {
        if count > 0 {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.facts.push(Fact::Dropped(reason, count));
        }
    }

    /// Takes the state of a group out. The caller puts the next one in.
    fn take(&mut self, index: u32) -> Option<Progress> {
        let slot = self.groups.get_mut(index as usize)?;
        Some(std::mem::replace(
            slot,
            Progress::Stored(GroupState::Recorded),
        ))
    }

    fn put(&mut self, index: u32, progress: Progress) {
        if let Some(slot) = self.groups.get_mut(index as usize) {
            *slot = progress;
        }
    }
}

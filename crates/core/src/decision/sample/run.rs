//! Execution of one step: which samples to generate, score and record next.
//!
//! Call `start` with one listing of the step's groups, then `next` until it waits. Pass the result
//! of each step to the method that its variant names, and each new trainer version to `observe`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::sample::DropReason;
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
use crate::decision::sample::RunLimits;
use crate::decision::sample::Sample;
use crate::decision::sample::StalenessLimit;
use crate::decision::sample::StepEvent;
use crate::decision::sample::StepKey;
use crate::decision::sample::StepRecord;
use crate::decision::sample::Stored;
use crate::domain::ids::Revision;
use crate::domain::ids::WeightVersion;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Delay after repeated failed runs and after a failed score or write. Prevents a busy loop during
/// an outage.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of consecutive failed runs after which generation pauses. A pause after each failure
/// would let one faulty target delay the whole step.
const FAILURE_THRESHOLD: u32 = 4;

/// Interval between listings while recorded groups wait for the trainer. A group that was
/// expired by a poll at another entry is visible only in a listing.
const RELIST_INTERVAL: Duration = Duration::from_secs(2);

/// Number of members per duplicate run that may be started for a straggler.
const MEMBERS_PER_DUPLICATE: usize = 10;

/// Run number for results of other processes. The runs of a plan are numbered from 1.
const REMOTE_RUN: Run = Run(0);

/// Next step of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum RunStep {
    /// Generate a sample on a target at this version or above, then call `generated` or `failed`.
    Generate(Member, Run, WeightVersion),
    /// Cancel the generation with this run number.
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
    /// Every group has been delivered.
    Complete,
}

/// Execution state of one step.
#[derive(Debug)]
pub struct StepRun {
    key: StepKey,
    record: Arc<StepRecord>,
    limit: StalenessLimit,
    plan: Plan,
    groups: Vec<Progress>,
    /// Time before which no generation starts.
    paused_until: Time,
    /// Number of failed runs since the last complete answer.
    failures: u32,
    /// Time of the next listing, or `None` while one is in progress.
    next_listing: Option<Time>,
    events: Vec<StepEvent>,
}

#[derive(Debug)]
enum Progress {
    /// The answers so far, by sample index.
    Open(Group<Open>, BTreeMap<u32, Answer>),
    /// The result is written at this time.
    Due(Group<Generated>, Time),
    Writing(Group<Generated>),
    /// The outcome of the write is unknown, and the object is read back at this time.
    Unconfirmed(Group<Generated>, Time),
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
    Requested,
    Known,
}

impl StepRun {
    /// Starts the execution of a step. Stored groups are generated again only if they expired.
    pub fn start(
        now: Time,
        key: StepKey,
        record: Arc<StepRecord>,
        limit: StalenessLimit,
        limits: RunLimits,
        stored: Vec<Stored>,
    ) -> Self {
        let numbered = || (0..).zip(&record.groups);
        let lengths: Vec<_> = numbered()
            .flat_map(|(n, g)| (0..g.samples).map(move |i| ((n, i), u64::from(g.max_tokens))))
            .collect();
        let budget = u32::try_from(lengths.len() / MEMBERS_PER_DUPLICATE).unwrap_or(u32::MAX);
        let open = |(n, g): (u32, &GroupSpec)| {
            Progress::Open(Group::first(key.group(n), g.samples), BTreeMap::new())
        };
        let groups = numbered().map(open).collect();
        let mut run = Self {
            plan: Plan::new(lengths, limits.slots, budget, limits.time),
            groups,
            key,
            record,
            limit,
            paused_until: now,
            failures: 0,
            next_listing: Some(now + RELIST_INTERVAL),
            events: Vec::new(),
        };
        run.listed(now, Ok(stored));
        run
    }

    /// Returns the next step to perform.
    pub fn next(&mut self, now: Time) -> RunStep {
        let mut due = now + RELIST_INTERVAL;
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
        let has_undelivered = self.groups.iter().any(stored(GroupState::Recorded));
        match self.next_listing {
            Some(time) if has_undelivered && now >= time => {
                self.next_listing = None;
                return RunStep::List;
            }
            Some(time) if has_undelivered => due = due.min(time),
            _ => {}
        }
        if now < self.paused_until {
            return RunStep::Wait(due.min(self.paused_until));
        }
        match self.plan.next(now) {
            PlanStep::Start(member, run) => RunStep::Generate(member, run, self.lowest_version()),
            PlanStep::Cancel(_, run) => RunStep::Cancel(run),
            PlanStep::Wait(time) => RunStep::Wait(due.min(time)),
            PlanStep::Complete => RunStep::Wait(due),
        }
    }

    /// Records the trainer's version. An older version has no effect.
    pub fn observe(&mut self, version: WeightVersion) {
        self.limit.trainer = self.limit.trainer.max(version);
    }

    /// Handles a complete answer. Returns `false` if it is dropped.
    pub fn generated(&mut self, now: Time, member: Member, run: Run, sample: Sample) -> bool {
        let drop = if sample.versions.is_empty() {
            Some(DropReason::Unlabelled)
        } else if !self.limit.allows(&sample.versions) {
            Some(DropReason::Stale)
        } else {
            None
        };
        if let Some(reason) = drop {
            self.events.push(StepEvent::Dropped(reason, 1));
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
                self.events
                    .push(StepEvent::Dropped(DropReason::Duplicate, 1));
                false
            }
        }
    }

    /// Handles the failure of a generation.
    pub fn failed(&mut self, now: Time, member: Member, run: Run) {
        self.plan.failed(member, run);
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURE_THRESHOLD {
            self.paused_until = now + RETRY_DELAY;
        }
    }

    /// Handles a score, or `None` if the scoring service failed.
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
            None => answer.score = Score::Due(now + RETRY_DELAY),
        }
    }

    /// Handles the answer to the write of a group.
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
                self.events.push(StepEvent::Recorded);
                self.apply_stored(index, revision, &record);
            }
            Recording::ReadBack(group, _) => self.put(index, Progress::Unconfirmed(group, now)),
            Recording::Retry(group) => self.put(index, Progress::Due(group, now + RETRY_DELAY)),
        }
    }

    /// Handles the group object that was read back.
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
                    self.events.push(StepEvent::Recorded);
                } else {
                    self.drop_samples(DropReason::Elsewhere, mine.len());
                }
                self.apply_stored(index, revision, &record);
            }
            Recording::ReadBack(group, _) => {
                self.put(index, Progress::Unconfirmed(group, now + RETRY_DELAY))
            }
            Recording::Retry(group) => self.put(index, Progress::Due(group, now + RETRY_DELAY)),
        }
    }

    /// Handles a listing of the step's groups.
    pub fn listed(&mut self, now: Time, listed: Result<Vec<Stored>, ObjectError>) {
        self.next_listing = Some(now + RELIST_INTERVAL);
        for (id, revision, record) in listed.unwrap_or_default() {
            let index = id.group as usize;
            match self.groups.get(index) {
                Some(Progress::Open(open, answers)) if record.round >= open.round() => {
                    self.drop_samples(DropReason::Elsewhere, answers.len());
                }
                Some(Progress::Stored(_)) => {}
                // The answer to the pending write or read determines the state.
                _ => continue,
            }
            self.apply_stored(id.group, revision, &record);
        }
    }

    /// Returns the events to count since the last call.
    pub fn take_events(&mut self) -> Vec<StepEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the lowest weight version whose samples are within the staleness bound.
    fn lowest_version(&self) -> WeightVersion {
        WeightVersion(self.limit.trainer.0.saturating_sub(self.limit.bound))
    }

    /// Advances one group and returns its next step.
    fn advance(&mut self, now: Time, index: u32) -> RunStep {
        match self.groups.get_mut(index as usize) {
            Some(Progress::Open(..)) => self.advance_open(now, index),
            Some(Progress::Due(_, time)) if now >= *time => self.write(now, index),
            Some(Progress::Unconfirmed(_, time)) if now >= *time => {
                if let Some(Progress::Unconfirmed(group, _)) = self.take(index) {
                    self.put(index, Progress::Reading(group));
                }
                RunStep::ReadBack(index, self.key.group(index).path())
            }
            Some(Progress::Due(_, time) | Progress::Unconfirmed(_, time)) => RunStep::Wait(*time),
            _ => RunStep::Wait(now + RELIST_INTERVAL),
        }
    }

    /// Requests a score that is due, or completes a group whose members are all scored.
    fn advance_open(&mut self, now: Time, index: u32) -> RunStep {
        let size = self.record.groups[index as usize].samples as usize;
        let mut due = now + RELIST_INTERVAL;
        let Some(Progress::Open(_, answers)) = self.groups.get_mut(index as usize) else {
            return RunStep::Wait(due);
        };
        for (member, answer) in answers.iter_mut() {
            match answer.score {
                Score::Due(time) if now >= time => {
                    answer.score = Score::Requested;
                    let text = answer.sample.text.clone();
                    return RunStep::Score((index, *member), answer.run, text);
                }
                Score::Due(time) => due = due.min(time),
                Score::Requested | Score::Known => {}
            }
        }
        let scored = answers.values().filter(|a| a.score == Score::Known);
        if scored.count() < size {
            return RunStep::Wait(due);
        }
        if let Some(Progress::Open(group, answers)) = self.take(index) {
            let samples = answers.into_values().map(|answer| answer.sample).collect();
            // Each member was checked on arrival, so the group is complete and labelled.
            if let Ok(group) = group.generated(samples) {
                self.put(index, Progress::Due(group, now));
            }
        }
        self.advance(now, index)
    }

    /// Writes a complete group, or generates it again if it exceeds the staleness bound.
    fn write(&mut self, now: Time, index: u32) -> RunStep {
        let Some(Progress::Due(group, _)) = self.take(index) else {
            return RunStep::Wait(now + RELIST_INTERVAL);
        };
        match group.record(self.limit) {
            Ok(write) => {
                self.put(index, Progress::Writing(group));
                RunStep::Record(index, write)
            }
            Err(_) => {
                self.drop_samples(DropReason::Stale, group.samples().len());
                self.put(index, Progress::Open(group.reopen(), BTreeMap::new()));
                self.plan.reopen(index);
                RunStep::Wait(now + RELIST_INTERVAL)
            }
        }
    }

    /// Updates the progress of a group from its stored record.
    fn apply_stored(&mut self, index: u32, revision: Revision, record: &GroupRecord) {
        let Some(spec) = self.record.groups.get(index as usize) else {
            return;
        };
        let size = spec.samples;
        if record.state == GroupState::Expired {
            let group = Group::next_round(self.key.group(index), size, revision, record);
            self.put(index, Progress::Open(group, BTreeMap::new()));
            self.plan.reopen(index);
            return;
        }
        for member in 0..size {
            self.plan.answered((index, member), REMOTE_RUN);
        }
        self.put(index, Progress::Stored(record.state));
    }

    fn drop_samples(&mut self, reason: DropReason, count: usize) {
        if count > 0 {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.events.push(StepEvent::Dropped(reason, count));
        }
    }

    /// Takes the progress of a group. The caller must `put` the next one.
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

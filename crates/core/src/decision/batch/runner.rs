//! Runner of a batch job: the state and dispatch order of its items.

use std::collections::HashMap;
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::EndedRun;
use crate::decision::batch::Generated;
use crate::decision::batch::Generating;
use crate::decision::batch::Generation;
use crate::decision::batch::Journal;
use crate::decision::batch::Pace;
use crate::decision::batch::Run;
use crate::decision::batch::RunEnd;
use crate::decision::batch::RunId;
use crate::decision::batch::RunnerLimits;
use crate::decision::batch::ScoreEnd;
use crate::decision::batch::Scoring;
use crate::decision::batch::Task;
use crate::decision::batch::Waiting;
use crate::decision::batch::failures::FailureLog;
use crate::decision::batch::groups::Holders;
use crate::decision::batch::order::dispatch_order;
use crate::decision::batch::pace::pace;
use crate::decision::batch::retry::REFUSAL_DELAY;
use crate::decision::batch::retry::RETRY_DELAY;
use crate::decision::batch::retry::crash_delay;
use crate::decision::directory::CallEnd;
use crate::domain::batch::Batch;
use crate::domain::batch::Draft;
use crate::domain::batch::Item;
use crate::domain::batch::Outcome;
use crate::domain::batch::PartialText;
use crate::domain::batch::Scorer;
use crate::domain::name::GroupName;
use crate::domain::name::ItemId;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Maximum number of moves of one item away from slow targets.
const MAX_MOVES: u32 = 3;

/// Items of a job that this process runs.
#[derive(Debug)]
pub struct Runner {
    /// Decoded submission.
    pub batch: Arc<Batch>,
    pub(super) limits: RunnerLimits,
    pub(super) slots: Vec<Slot>,
    pub(super) failures: FailureLog,
    pub(super) runs: HashMap<RunId, usize>,
    /// Indexes of the items in dispatch order.
    order: Vec<usize>,
    /// Targets that have read the prompts of groups.
    holders: Holders,
}

/// Item in its current state.
#[derive(Debug)]
pub(super) enum Slot {
    Waiting(Run<Waiting>),
    Generating(Run<Generating>),
    Generated(Run<Generated>),
    Scoring(Run<Scoring>),
    Finished(Arc<Outcome>),
    Listed,
}

impl Runner {
    /// Creates a runner for the items that are not listed yet. Items continue from the longest
    /// draft whose versions are permitted. An unfinished draft that does not name its software
    /// version is not used, since another version must not go on with it.
    pub fn new(
        now: Time,
        batch: Arc<Batch>,
        limits: RunnerLimits,
        journal: &Journal,
        drafts: &[Draft],
    ) -> Self {
        let slot = |item: &Arc<Item>| {
            if journal.contains(&item.id) {
                return Slot::Listed;
            }
            let fitting = drafts.iter().filter(|d| {
                let continuable = d.whole || d.partial.software.is_some();
                d.id == item.id && continuable && limits.versions.permits(&d.partial)
            });
            let best = fitting.max_by_key(|d| (d.whole, d.partial.events));
            let partial = best.map(|d| d.partial.clone()).unwrap_or_default();
            let run = Run::new(item.clone(), partial);
            match best.is_some_and(|d| d.whole) {
                true => Slot::Generated(run.finish(now)),
                false => Slot::Waiting(run),
            }
        };
        Self {
            slots: batch.items.iter().map(slot).collect(),
            failures: FailureLog::default(),
            order: dispatch_order(&batch.items),
            batch,
            limits,
            runs: HashMap::new(),
            holders: Holders::default(),
        }
    }

    /// Returns the requests that are due now, in dispatch order. Items with a text but without a
    /// scorer are finished.
    pub fn tasks(&mut self, now: Time) -> Vec<Task> {
        let mut tasks = Vec::new();
        for &index in &self.order {
            let done = |run: &Run<Generated>| run.item.scorer.is_none();
            if let Slot::Generated(run) = &self.slots[index]
                && done(run)
                && let Slot::Generated(run) = mem::replace(&mut self.slots[index], Slot::Listed)
            {
                self.slots[index] = Slot::Finished(run.complete());
            }
            if self.failures.is_awaited(index) {
                continue;
            }
            match &self.slots[index] {
                Slot::Waiting(run) if now >= run.state.due => {
                    tasks.push(Task::Generate(Generation {
                        index,
                        due: run.state.due,
                        avoid: run.state.avoid.clone(),
                        group: run.item.group.clone(),
                        software: run.state.partial.software.clone(),
                    }));
                }
                Slot::Generated(run) if now >= run.state.due => {
                    let scorer = run.item.scorer.clone();
                    tasks.extend(scorer.map(|scorer| Task::Score { index, scorer }));
                }
                _ => {}
            }
        }
        tasks
    }

    /// Returns the number of items that wait for a target now, and of those that generate.
    pub fn demand(&self, now: Time) -> (u32, u32) {
        self.slots
            .iter()
            .fold((0, 0), |(waiting, running), slot| match slot {
                Slot::Waiting(run) if now >= run.state.due => (waiting + 1, running),
                Slot::Generating(_) => (waiting, running + 1),
                _ => (waiting, running),
            })
    }

    /// Returns the targets that have read the prompt of a group.
    pub fn group_targets(&self, group: Option<&GroupName>) -> Vec<TargetName> {
        self.holders.of(group)
    }

    /// Marks a waiting item as sent to a target. Returns the item and its text so far, or `None` if
    /// it is not waiting.
    pub fn generate(
        &mut self,
        now: Time,
        index: usize,
        id: RunId,
        target: TargetName,
    ) -> Option<(Arc<Item>, PartialText)> {
        let slot = self.slots.get_mut(index)?;
        let Slot::Waiting(run) = mem::replace(slot, Slot::Listed) else {
            return None;
        };
        let item = run.item.clone();
        if let Some(group) = &item.group {
            self.holders.record(group, &target);
        }
        let (run, partial) = run.start(now, id, target);
        *slot = Slot::Generating(run);
        self.runs.insert(id, index);
        Some((item, partial))
    }

    /// Discards the text of a waiting item, which is then generated from the start. Returns the item
    /// and the number of discarded events, or `None` if it is not waiting.
    pub fn discard_text(&mut self, index: usize) -> Option<(ItemId, u64)> {
        let Slot::Waiting(run) = self.slots.get_mut(index)? else {
            return None;
        };
        let discarded = mem::take(&mut run.state.partial);
        Some((run.item.id.clone(), discarded.events))
    }

    /// Marks the text of an item as sent to a target for scoring.
    pub fn score(&mut self, index: usize, id: RunId, target: TargetName) {
        let Some(slot) = self.slots.get_mut(index) else {
            return;
        };
        match mem::replace(slot, Slot::Listed) {
            Slot::Generated(run) => {
                *slot = Slot::Scoring(run.start(id, target));
                self.runs.insert(id, index);
            }
            other => *slot = other,
        }
    }

    /// Records the text of a generation so far. Returns the pace of the new events, if it is known.
    pub fn update_run(&mut self, now: Time, id: RunId, partial: PartialText) -> Option<Pace> {
        let Slot::Generating(run) = self.slots.get_mut(*self.runs.get(&id)?)? else {
            return None;
        };
        if partial.events <= run.state.draft.events {
            return None;
        }
        let pace = pace(run, now, partial.events);
        run.state.last_progress = now;
        run.state.draft = partial;
        pace
    }

    /// Ends a generation and moves the item to its next state.
    pub fn end_run(
        &mut self,
        now: Time,
        id: RunId,
        end: &RunEnd,
        partial: PartialText,
    ) -> Option<EndedRun> {
        let index = self.runs.remove(&id)?;
        let slot = self.slots.get_mut(index)?;
        let Slot::Generating(run) = mem::replace(slot, Slot::Listed) else {
            return None;
        };
        let mut ended = EndedRun {
            item: run.item.id.clone(),
            target: run.state.target.clone(),
            call: CallEnd::Answered,
            moves: run.moves,
            failures: self.failures.runs(index),
            spent: now.since(run.state.sent),
            pace: pace(&run, now, partial.events),
        };
        let (next, call) = match end {
            // The rule for versions may have changed since the item was sent.
            RunEnd::Complete if !self.limits.versions.permits(&partial) => {
                let run = run.retry(now, RETRY_DELAY, PartialText::default());
                (Slot::Waiting(run), CallEnd::Answered)
            }
            RunEnd::Complete => (Slot::Generated(run.finish(now, partial)), CallEnd::Answered),
            RunEnd::Impossible => {
                self.failures.record_impossible(index);
                (Slot::Finished(run.give_up()), CallEnd::Answered)
            }
            RunEnd::Failed => (self.fail(now, index, run, partial), CallEnd::Error),
            RunEnd::Refused => {
                let run = run.retry(now, REFUSAL_DELAY, partial);
                (Slot::Waiting(run), CallEnd::Refused)
            }
            RunEnd::Misdirected => {
                let run = run.retry(now, RETRY_DELAY, partial);
                (Slot::Waiting(run), CallEnd::Misdirected)
            }
            RunEnd::Moved => {
                let run = run.retry(now, Duration::ZERO, partial);
                (Slot::Waiting(run), CallEnd::Cancelled)
            }
            RunEnd::Broken(_) => {
                let run = run.retry(now, RETRY_DELAY, partial);
                (Slot::Waiting(run), CallEnd::Failed)
            }
            RunEnd::Crashed(_) => {
                let delay = crash_delay(run.crashes);
                let run = run.retry_after_crash(now, delay, partial);
                (Slot::Waiting(run), CallEnd::Failed)
            }
            // The text cannot continue with another version, so it starts from the beginning.
            RunEnd::WrongVersion => {
                let run = run.retry(now, REFUSAL_DELAY, PartialText::default());
                (Slot::Waiting(run), CallEnd::Refused)
            }
        };
        self.slots[index] = next;
        ended.call = call;
        Some(ended)
    }

    /// Counts a run at which a target failed, and returns the next state of the item.
    fn fail(
        &mut self,
        now: Time,
        index: usize,
        run: Run<Generating>,
        partial: PartialText,
    ) -> Slot {
        let failures = self.failures.record_run(index);
        match self.limits.is_exhausted(failures) {
            true => Slot::Finished(run.give_up()),
            false => Slot::Waiting(run.retry(now, RETRY_DELAY, partial)),
        }
    }

    /// Ends a scoring request and moves the item to its next state.
    pub fn end_scoring(
        &mut self,
        now: Time,
        id: RunId,
        end: &ScoreEnd,
    ) -> Option<(TargetName, CallEnd)> {
        let index = self.runs.remove(&id)?;
        let slot = self.slots.get_mut(index)?;
        let Slot::Scoring(run) = mem::replace(slot, Slot::Listed) else {
            return None;
        };
        let target = run.state.target.clone();
        let (next, call) = match end {
            ScoreEnd::Scored(_) if !self.limits.versions.permits(&run.state.partial) => {
                (Slot::Waiting(run.restart()), CallEnd::Answered)
            }
            ScoreEnd::Scored(score) => (
                Slot::Finished(run.complete(score.clone())),
                CallEnd::Answered,
            ),
            ScoreEnd::Failed => {
                self.failures.record_scoring(index);
                let run = run.retry(now, RETRY_DELAY);
                (Slot::Generated(run), CallEnd::Error)
            }
            ScoreEnd::Refused => (
                Slot::Generated(run.retry(now, REFUSAL_DELAY)),
                CallEnd::Refused,
            ),
            ScoreEnd::Misdirected => (
                Slot::Generated(run.retry(now, RETRY_DELAY)),
                CallEnd::Misdirected,
            ),
            ScoreEnd::Lost(_) | ScoreEnd::Crashed(_) => (
                Slot::Generated(run.retry(now, RETRY_DELAY)),
                CallEnd::Failed,
            ),
        };
        *slot = next;
        Some((target, call))
    }

    /// Replaces the limits after the route has changed. Texts that the new limits do not permit are
    /// discarded.
    pub fn set_limits(&mut self, limits: RunnerLimits) {
        self.limits = limits;
        let versions = limits.versions;
        for slot in &mut self.slots {
            *slot = match mem::replace(slot, Slot::Listed) {
                Slot::Waiting(run) if !versions.permits(&run.state.partial) => {
                    Slot::Waiting(run.restart())
                }
                Slot::Generated(run) if !versions.permits(&run.state.partial) => {
                    Slot::Waiting(run.restart())
                }
                other => other,
            };
        }
    }

    /// Returns the run of the largest item at a target that may still be moved.
    pub fn movable_run(&self, target: &TargetName) -> Option<RunId> {
        let runs = self.slots.iter().filter_map(|slot| match slot {
            Slot::Generating(run) => Some(run),
            _ => None,
        });
        let runs = runs.filter(|run| run.state.target == *target && run.moves < MAX_MOVES);
        let longest = runs.max_by_key(|run| run.item.expected_tokens);
        longest.map(|run| run.state.id)
    }

    /// Counts a move of the item of a run to another target.
    pub fn count_move(&mut self, id: RunId) {
        if let Some(index) = self.runs.get(&id)
            && let Some(Slot::Generating(run)) = self.slots.get_mut(*index)
        {
            run.moves += 1;
        }
    }

    /// Returns the scoring request of an attempt, or `None` if it is none.
    pub fn scorer(&self, id: RunId) -> Option<&Scorer> {
        match self.slots.get(*self.runs.get(&id)?)? {
            Slot::Scoring(run) => run.item.scorer.as_ref(),
            _ => None,
        }
    }

    /// Returns `true` if an attempt belongs to this job.
    pub fn has_run(&self, id: RunId) -> bool {
        self.runs.contains_key(&id)
    }
}

//! Runs the items of one batch job.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::Generating;
use crate::decision::batch::Journal;
use crate::decision::batch::Run;
use crate::decision::batch::RunEnd;
use crate::decision::batch::RunId;
use crate::decision::batch::ScoreEnd;
use crate::decision::batch::Scoring;
use crate::decision::batch::Texted;
use crate::decision::batch::VersionTerms;
use crate::decision::batch::Waiting;
use crate::decision::directory::CallEnd;
use crate::domain::batch::Batch;
use crate::domain::batch::Draft;
use crate::domain::batch::Item;
use crate::domain::batch::Outcome;
use crate::domain::batch::Partial;
use crate::domain::batch::Scorer;
use crate::domain::name::GroupName;
use crate::domain::name::ItemId;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Pause before an item goes to another target after a broken attempt.
const RETRY: Duration = Duration::from_millis(20);

/// Pause after a target refused an item without running it. The target itself pauses for longer.
const REFUSED: Duration = Duration::from_millis(20);

/// Most moves of one item away from slow targets.
const MOVES_MOST: u32 = 3;

/// Limits of the runs of a job.
#[derive(Clone, Copy, Debug)]
pub struct RunnerTerms {
    /// Failures after which an item is given up.
    pub attempts: u32,
    /// Time after which items are given up.
    pub until: Time,
    /// Which versions a text may hold.
    pub versions: VersionTerms,
}

/// What an item needs next.
#[derive(Clone, Debug)]
pub enum Task {
    /// A target that generates it.
    Generate {
        /// Position of the item in the job.
        index: usize,
        /// Targets that should not get it again.
        avoid: Vec<TargetName>,
        /// Group with a common prompt.
        group: Option<GroupName>,
    },
    /// A target that scores it.
    Score {
        /// Position of the item in the job.
        index: usize,
        /// The scoring request.
        scorer: Scorer,
    },
}

/// Milliseconds for each event at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// The target.
    pub target: TargetName,
    /// Milliseconds for an event.
    pub millis: f64,
}

/// A generation that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// The item.
    pub item: ItemId,
    /// The target.
    pub target: TargetName,
    /// What the end says of the target.
    pub call: CallEnd,
    /// Moves of the item to other targets before.
    pub moves: u32,
    /// Attempts at which a target failed before.
    pub failures: u32,
    /// Time since the item was sent to this target.
    pub spent: Duration,
    /// Pace of the events since the last message about them.
    pub pace: Option<Pace>,
}

/// The items of a job that this process runs.
#[derive(Debug)]
pub struct Runner {
    /// The submission.
    pub batch: Arc<Batch>,
    terms: RunnerTerms,
    pub(super) slots: Vec<Slot>,
    pub(super) runs: HashMap<RunId, usize>,
    /// Positions in the order of dispatch.
    order: Vec<usize>,
    /// Target of the last dispatch of each group.
    homes: HashMap<GroupName, TargetName>,
}

/// An item in its present state.
#[derive(Debug)]
pub(super) enum Slot {
    Waiting(Run<Waiting>),
    Generating(Run<Generating>),
    Texted(Run<Texted>),
    Scoring(Run<Scoring>),
    Finished(Arc<Outcome>),
    Listed,
}

impl Runner {
    /// Starts with the items that are not listed yet. Drafts whose versions fit are used.
    pub fn new(
        now: Time,
        batch: Arc<Batch>,
        terms: RunnerTerms,
        journal: &Journal,
        drafts: &[Draft],
    ) -> Self {
        let slot = |item: &Arc<Item>| {
            if journal.has(&item.id) {
                return Slot::Listed;
            }
            let fitting = drafts
                .iter()
                .filter(|d| d.id == item.id && terms.versions.fit(&d.partial));
            let best = fitting.max_by_key(|d| (d.whole, d.partial.events));
            let partial = best.map(|d| d.partial.clone()).unwrap_or_default();
            let run = Run::new(item.clone(), partial);
            match best.is_some_and(|d| d.whole) {
                true => Slot::Texted(run.finish(now)),
                false => Slot::Waiting(run),
            }
        };
        Self {
            slots: batch.items.iter().map(slot).collect(),
            order: dispatch_order(&batch.items),
            batch,
            terms,
            runs: HashMap::new(),
            homes: HashMap::new(),
        }
    }

    /// Returns what items need now, in the order in which they should get it.
    pub fn tasks(&mut self, now: Time) -> Vec<Task> {
        let mut tasks = Vec::new();
        for &index in &self.order {
            let done = |run: &Run<Texted>| run.item.scorer.is_none();
            if let Slot::Texted(run) = &self.slots[index]
                && done(run)
                && let Slot::Texted(run) = mem::replace(&mut self.slots[index], Slot::Listed)
            {
                self.slots[index] = Slot::Finished(run.complete());
            }
            match &self.slots[index] {
                Slot::Waiting(run) if now >= run.state.due => tasks.push(Task::Generate {
                    index,
                    avoid: run.state.avoid.clone(),
                    group: run.item.group.clone(),
                }),
                Slot::Texted(run) if now >= run.state.due => {
                    let scorer = run.item.scorer.clone();
                    tasks.extend(scorer.map(|scorer| Task::Score { index, scorer }));
                }
                _ => {}
            }
        }
        tasks
    }

    /// Returns the target where the prompt of a group was read last.
    pub fn home(&self, group: Option<&GroupName>) -> Option<TargetName> {
        self.homes.get(group?).cloned()
    }

    /// Sends a waiting item to a target. Returns the item with its text so far.
    pub fn generate(
        &mut self,
        now: Time,
        index: usize,
        id: RunId,
        target: TargetName,
    ) -> Option<(Arc<Item>, Partial)> {
        let slot = self.slots.get_mut(index)?;
        let Slot::Waiting(run) = mem::replace(slot, Slot::Listed) else {
            return None;
        };
        let item = run.item.clone();
        if let Some(group) = &item.group {
            self.homes.insert(group.clone(), target.clone());
        }
        let (run, partial) = run.start(now, id, target);
        *slot = Slot::Generating(run);
        self.runs.insert(id, index);
        Some((item, partial))
    }

    /// Sends the text of an item to a target that scores it.
    pub fn score(&mut self, index: usize, id: RunId, target: TargetName) {
        let Some(slot) = self.slots.get_mut(index) else {
            return;
        };
        match mem::replace(slot, Slot::Listed) {
            Slot::Texted(run) => {
                *slot = Slot::Scoring(run.start(id, target));
                self.runs.insert(id, index);
            }
            other => *slot = other,
        }
    }

    /// Takes in the text of a generation so far.
    pub fn advanced(&mut self, now: Time, id: RunId, partial: Partial) -> Option<Pace> {
        let Slot::Generating(run) = self.slots.get_mut(*self.runs.get(&id)?)? else {
            return None;
        };
        let pace = pace(run, now, partial.events)?;
        run.state.since = now;
        run.state.draft = partial;
        Some(pace)
    }

    /// Takes in the end of a generation.
    pub fn ended(
        &mut self,
        now: Time,
        id: RunId,
        end: &RunEnd,
        partial: Partial,
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
            failures: run.failures,
            spent: now.since(run.state.sent),
            pace: pace(&run, now, partial.events),
        };
        let (next, call) = match end {
            RunEnd::Complete => (Slot::Texted(run.finish(now, partial)), CallEnd::Answered),
            RunEnd::Impossible => (Slot::Finished(run.give_up()), CallEnd::Answered),
            RunEnd::Failed if run.failures + 1 >= self.terms.attempts => {
                (Slot::Finished(run.give_up()), CallEnd::Error)
            }
            RunEnd::Failed => {
                let run = run.retry(now, RETRY, partial, true);
                (Slot::Waiting(run), CallEnd::Error)
            }
            RunEnd::Refused => {
                let run = run.retry(now, REFUSED, partial, false);
                (Slot::Waiting(run), CallEnd::Refused)
            }
            RunEnd::Misdirected => {
                let run = run.retry(now, RETRY, partial, false);
                (Slot::Waiting(run), CallEnd::Misdirected)
            }
            RunEnd::Moved => {
                let run = run.retry(now, Duration::ZERO, partial, false);
                (Slot::Waiting(run), CallEnd::Dropped)
            }
            RunEnd::Broken(_) => {
                let run = run.retry(now, RETRY, partial, false);
                (Slot::Waiting(run), CallEnd::Failed)
            }
            // A text of one version cannot go on under another, so it starts again.
            RunEnd::WrongVersion => {
                let run = run.retry(now, REFUSED, Partial::default(), false);
                (Slot::Waiting(run), CallEnd::Refused)
            }
        };
        *slot = next;
        ended.call = call;
        Some(ended)
    }

    /// Takes in the end of a scoring request.
    pub fn scored(
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
            ScoreEnd::Scored(score) => (
                Slot::Finished(run.complete(score.clone())),
                CallEnd::Answered,
            ),
            ScoreEnd::Failed => (Slot::Texted(run.retry(now, RETRY, true)), CallEnd::Error),
            ScoreEnd::Refused => (
                Slot::Texted(run.retry(now, REFUSED, false)),
                CallEnd::Refused,
            ),
            ScoreEnd::Misdirected => (
                Slot::Texted(run.retry(now, RETRY, false)),
                CallEnd::Misdirected,
            ),
            ScoreEnd::Lost(_) => (Slot::Texted(run.retry(now, RETRY, false)), CallEnd::Failed),
        };
        *slot = next;
        Some((target, call))
    }

    /// Gives up items whose scoring failed too often, and all items once their time is over.
    pub fn give_up(&mut self, now: Time, scorings: u32) {
        let over = now >= self.terms.until;
        for slot in &mut self.slots {
            *slot = match mem::replace(slot, Slot::Listed) {
                Slot::Waiting(run) if over => Slot::Finished(run.give_up()),
                Slot::Texted(run) if over || run.state.rejections >= scorings => {
                    Slot::Finished(run.give_up())
                }
                other => other,
            };
        }
    }

    /// Returns the longest run at a target that can still move elsewhere.
    pub fn movable(&self, target: &TargetName) -> Option<RunId> {
        let there = self.slots.iter().filter_map(|slot| match slot {
            Slot::Generating(run) => Some(run),
            _ => None,
        });
        let there = there.filter(|run| run.state.target == *target && run.moves < MOVES_MOST);
        let longest = there.max_by_key(|run| run.item.size);
        longest.map(|run| run.state.id)
    }

    /// Counts a move of a run to another target.
    pub fn note_move(&mut self, id: RunId) {
        if let Some(index) = self.runs.get(&id)
            && let Some(Slot::Generating(run)) = self.slots.get_mut(*index)
        {
            run.moves += 1;
        }
    }

    /// Tells whether an attempt belongs to this job.
    pub fn owns(&self, id: RunId) -> bool {
        self.runs.contains_key(&id)
    }
}

/// Orders items so that the long ones of all groups come first, since groups end with them, and
/// those of one group follow each other. They share a target then, whose failure hits one group.
fn dispatch_order(items: &[Arc<Item>]) -> Vec<usize> {
    let mean = mean_size(items);
    let mut longest: HashMap<Option<&GroupName>, u64> = HashMap::new();
    for item in items {
        let most = longest.entry(item.group.as_ref()).or_default();
        *most = (*most).max(item.size);
    }
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|index| {
        let item = &items[*index];
        let group = item.group.as_ref();
        let most = longest.get(&group).copied().unwrap_or(0);
        (item.size < mean, Reverse(most), group, Reverse(item.size))
    });
    order
}

fn mean_size(items: &[Arc<Item>]) -> u64 {
    let count = u64::try_from(items.len().max(1)).unwrap_or(u64::MAX);
    items.iter().map(|item| item.size).sum::<u64>() / count
}

/// Returns the pace of a generation since the last message about it, if events came.
fn pace(run: &Run<Generating>, now: Time, events: u64) -> Option<Pace> {
    let new = events.saturating_sub(run.state.draft.events);
    let count = u32::try_from(new).unwrap_or(u32::MAX);
    let spent = now.since(run.state.since).as_secs_f64() * 1000.0;
    (count > 0).then(|| Pace {
        target: run.state.target.clone(),
        millis: spent / f64::from(count),
    })
}

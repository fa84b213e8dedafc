//! Finished results, drafts and listed items of a runner.

use std::collections::HashSet;
use std::mem;
use std::sync::Arc;

use crate::decision::batch::EncodedPage;
use crate::decision::batch::RunId;
use crate::decision::batch::runner::Runner;
use crate::decision::batch::runner::Slot;
use crate::domain::batch::Draft;
use crate::domain::batch::Outcome;
use crate::domain::batch::PartialText;
use crate::domain::name::GroupName;
use crate::domain::name::ItemId;
use crate::domain::name::TargetName;

/// Maximum encoded size of the results or drafts in one object, in bytes. An object holds at most one
/// megabyte.
const MAX_PAGE_BYTES: usize = 700 * 1024;

/// Kind of finished results, in ascending order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Completed {
    /// There are no finished results.
    Nothing,
    /// Items of groups that are still incomplete.
    PartialGroup,
    /// Items without a group.
    Ungrouped,
    /// All items of a group, for which a trainer waits.
    Group,
}

impl Runner {
    /// Returns the finished results for the next page, up to its size limit.
    pub fn finished(&self) -> Vec<Arc<Outcome>> {
        let mut page = EncodedPage::new(MAX_PAGE_BYTES);
        let finished = self.slots.iter().filter_map(|slot| match slot {
            Slot::Finished(outcome) => Some(outcome.clone()),
            _ => None,
        });
        let fitting = finished.take_while(|outcome| page.add(outcome.encoded_size()));
        fitting.collect()
    }

    /// Returns the texts of unlisted items, as many as fit into one object. The longest ones come
    /// first because they take the longest to generate again.
    pub fn drafts(&self) -> Vec<Draft> {
        let draft = |id: &ItemId, partial: &PartialText, whole: bool| Draft {
            id: id.clone(),
            partial: partial.clone(),
            whole,
        };
        let drafts = self.slots.iter().filter_map(|slot| match slot {
            Slot::Waiting(run) => Some(draft(&run.item.id, &run.state.partial, false)),
            Slot::Generating(run) => Some(draft(&run.item.id, &run.state.draft, false)),
            Slot::Generated(run) => Some(draft(&run.item.id, &run.state.partial, true)),
            Slot::Scoring(run) => Some(draft(&run.item.id, &run.state.partial, true)),
            Slot::Finished(outcome) if outcome.complete => Some(Draft::of_outcome(outcome)),
            Slot::Finished(_) | Slot::Listed => None,
        });
        let mut drafts: Vec<Draft> = drafts.filter(|d| d.partial.events > 0).collect();
        drafts.sort_by_key(|d| std::cmp::Reverse(d.partial.events));
        let mut remaining = MAX_PAGE_BYTES;
        drafts.retain(|draft| {
            let size = draft.encoded_size();
            let fits = remaining > size;
            remaining = remaining.saturating_sub(size);
            fits
        });
        drafts
    }

    /// Returns the most urgent kind of the finished results.
    pub fn completed(&self) -> Completed {
        let pending = |slot: &&Slot| !matches!(slot, Slot::Finished(_) | Slot::Listed);
        let group = |index: usize| self.batch.items[index].group.as_ref();
        let slots = || self.slots.iter().enumerate();
        let open: HashSet<&GroupName> = slots()
            .filter(|(_, slot)| pending(slot))
            .filter_map(|(index, _)| group(index))
            .collect();
        let finished = slots().filter(|(_, slot)| matches!(slot, Slot::Finished(_)));
        let of_each = finished.map(|(index, _)| match group(index) {
            Some(group) if open.contains(group) => Completed::PartialGroup,
            Some(_) => Completed::Group,
            None => Completed::Ungrouped,
        });
        of_each.max().unwrap_or(Completed::Nothing)
    }

    /// Returns `true` if a text is being scored or waits for it, so that a result is close.
    pub fn awaits_score(&self) -> bool {
        let mut slots = self.slots.iter();
        slots.any(|slot| matches!(slot, Slot::Generated(_) | Slot::Scoring(_)))
    }

    /// Marks items as listed. Returns the runs that are no longer needed, with their targets.
    pub fn mark_listed(&mut self, ids: &[ItemId]) -> Vec<(RunId, TargetName)> {
        let mut obsolete = Vec::new();
        for slot in &mut self.slots {
            let id = match slot {
                Slot::Waiting(run) => &run.item.id,
                Slot::Generating(run) => &run.item.id,
                Slot::Generated(run) => &run.item.id,
                Slot::Scoring(run) => &run.item.id,
                Slot::Finished(outcome) => &outcome.id,
                Slot::Listed => continue,
            };
            if !ids.contains(id) {
                continue;
            }
            match mem::replace(slot, Slot::Listed) {
                Slot::Generating(run) => obsolete.push((run.state.id, run.state.target)),
                Slot::Scoring(run) => obsolete.push((run.state.id, run.state.target)),
                _ => {}
            }
        }
        for (id, _) in &obsolete {
            self.runs.remove(id);
        }
        obsolete
    }

    /// Returns all running attempts and their targets.
    pub fn running(&self) -> Vec<(RunId, TargetName)> {
        let running = self.slots.iter().filter_map(|slot| match slot {
            Slot::Generating(run) => Some((run.state.id, run.state.target.clone())),
            Slot::Scoring(run) => Some((run.state.id, run.state.target.clone())),
            _ => None,
        });
        running.collect()
    }

    /// Returns `true` if every item is listed.
    pub fn is_done(&self) -> bool {
        self.slots.iter().all(|slot| matches!(slot, Slot::Listed))
    }
}

//! What a runner has finished, what it keeps of unfinished items, and what is listed.

use std::collections::HashSet;
use std::mem;
use std::sync::Arc;

use crate::decision::batch::RunId;
use crate::decision::batch::runner::Runner;
use crate::decision::batch::runner::Slot;
use crate::domain::batch::Draft;
use crate::domain::batch::Outcome;
use crate::domain::batch::Partial;
use crate::domain::name::GroupName;
use crate::domain::name::ItemId;
use crate::domain::name::TargetName;

/// Most bytes of results in one page. An object holds at most one megabyte.
const PAGE_MOST: usize = 700 * 1024;

/// What finished results complete, in the order of its urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Completed {
    /// There are none.
    Nothing,
    /// No group.
    Part,
    /// Items without a group.
    Single,
    /// A group, which its trainer waits for.
    Group,
}

impl Runner {
    /// Returns finished results for the next page.
    pub fn finished(&self) -> Vec<Arc<Outcome>> {
        let mut room = PAGE_MOST;
        let finished = self.slots.iter().filter_map(|slot| match slot {
            Slot::Finished(outcome) => Some(outcome.clone()),
            _ => None,
        });
        let fitting = finished.take_while(|outcome| {
            let fits = room > 0;
            room = room.saturating_sub(outcome.weight());
            fits
        });
        fitting.collect()
    }

    /// Returns the texts of items that are not listed, as many as fit into one object. The longest
    /// come first, since they would take the longest to generate again.
    pub fn drafts(&self) -> Vec<Draft> {
        let draft = |id: &ItemId, partial: &Partial, whole: bool| Draft {
            id: id.clone(),
            partial: partial.clone(),
            whole,
        };
        let drafts = self.slots.iter().filter_map(|slot| match slot {
            Slot::Waiting(run) => Some(draft(&run.item.id, &run.state.partial, false)),
            Slot::Generating(run) => Some(draft(&run.item.id, &run.state.draft, false)),
            Slot::Texted(run) => Some(draft(&run.item.id, &run.state.partial, true)),
            Slot::Scoring(run) => Some(draft(&run.item.id, &run.state.partial, true)),
            Slot::Finished(outcome) if outcome.complete => Some(Draft {
                id: outcome.id.clone(),
                partial: Partial {
                    text: outcome.text.to_string(),
                    // Only the order among the drafts depends on it, since the text is whole.
                    events: 1,
                    versions: outcome.versions.clone(),
                },
                whole: true,
            }),
            Slot::Finished(_) | Slot::Listed => None,
        });
        let mut drafts: Vec<Draft> = drafts.filter(|d| d.partial.events > 0).collect();
        drafts.sort_by_key(|d| std::cmp::Reverse(d.partial.events));
        let mut room = PAGE_MOST;
        drafts.retain(|d| {
            let fits = room > d.partial.text.len();
            room = room.saturating_sub(d.partial.text.len());
            fits
        });
        drafts
    }

    /// Tells what the finished results complete.
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
            Some(group) if open.contains(group) => Completed::Part,
            Some(_) => Completed::Group,
            None => Completed::Single,
        });
        of_each.max().unwrap_or(Completed::Nothing)
    }

    /// Notes that items are listed. Returns the runs that are no longer needed.
    pub fn listed(&mut self, ids: &[ItemId]) -> Vec<(RunId, TargetName)> {
        let mut needless = Vec::new();
        for slot in &mut self.slots {
            let id = match slot {
                Slot::Waiting(run) => &run.item.id,
                Slot::Generating(run) => &run.item.id,
                Slot::Texted(run) => &run.item.id,
                Slot::Scoring(run) => &run.item.id,
                Slot::Finished(outcome) => &outcome.id,
                Slot::Listed => continue,
            };
            if !ids.contains(id) {
                continue;
            }
            match mem::replace(slot, Slot::Listed) {
                Slot::Generating(run) => needless.push((run.state.id, run.state.target)),
                Slot::Scoring(run) => needless.push((run.state.id, run.state.target)),
                _ => {}
            }
        }
        for (id, _) in &needless {
            self.runs.remove(id);
        }
        needless
    }

    /// Returns all running attempts with their targets.
    pub fn running(&self) -> Vec<(RunId, TargetName)> {
        let running = self.slots.iter().filter_map(|slot| match slot {
            Slot::Generating(run) => Some((run.state.id, run.state.target.clone())),
            Slot::Scoring(run) => Some((run.state.id, run.state.target.clone())),
            _ => None,
        });
        running.collect()
    }

    /// Tells whether every item is listed.
    pub fn is_done(&self) -> bool {
        self.slots.iter().all(|slot| matches!(slot, Slot::Listed))
    }
}

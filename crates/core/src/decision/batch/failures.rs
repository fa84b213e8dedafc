//! Failures of the items of a job, which outlive its runner.
//!
//! Answers the end of a runner: the next one would send each item that always fails as often as the one
//! before. So failures are stored, and an item is sent again only once its last failure is.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::mem;

use crate::decision::batch::EncodedPage;
use crate::decision::batch::Generated;
use crate::decision::batch::Run;
use crate::decision::batch::runner::Runner;
use crate::decision::batch::runner::Slot;
use crate::domain::batch::ItemFailures;
use crate::domain::batch::Scorer;
use crate::domain::name::ItemId;
use crate::domain::time::Time;

/// Maximum encoded size of the failures in one object, in bytes. An object holds at most one megabyte.
const MAX_FAILURES_BYTES: usize = 700 * 1024;

/// Version of the failures of a job, which grows with each failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FailureVersion(u64);

/// Failures of the items of a job, by the position of the item.
#[derive(Debug, Default)]
pub(super) struct FailureLog {
    items: BTreeMap<usize, Count>,
    /// Version of the last failure.
    version: FailureVersion,
    /// Version up to which the failures are stored.
    stored: FailureVersion,
    /// Whether items wait for the record of their failures.
    pub(super) awaited: bool,
}

/// Failures of one item.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    runs: u32,
    scorings: u32,
    impossible: bool,
    /// Version of the last failure, or the initial one if it was loaded.
    version: FailureVersion,
}

impl FailureLog {
    /// Counts a run at which a target failed, and returns the number of them.
    pub(super) fn record_run(&mut self, index: usize) -> u32 {
        let count = self.advance(index);
        count.runs = count.runs.saturating_add(1);
        count.runs
    }

    /// Counts a scoring request at which a target failed.
    pub(super) fn record_scoring(&mut self, index: usize) {
        let count = self.advance(index);
        count.scorings = count.scorings.saturating_add(1);
    }

    /// Records that an item can never be done.
    pub(super) fn record_impossible(&mut self, index: usize) {
        self.advance(index).impossible = true;
    }

    /// Returns the number of runs of an item at which a target failed.
    pub(super) fn runs(&self, index: usize) -> u32 {
        self.items.get(&index).map_or(0, |count| count.runs)
    }

    /// Returns the number of scoring requests of an item at which a target failed.
    pub(super) fn scorings(&self, index: usize) -> u32 {
        self.items.get(&index).map_or(0, |count| count.scorings)
    }

    /// Returns `true` if an item must not be sent yet, because its last failure is not stored.
    pub(super) fn is_awaited(&self, index: usize) -> bool {
        let version = self.items.get(&index).map(|count| count.version);
        self.awaited && version.is_some_and(|version| version > self.stored)
    }

    fn advance(&mut self, index: usize) -> &mut Count {
        self.version.0 += 1;
        let count = self.items.entry(index).or_default();
        count.version = self.version;
        count
    }

    /// Learns failures that another runner has counted. Both may have counted the same ones, so the
    /// larger number counts.
    fn learn(&mut self, index: usize, known: &ItemFailures) -> Count {
        let count = self.items.entry(index).or_default();
        count.runs = count.runs.max(known.runs);
        count.scorings = count.scorings.max(known.scorings);
        count.impossible |= known.impossible;
        *count
    }
}

impl Runner {
    /// Sets whether items wait until their last failure is stored. They need not while no other process
    /// can take the job over.
    pub fn await_failures(&mut self, awaited: bool) {
        self.failures.awaited = awaited;
    }

    /// Returns the version of the failures if some of them are not stored.
    pub fn unstored_failures(&self) -> Option<FailureVersion> {
        let log = &self.failures;
        (log.version > log.stored).then_some(log.version)
    }

    /// Records that the failures of a version are stored.
    pub fn failures_stored(&mut self, version: FailureVersion) {
        let log = &mut self.failures;
        log.stored = log.stored.max(version);
    }

    /// Returns the failures of all items without a listed result, as many as fit into one object.
    pub fn failures(&self) -> Vec<ItemFailures> {
        let mut page = EncodedPage::new(MAX_FAILURES_BYTES);
        let unlisted = self.failures.items.iter().filter(|(index, _)| {
            let slot = self.slots.get(**index);
            slot.is_some_and(|slot| !matches!(slot, Slot::Listed))
        });
        let failures = unlisted.map(|(index, count)| ItemFailures {
            id: self.batch.items[*index].id.clone(),
            runs: count.runs,
            scorings: count.scorings,
            impossible: count.impossible,
        });
        failures
            .take_while(|failures| page.add(failures.encoded_size()))
            .collect()
    }

    /// Learns the failures that an earlier runner stored, and gives up what has failed too often.
    pub fn learn_failures(&mut self, known: &[ItemFailures]) {
        let items = self.batch.items.iter().enumerate();
        let positions: HashMap<ItemId, usize> = items
            .map(|(index, item)| (item.id.clone(), index))
            .collect();
        for failures in known {
            let Some(&index) = positions.get(&failures.id) else {
                continue;
            };
            let count = self.failures.learn(index, failures);
            if !count.impossible && !self.limits.is_exhausted(count.runs) {
                continue;
            }
            let slot = &mut self.slots[index];
            *slot = match mem::replace(slot, Slot::Listed) {
                Slot::Waiting(run) => Slot::Finished(run.give_up()),
                other => other,
            };
        }
    }

    /// Gives up items whose scoring failed too often, and all items without a running request after
    /// the deadline. `max_scorings` returns the limit of a scoring request, or `None` if it has none
    /// or it is not known.
    pub fn give_up(&mut self, now: Time, max_scorings: impl Fn(&Scorer) -> Option<u32>) {
        let expired = self.limits.has_expired(now);
        let failures = &self.failures;
        let exhausted = |index: usize, run: &Run<Generated>| {
            let max = run.item.scorer.as_ref().and_then(&max_scorings);
            max.is_some_and(|max| failures.scorings(index) >= max)
        };
        for (index, slot) in self.slots.iter_mut().enumerate() {
            *slot = match mem::replace(slot, Slot::Listed) {
                Slot::Waiting(run) if expired => Slot::Finished(run.give_up()),
                Slot::Generated(run) if expired || exhausted(index, &run) => {
                    Slot::Finished(run.give_up())
                }
                other => other,
            };
        }
    }
}

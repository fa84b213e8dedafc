//! Number of items that a process may send now, by its share of a short pool.

use std::collections::BTreeMap;

use crate::decision::share::Claimant;
use crate::decision::share::Division;

/// Tolerance of sums of fractions.
const EPSILON: f64 = 1e-6;

/// Slots that a claimant uses at this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// Number of items that wait.
    pub waiting: u32,
    /// Number of items that run.
    pub running: u32,
    /// Sequence number of the last send, by which equal claimants take turns.
    pub last_sent: u64,
}

/// Slots that the claimants of this process use.
pub type Uses = BTreeMap<Claimant, Use>;

impl Division {
    /// Returns the number of items that each claimant may send into `free` slots. The most urgent
    /// rank comes first, and in a rank the claimant that is furthest below its share. Slots that no
    /// other process is entitled to are granted beyond the shares. The result is in the order of the
    /// first grants, in which the claimants take turns.
    pub fn grants(&self, free: u32, mut uses: Uses) -> Vec<(Claimant, u32)> {
        let mut grants = Vec::new();
        let mut left = free;
        while left > 0
            && let Some(claimant) = self.next_entitled(&uses)
        {
            grant(&mut grants, &mut uses, claimant);
            left -= 1;
        }
        let mut surplus = left.saturating_sub(self.reserved);
        while surplus > 0
            && let Some(claimant) = self.next_waiting(&uses)
        {
            grant(&mut grants, &mut uses, claimant);
            surplus -= 1;
        }
        grants
    }

    /// Returns the next claimant that has an item waiting and is below its share.
    fn next_entitled(&self, uses: &Uses) -> Option<Claimant> {
        let is_below = |(claimant, usage): &(&Claimant, &Use)| {
            usage.waiting > 0 && self.deficit(claimant, usage) > EPSILON
        };
        let below = uses.iter().filter(is_below);
        let mut open = below.filter(|(claimant, _)| self.has_room(claimant.rank, uses));
        let (first, _) = open.next()?;
        let rank = first.rank;
        self.most_deserving(uses, rank, |claimant, usage| is_below(&(claimant, usage)))
    }

    /// Returns the next claimant that has an item waiting.
    fn next_waiting(&self, uses: &Uses) -> Option<Claimant> {
        let (first, _) = uses.iter().find(|(_, usage)| usage.waiting > 0)?;
        self.most_deserving(uses, first.rank, |_, usage| usage.waiting > 0)
    }

    /// Returns the claimant of a rank that is furthest below its share, and among equal ones that
    /// which has not sent for the longest time.
    fn most_deserving(
        &self,
        uses: &Uses,
        rank: u32,
        permitted: impl Fn(&Claimant, &Use) -> bool,
    ) -> Option<Claimant> {
        let members = uses.iter().filter(|(claimant, _)| claimant.rank == rank);
        let members = members.filter(|(claimant, usage)| permitted(claimant, usage));
        let best = members.min_by(|(a, a_use), (b, b_use)| {
            let (a_lacks, b_lacks) = (self.deficit(a, a_use), self.deficit(b, b_use));
            let order = b_lacks.total_cmp(&a_lacks);
            order.then(a_use.last_sent.cmp(&b_use.last_sent))
        });
        best.map(|(claimant, _)| claimant.clone())
    }

    /// Returns the slots that a claimant lacks, negative if it uses more than its share.
    fn deficit(&self, claimant: &Claimant, usage: &Use) -> f64 {
        self.share(claimant) - f64::from(usage.running)
    }

    /// Returns `true` if the claimants of a rank together use less than their slots. A part of a
    /// slot counts as one, so that a small share is served at all.
    fn has_room(&self, rank: u32, uses: &Uses) -> bool {
        let of_rank = |claimant: &Claimant| claimant.rank == rank;
        let shares = self.shares.iter().filter(|(c, _)| of_rank(c));
        let slots: f64 = shares.map(|(_, share)| share).sum();
        let uses = uses.iter().filter(|(c, _)| of_rank(c));
        let running: u32 = uses.map(|(_, usage)| usage.running).sum();
        f64::from(running) + EPSILON < slots
    }
}

fn grant(grants: &mut Vec<(Claimant, u32)>, uses: &mut Uses, claimant: Claimant) {
    if let Some(usage) = uses.get_mut(&claimant) {
        usage.waiting = usage.waiting.saturating_sub(1);
        usage.running += 1;
        // A claimant that was granted a slot comes after all others.
        usage.last_sent = u64::MAX;
    }
    match grants.iter_mut().find(|(granted, _)| *granted == claimant) {
        Some((_, count)) => *count += 1,
        None => grants.push((claimant, 1)),
    }
}

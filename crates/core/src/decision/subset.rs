//! Which targets an entry follows, so that the cost of reports does not grow with the product of
//! entries and targets.
//!
//! Every target is followed by the `FOLLOWERS` entries with the highest rendezvous hash for it, and
//! every entry also follows at least `LEAST` targets of each pool. With up to `FOLLOWERS` entries
//! each of them follows everything. When an entry comes or goes, only its own targets move.
//!
//! At 350 entries and 5,100 targets an entry follows 5,100 * 4 / 350 = 58 targets on average, and
//! a few more for small pools. Following all of them would cost each entry 5,100 reports a second.

use crate::domain::declare::PoolSpec;
use crate::domain::hash::BASIS;
use crate::domain::hash::fnv;
use crate::domain::name::HostName;
use crate::domain::name::TargetName;

/// Entries that follow each target. A target stays in use while any three of them are away.
pub const FOLLOWERS: usize = 4;

/// Targets of each pool that an entry follows at least, so that one failure leaves a choice.
pub const LEAST: usize = 2;

/// Returns the targets of a pool that entry `me` follows. `entries` are all live entries; it does
/// not matter whether `me` is among them.
pub fn followed<'a>(
    me: &HostName,
    entries: &[HostName],
    pool: &'a PoolSpec,
) -> Vec<&'a TargetName> {
    let targets = pool.targets.keys();
    if entries.iter().filter(|entry| *entry != me).count() < FOLLOWERS {
        return targets.collect();
    }
    let mut ranked: Vec<_> = targets.map(|t| (score(me, t), t)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let chosen = |(place, (own, target)): (usize, (u64, &'a TargetName))| {
        let wanted = place < LEAST || is_follower(me, own, entries, target);
        wanted.then_some(target)
    };
    ranked.into_iter().enumerate().filter_map(chosen).collect()
}

/// Tells whether fewer than `FOLLOWERS` other entries have a higher score for the target.
fn is_follower(me: &HostName, own: u64, entries: &[HostName], target: &TargetName) -> bool {
    let others = entries.iter().filter(|entry| *entry != me);
    let higher = others.filter(|entry| score(entry, target) > own);
    higher.take(FOLLOWERS).count() < FOLLOWERS
}

/// Returns the rendezvous hash of an entry and a target: FNV-1a over both names, then a mixing
/// step, since the high bits of FNV-1a differ little between similar names.
fn score(entry: &HostName, target: &TargetName) -> u64 {
    let names = [entry.as_str().as_bytes(), b"/", target.as_str().as_bytes()];
    let hash = names.into_iter().fold(BASIS, fnv);
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}

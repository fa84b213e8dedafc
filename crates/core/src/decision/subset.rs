//! Subsetting: selects the targets whose reports an entry follows, so that the cost of reports does
//! not grow with the product of entries and targets.
//!
//! Each target is followed by the `FOLLOWERS_PER_TARGET` entries with the highest rendezvous hash
//! for it, and each entry follows at least `MIN_POOL_TARGETS` targets of each pool. With up to
//! `FOLLOWERS_PER_TARGET` entries, each of them follows all targets. When an entry joins or leaves,
//! only the targets that it follows are reassigned.
//!
//! With 350 entries and 5,100 targets an entry follows 5,100 * 4 / 350 = 58 targets on average, and
//! a few more for small pools. All targets would mean 5,100 reports a second at each entry.

use crate::domain::declare::PoolSpec;
use crate::domain::hash::OFFSET_BASIS;
use crate::domain::hash::fnv1a;
use crate::domain::name::HostName;
use crate::domain::name::TargetName;

/// Number of entries that follow each target. A target stays in use while any three of them are
/// unavailable.
pub const FOLLOWERS_PER_TARGET: usize = 4;

/// Minimum number of targets of each pool that an entry follows, so that a choice remains if one
/// fails.
pub const MIN_POOL_TARGETS: usize = 2;

/// Returns the targets of a pool that the entry `me` follows. `entries` are all live entries, with
/// or without `me`.
pub fn followed_targets<'a>(
    me: &HostName,
    entries: &[HostName],
    pool: &'a PoolSpec,
) -> Vec<&'a TargetName> {
    let targets = pool.targets.keys();
    if entries.iter().filter(|entry| *entry != me).count() < FOLLOWERS_PER_TARGET {
        return targets.collect();
    }
    let mut ranked: Vec<_> = targets.map(|t| (score(me, t), t)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let chosen = |(place, (own, target)): (usize, (u64, &'a TargetName))| {
        let wanted = place < MIN_POOL_TARGETS || is_follower(me, own, entries, target);
        wanted.then_some(target)
    };
    ranked.into_iter().enumerate().filter_map(chosen).collect()
}

/// Returns `true` if fewer than `FOLLOWERS_PER_TARGET` other entries have a higher score for the
/// target.
fn is_follower(me: &HostName, own: u64, entries: &[HostName], target: &TargetName) -> bool {
    let others = entries.iter().filter(|entry| *entry != me);
    let higher = others.filter(|entry| score(entry, target) > own);
    higher.take(FOLLOWERS_PER_TARGET).count() < FOLLOWERS_PER_TARGET
}

/// Returns the rendezvous hash of an entry and a target: FNV-1a over both names and a mixing step,
/// since the high bits of FNV-1a differ little between similar names.
fn score(entry: &HostName, target: &TargetName) -> u64 {
    let names = [entry.as_str().as_bytes(), b"/", target.as_str().as_bytes()];
    let hash = names.into_iter().fold(OFFSET_BASIS, fnv1a);
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}

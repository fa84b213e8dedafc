//! Tests of the subset of targets that an entry follows.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use sardinepath_core::decision::subset::FOLLOWERS_PER_TARGET;
use sardinepath_core::decision::subset::MIN_POOL_TARGETS;
use sardinepath_core::decision::subset::followed_targets;
use sardinepath_core::domain::declare::PoolSpec;
use sardinepath_core::domain::declare::TargetKind;
use sardinepath_core::domain::declare::TargetSpec;
use sardinepath_core::domain::name::HostName;

fn entries(count: usize) -> Vec<HostName> {
    (0..count).map(|n| format!("entry-{n}").into()).collect()
}

fn pool(targets: usize) -> PoolSpec {
    let spec = TargetSpec {
        agent: "127.0.0.1:7000".parse().unwrap(),
        centre: "cx1".into(),
        fences: false,
    };
    PoolSpec {
        kind: TargetKind::Plain,
        model: None,
        targets: (0..targets)
            .map(|n| (format!("t{n}").into(), spec.clone()))
            .collect(),
        floor: 0,
    }
}

/// Returns the entries that follow each target.
fn followers(entries: &[HostName], pool: &PoolSpec) -> BTreeMap<String, BTreeSet<HostName>> {
    let mut all: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for entry in entries {
        for target in followed_targets(entry, entries, pool) {
            let set = all.entry(target.to_string()).or_default();
            set.insert(entry.clone());
        }
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against targets with too few followers, and entries that follow no target of a pool.
    #[test]
    fn every_target_has_followers_and_every_entry_has_targets(
        count in 1_usize..40,
        targets in 1_usize..60,
    ) {
        let (entries, pool) = (entries(count), pool(targets));

        let followers = followers(&entries, &pool);

        prop_assert_eq!(followers.len(), targets);
        prop_assert!(followers.values().all(|f| f.len() >= FOLLOWERS_PER_TARGET.min(count)));
        for entry in &entries {
            let own = followed_targets(entry, &entries, &pool).len();
            prop_assert!(own >= MIN_POOL_TARGETS.min(targets));
        }
    }

    /// Guards against entries that drop targets when another entry restarts.
    #[test]
    fn entry_that_leaves_takes_no_target_from_the_others(
        count in 6_usize..40,
        gone in 0_usize..6,
    ) {
        let (before, pool) = (entries(count), pool(50));
        let mut after = before.clone();
        after.remove(gone);

        for entry in &after {
            let old: BTreeSet<_> = followed_targets(entry, &before, &pool).into_iter().collect();
            let new: BTreeSet<_> = followed_targets(entry, &after, &pool).into_iter().collect();
            prop_assert!(old.is_subset(&new), "{} dropped targets", entry);
        }
    }
}

/// Guards against a cost that grows with the number of all targets, and against an uneven split,
/// with 350 entries and 5,100 targets.
#[test]
fn entries_share_the_targets_at_full_size() {
    let (entries, pool) = (entries(350), pool(5_100));
    let average = 5_100 * FOLLOWERS_PER_TARGET / 350;

    let counts: Vec<_> = entries
        .iter()
        .step_by(10)
        .map(|entry| followed_targets(entry, &entries, &pool).len())
        .collect();

    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*least >= average / 2 && *most <= average * 2, "{counts:?}");
}

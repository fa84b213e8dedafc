//! Property tests of the configuration of a node with replayed, reordered and skipped changes.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::domain::declare::TeamTree;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::domain::name::TeamName;
use serde_json::json;

const TEAMS: [&str; 3] = ["print", "pumps", "ledger"];

/// Change to a team at one revision.
#[derive(Clone, Debug)]
enum Change {
    Keep,
    Withdraw,
    Remove,
}

fn key(team: &str) -> KeyDigest {
    KeyDigest::of(team.as_bytes())
}

fn state(team: &str, change: &Change, revision: u64) -> (TeamName, TeamState) {
    let withdrawn = matches!(change, Change::Withdraw);
    let digest = String::from(key(team));
    let tree: TeamTree = serde_json::from_value(json!({
        "scheme": "slug",
        "workspaces": {"main": {}},
        "keys": {"app": {"workspace": "main", "digest": digest, "withdrawn": withdrawn}},
    }))
    .unwrap();
    let tree = (!matches!(change, Change::Remove)).then(|| Arc::new(tree));
    let revision = Revision(revision);
    (team.into(), TeamState { revision, tree })
}

/// Generates the team and the change of each revision, from 1.
fn history() -> impl Strategy<Value = Vec<(usize, Change)>> {
    let change = (0..3_u8).prop_map(|n| match n {
        0 => Change::Keep,
        1 => Change::Withdraw,
        _ => Change::Remove,
    });
    proptest::collection::vec((0..TEAMS.len(), change), 1..30)
}

fn states(history: &[(usize, Change)]) -> Vec<(TeamName, TeamState)> {
    let numbered = history.iter().zip(1..);
    numbered
        .map(|((team, change), revision)| state(TEAMS[*team], change, revision))
        .collect()
}

/// Returns the last state of each team up to a revision, as in a listing.
fn listing(states: &[(TeamName, TeamState)], upto: usize) -> Vec<(TeamName, TeamState)> {
    let last: BTreeMap<_, _> = states[..upto].iter().cloned().collect();
    let present = last.into_iter().filter(|(_, state)| state.tree.is_some());
    present.collect()
}

proptest! {
    /// Guards against a replayed or reordered change that reverts a team to an older state.
    #[test]
    fn teams_never_go_back(history in history(), order in proptest::collection::vec(any::<usize>(), 1..60)) {
        let states = states(&history);
        let mut config = Config::default();
        let mut seen = BTreeMap::new();
        for index in order {
            let (team, state) = states[index % states.len()].clone();
            let newest = seen.entry(team.clone()).or_insert(state.revision);
            *newest = state.revision.max(*newest);
            let before = config.revision();

            config.merge(team.clone(), state);

            prop_assert!(config.revision() >= before);
            prop_assert_eq!(config.teams()[&team].revision, seen[&team]);
        }
    }

    /// Guards against a node that keeps a team or key because it missed the removal or withdrawal.
    #[test]
    fn listing_makes_up_for_skipped_changes(history in history(), kept in any::<u32>(), late in any::<usize>()) {
        let states = states(&history);
        let mut config = Config::default();
        for (i, (team, state)) in states.iter().enumerate() {
            if kept >> (i % 32) & 1 == 1 {
                config.merge(team.clone(), state.clone());
            }
        }
        let all = states.len();

        config.merge_listing(listing(&states, all), &[], Revision(all as u64));
        let upto = late % (all + 1);
        config.merge_listing(listing(&states, upto), &[], Revision(upto as u64));

        let present: BTreeMap<_, _> = listing(&states, all).into_iter().collect();
        for team in TEAMS {
            let stored = present.get(team).and_then(|state| state.tree.clone());
            prop_assert_eq!(config.tree(&team.into()), stored.as_deref());
            let valid = stored.is_some_and(|tree| !tree.keys["app"].withdrawn);
            prop_assert_eq!(config.workspace_of(&key(team)).is_some(), valid);
        }
    }
}

/// Guards against a withdrawn digest that the declaration of another team reactivates.
#[test]
fn digest_withdrawn_in_one_team_is_in_force_in_none() {
    let mut config = Config::default();
    let (_, valid) = state("print", &Change::Keep, 1);
    let (_, withdrawn) = state("print", &Change::Withdraw, 2);

    config.merge("print".into(), valid);
    config.merge("pumps".into(), withdrawn);

    assert_eq!(config.workspace_of(&key("print")), None);
}

/// Guards against a key whose requests are attributed to either of two workspaces.
#[test]
fn digest_of_two_workspaces_is_in_force_in_none() {
    let mut config = Config::default();
    let (_, first) = state("print", &Change::Keep, 1);
    let (_, second) = state("print", &Change::Keep, 2);

    config.merge("print".into(), first);
    config.merge("pumps".into(), second);

    assert_eq!(config.workspace_of(&key("print")), None);
}

/// Guards against an older listing that restores a team which a newer one no longer contains. A
/// node that missed the creation of the team has no state to compare with.
#[test]
fn older_listing_does_not_bring_back_a_removed_team() {
    let mut config = Config::default();
    let created = state("print", &Change::Keep, 1);

    config.merge_listing(Vec::new(), &[], Revision(2));
    config.merge_listing(vec![created.clone()], &[], Revision(1));
    config.merge(created.0, created.1);

    assert!(config.tree(&"print".into()).is_none());
}

/// Guards against a team that is treated as removed because its new tree cannot be read.
#[test]
fn unreadable_team_keeps_its_last_accepted_state() {
    let mut config = Config::default();
    let (team, created) = state("print", &Change::Keep, 1);
    config.merge(team.clone(), created);

    config.merge_listing(Vec::new(), std::slice::from_ref(&team), Revision(2));

    assert!(config.tree(&team).is_some());
}

//! Tests of the checks of declaration sets and of the plan of an apply.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;

use sardinepath_core::decision::config::apply::Apply;
use sardinepath_core::decision::config::apply::Ready;
use sardinepath_core::decision::config::apply::Settled;
use sardinepath_core::decision::config::apply::Step;
use sardinepath_core::decision::config::apply::Stored;
use sardinepath_core::decision::config::apply::Update;
use sardinepath_core::decision::config::check::Trees;
use sardinepath_core::decision::config::check::check;
use sardinepath_core::domain::declare::TeamTree;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::port::object::ObjectError;
use serde_json::Value;
use serde_json::json;

fn digest(key: &str) -> String {
    String::from(KeyDigest::of(key.as_bytes()))
}

fn valid() -> Value {
    json!({
        "scheme": "slug",
        "workspaces": {"dream-diary": {}},
        "keys": {"app": {"workspace": "dream-diary", "digest": digest("app")}},
        "pools": {"orders": {"kind": "plain", "targets": {
            "orders-1": {"agent": "127.0.0.1:7001", "centre": "cx1"}}}},
        "routes": {"orders": {"pool": "orders", "access": {"workspaces": ["dream-diary"]}}},
    })
}

fn tree(value: Value) -> TeamTree {
    serde_json::from_value(value).unwrap()
}

/// Returns the valid tree with the value at a JSON pointer replaced or added.
fn valid_with(pointer: &str, value: Value) -> TeamTree {
    let mut root = valid();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    let parent = root.pointer_mut(parent).unwrap();
    parent[field] = value;
    tree(root)
}

fn print(tree: TeamTree) -> Trees {
    Trees::from([("print".into(), tree)])
}

fn fault_paths(set: &Trees, stored: &Trees) -> Vec<String> {
    let faults = check(set, stored);
    faults.iter().map(|fault| fault.path.join("/")).collect()
}

fn update(base: Revision) -> Update<Ready> {
    let stored = Stored::from([("print".into(), (base, tree(valid())))]);
    let set = print(valid_with("/workspaces/ledger", json!({})));
    let checked = Apply::new(set, BTreeMap::new()).check(&stored).unwrap();
    checked.plan(&stored).unwrap().updates()[0].clone()
}

fn lost() -> Result<Revision, ObjectError> {
    Err(ObjectError::Unknown("no answer".to_owned()))
}

/// Guards against a check that rejects valid declarations.
#[test]
fn valid_set_has_no_fault() {
    let set = print(tree(valid()));

    assert_eq!(fault_paths(&set, &Trees::new()), Vec::<String>::new());
}

/// Guards against an invalid value that is accepted, or reported at another path.
#[test]
fn each_invalid_value_is_a_fault_at_its_path() {
    let target = json!({"t-1": {"agent": "0.0.0.0:0", "centre": "cx1"}});
    let cases = [
        ("/workspaces/WS-00417", json!({}), "workspaces/WS-00417"),
        ("/workspaces/a.b", json!({}), "workspaces/a.b"),
        (
            "/workspaces/zero",
            json!({"share": 0}),
            "workspaces/zero/share",
        ),
        ("/keys/app/workspace", json!("none"), "keys/app/workspace"),
        ("/routes/orders/pool", json!("none"), "routes/orders/pool"),
        (
            "/routes/orders/deadline",
            json!(601),
            "routes/orders/deadline",
        ),
        (
            "/routes/orders/access",
            json!({"open": "none"}),
            "routes/orders/access/open",
        ),
        (
            "/routes/orders/access",
            json!({"workspaces": []}),
            "routes/orders/access/workspaces",
        ),
        ("/pools/orders/kind", json!("model"), "pools/orders"),
        ("/pools/orders/model", json!("small"), "pools/orders/model"),
        ("/pools/orders/floor", json!(2), "pools/orders/floor"),
        (
            "/pools/orders/targets",
            target,
            "pools/orders/targets/t-1/agent",
        ),
    ];
    for (pointer, value, path) in cases {
        let set = print(valid_with(pointer, value));

        let paths = fault_paths(&set, &Trees::new());

        assert_eq!(paths, vec![format!("teams/print/{path}")], "{pointer}");
    }
}

/// Guards against a key that is valid for two teams, or that is valid in one and withdrawn in
/// another.
#[test]
fn shared_digest_is_a_fault_across_teams() {
    let set = print(tree(valid()));
    let mut other = valid();
    other["pools"] = json!({});
    other["routes"] = json!({});
    other["keys"]["app"]["withdrawn"] = json!(true);
    let stored = Trees::from([("pumps".into(), tree(other))]);

    let paths = fault_paths(&set, &stored);

    assert_eq!(paths, vec!["teams/print/keys/app/digest"]);
}

/// Guards against two targets whose load and reports are counted as one.
#[test]
fn target_name_with_two_agents_is_a_fault() {
    let set = print(tree(valid()));
    let mut other = valid();
    other["keys"] = json!({});
    other["pools"]["orders"]["targets"]["orders-1"]["agent"] = json!("127.0.0.1:7002");
    let stored = Trees::from([("pumps".into(), tree(other))]);

    let paths = fault_paths(&set, &stored);

    assert_eq!(paths, vec!["teams/print/pools/orders/targets/orders-1"]);
}

/// Guards against an older file that reactivates a withdrawn key.
#[test]
fn older_file_cannot_revive_or_forget_a_withdrawn_key() {
    let stored = print(valid_with("/keys/app/withdrawn", json!(true)));
    let other = json!({"workspace": "dream-diary", "digest": digest("other")});
    let older = [
        (tree(valid()), "teams/print/keys/app"),
        (valid_with("/keys", json!({})), "teams/print/keys/app"),
        (
            valid_with("/keys/app", other),
            "teams/print/keys/app/digest",
        ),
    ];
    for (older, path) in older {
        let paths = fault_paths(&print(older), &stored);

        assert_eq!(paths, vec![path]);
    }
}

/// Guards against an apply that silently undoes a change made since its base was read.
#[test]
fn changed_base_is_a_conflict_with_the_newer_revision() {
    let stored = Stored::from([("print".into(), (Revision(9), tree(valid())))]);
    let base = BTreeMap::from([("print".into(), Revision(7))]);
    let checked = Apply::new(print(tree(valid())), base).check(&stored);

    let conflict = checked.unwrap().plan(&stored).unwrap_err();

    assert_eq!(
        (conflict.base, conflict.found),
        (Revision(7), Some(Revision(9)))
    );
}

/// Guards against an update that is reported as failed although it took effect.
#[test]
fn lost_answer_is_resolved_by_what_is_stored() {
    let update = update(Revision(7));
    let own = update.tree().clone();
    let Step::ReadBack(unsure) = update.answered(lost()) else {
        panic!("a lost answer must be read back");
    };

    let step = unsure.read_back(Ok(Some((Revision(8), own))));

    assert!(matches!(step, Step::Settled(Settled::Applied(Revision(8)))));
}

/// Guards against a lost update that is reported as failed and takes effect later.
#[test]
fn late_arrival_of_a_lost_update_counts_as_applied() {
    let update = update(Revision(7));
    let own = update.tree().clone();
    let old = tree(valid());
    let Step::ReadBack(unsure) = update.answered(lost()) else {
        panic!("a lost answer must be read back");
    };
    let Step::SendAgain(again) = unsure.read_back(Ok(Some((Revision(7), old)))) else {
        panic!("an unchanged object must lead to another send");
    };
    let answer = Err(ObjectError::Conflict(Some(Revision(8))));
    let Step::ReadBack(unsure) = again.answered(answer) else {
        panic!("a conflict after a lost answer must be read back");
    };

    let step = unsure.read_back(Ok(Some((Revision(8), own))));

    assert!(matches!(step, Step::Settled(Settled::Applied(Revision(8)))));
}

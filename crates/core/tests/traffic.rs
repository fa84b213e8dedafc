//! Tests of admission: shares of a full pool, withdrawn keys, deadlines and token rates.
#![allow(clippy::unwrap_used, missing_docs)]

mod traffic_support;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::declare::WorkspaceSpec;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::error::RunState;
use sardinepath_core::domain::time::Time;

use crate::traffic_support::FAR_FUTURE;
use crate::traffic_support::SECOND;
use crate::traffic_support::actions;
use crate::traffic_support::ask;
use crate::traffic_support::config;
use crate::traffic_support::failed;
use crate::traffic_support::granted_target;
use crate::traffic_support::report;
use crate::traffic_support::traffic;
use crate::traffic_support::tree;
use crate::traffic_support::workspace;

/// Guards against a busy workspace that takes service from a quiet one. With twice the demand and
/// longer answers it must get no more than its share while the other one has waiting requests.
#[test]
fn backlogged_workspaces_are_served_by_their_shares() {
    let spec = WorkspaceSpec {
        queue: 1000,
        ..WorkspaceSpec::default()
    };
    let double = WorkspaceSpec {
        share: 2,
        ..spec.clone()
    };
    let mut traffic = traffic(1, 4, &[("busy", spec), ("quiet", double)]);
    let mut owner = HashMap::new();
    for n in 0..600 {
        let name = if n % 3 == 0 { "quiet" } else { "busy" };
        owner.insert(traffic.admit(Time(0), ask(name, FAR_FUTURE)), name);
    }

    let mut served: HashMap<&str, u64> = HashMap::new();
    let mut running: Vec<TicketKey> = vec![];
    for step in 1..=200 {
        for action in actions(&mut traffic) {
            match action {
                Action::Grant(ticket, ..) => running.push(ticket),
                other => panic!("unexpected {other:?}"),
            }
        }
        let ticket = running.remove(0);
        let name = owner[&ticket];
        let tokens = if name == "busy" { 300 } else { 100 };
        *served.entry(name).or_default() += tokens;
        let now = Time(step * 10);
        traffic.handle_report(now, report(0, 4));
        traffic.finish(now, ticket, &Outcome::Complete(tokens));
    }

    let share = served["quiet"] as f64 / served["busy"] as f64;
    assert!((1.8..2.2).contains(&share), "shares are {served:?}");
}

/// Guards against a workspace that returns to a full pool and reaches its share only after all
/// running requests of others have ended. It must get the next free slots.
#[test]
fn workspace_that_comes_back_gets_the_next_slots_up_to_its_share() {
    let spec = WorkspaceSpec {
        queue: 1000,
        ..WorkspaceSpec::default()
    };
    let mut traffic = traffic(1, 8, &[("busy", spec.clone()), ("quiet", spec)]);
    for _ in 0..100 {
        traffic.admit(Time(0), ask("busy", FAR_FUTURE));
    }
    let running = actions(&mut traffic).into_iter().map(|a| result_of(a).0);
    let running: Vec<_> = running.collect();
    let quiet: HashSet<_> = (0..20)
        .map(|_| traffic.admit(Time(1), ask("quiet", FAR_FUTURE)))
        .collect();

    let mut next = vec![];
    for ticket in &running[..4] {
        traffic.finish(Time(2), *ticket, &Outcome::Complete(16));
        traffic.handle_report(Time(2), report(0, 8));
        next.extend(actions(&mut traffic).into_iter().map(|a| result_of(a).0));
    }

    let own = next.iter().filter(|ticket| quiet.contains(ticket)).count();
    assert_eq!((own, next.len()), (4, 4), "quiet requests among the next");
}

/// Guards against slots that are wasted on answers that cannot be complete by their deadline while
/// requests with enough time wait.
#[test]
fn request_without_time_for_its_answer_is_not_started() {
    let mut traffic = traffic(1, 1, &[("app", WorkspaceSpec::default())]);
    let mut now = Time(0);
    for _ in 0..8 {
        let ticket = traffic.admit(now, ask("app", FAR_FUTURE));
        granted_target(&mut traffic, ticket);
        now = Time(now.0 + 2 * SECOND);
        traffic.handle_report(now, report(0, 1));
        traffic.finish(now, ticket, &Outcome::Complete(100));
    }
    let running = traffic.admit(now, ask("app", FAR_FUTURE));
    granted_target(&mut traffic, running);
    let short = traffic.admit(now, ask("app", now.0 + SECOND));
    let long = traffic.admit(now, ask("app", FAR_FUTURE));

    let later = Time(now.0 + 900);
    traffic.tick(later);
    traffic.handle_report(later, report(0, 1));
    traffic.finish(later, running, &Outcome::Complete(100));

    let refusal = Action::Refuse(short, Failure::from(ErrorKind::DeadlineInQueue));
    assert_eq!(traffic.next_action(), Some(refusal));
    granted_target(&mut traffic, long);
}

/// Guards against an entry that uses more of a full pool than its share. With equal demand at two
/// entries, neither may fill the pool alone.
#[test]
fn entry_uses_its_part_of_a_full_pool() {
    let spec = WorkspaceSpec {
        concurrency: 1000,
        ..WorkspaceSpec::default()
    };
    let workspaces = [("here", spec.clone()), ("there", spec)];
    let mut traffic = traffic(2, 8, &workspaces);
    let pool = ask("here", FAR_FUTURE).pool;
    let other = BTreeMap::from([(workspace("there"), 50)]);
    traffic.count_demand();
    traffic.set_demand(Time(0), &BTreeMap::from([(pool.clone(), other.clone())]));

    let asks: Vec<_> = (0..50).map(|_| ask("here", FAR_FUTURE)).collect();
    let before = asks.into_iter().map(|ask| traffic.admit(Time(0), ask));
    let before: Vec<_> = before.collect();
    let early = actions(&mut traffic).len();
    let mut all = traffic.count_demand();
    all.get_mut(&pool).unwrap().extend(other);
    traffic.set_demand(Time(1), &all);
    for ticket in &before[..early] {
        traffic.finish(Time(2), *ticket, &Outcome::Complete(16));
    }
    (0..2).for_each(|t| traffic.handle_report(Time(2), report(t, 8)));

    let late = actions(&mut traffic);
    assert_eq!(late.len(), 8, "half of 16 slots: {late:?}");
}

/// Guards against an entry that stays limited by the demand of entries that no longer report it.
#[test]
fn old_demand_does_not_limit_an_entry() {
    let mut traffic = traffic(1, 8, &[("here", WorkspaceSpec::default())]);
    let other = BTreeMap::from([(workspace("there"), 50)]);
    let pool = ask("here", FAR_FUTURE).pool;
    traffic.set_demand(Time(0), &BTreeMap::from([(pool, other)]));
    for _ in 0..8 {
        traffic.admit(Time(0), ask("here", FAR_FUTURE));
    }
    let limited = actions(&mut traffic).len();

    traffic.handle_report(Time(6 * SECOND), report(0, 8));

    assert_eq!((limited, actions(&mut traffic).len()), (1, 7));
}

/// Guards against a withdrawn key whose waiting requests still start or whose running requests
/// continue.
#[test]
fn withdrawal_refuses_waiting_and_revokes_running_requests() {
    let spec = WorkspaceSpec {
        concurrency: 1,
        ..WorkspaceSpec::default()
    };
    let workspaces = [("app", spec)];
    let mut traffic = traffic(1, 10, &workspaces);
    let running = traffic.admit(Time(0), ask("app", FAR_FUTURE));
    let waiting = traffic.admit(Time(0), ask("app", FAR_FUTURE));
    granted_target(&mut traffic, running);

    traffic.configure(Time(1), config(2, tree(1, &workspaces, true)));
    let late = traffic.admit(Time(2), ask("app", FAR_FUTURE));

    let not_run = |kind| Failure {
        run: RunState::NotRun,
        ..Failure::from(kind)
    };
    let expected = HashMap::from([
        (running, Some(Failure::from(ErrorKind::KeyWithdrawn))),
        (waiting, Some(not_run(ErrorKind::KeyWithdrawn))),
        (late, Some(not_run(ErrorKind::BadKey))),
    ]);
    let told: HashMap<_, _> = actions(&mut traffic).into_iter().map(result_of).collect();
    assert_eq!(told, expected);
}

/// Returns the ticket of an action and its failure, or `None` for a grant.
fn result_of(action: Action) -> (TicketKey, Option<Failure>) {
    match action {
        Action::Grant(key, ..) => (key, None),
        Action::Refuse(key, failure) | Action::Revoke(key, failure) => (key, Some(failure)),
    }
}

/// Guards against a request that waits past its deadline, or too long for a pool without a serving
/// target.
#[test]
fn waiting_requests_end_in_time() {
    let mut traffic = traffic(1, 1, &[("app", WorkspaceSpec::default())]);
    let running = traffic.admit(Time(0), ask("app", FAR_FUTURE));
    let waiting = traffic.admit(Time(0), ask("app", SECOND));
    granted_target(&mut traffic, running);
    traffic.tick(Time(999));
    let early = actions(&mut traffic);

    traffic.tick(Time(SECOND));
    let without_target = traffic.admit(Time(10 * SECOND), ask("app", FAR_FUTURE));
    traffic.tick(Time(12 * SECOND));

    assert_eq!(early, vec![]);
    let expected = vec![
        Action::Refuse(waiting, Failure::from(ErrorKind::DeadlineInQueue)),
        Action::Refuse(without_target, Failure::from(ErrorKind::NoTarget)),
    ];
    assert_eq!(actions(&mut traffic), expected);
}

/// Guards against requests of a workspace that are admitted although its token rate is used up.
#[test]
fn token_rate_refuses_with_the_time_to_come_back() {
    let spec = WorkspaceSpec {
        rate: 100,
        ..WorkspaceSpec::default()
    };
    let mut traffic = traffic(1, 100, &[("app", spec)]);
    let ticket = traffic.admit(Time(0), ask("app", FAR_FUTURE));
    granted_target(&mut traffic, ticket);
    traffic.finish(Time(0), ticket, &Outcome::Complete(1500));

    let refused = traffic.admit(Time(0), ask("app", FAR_FUTURE));
    let refusal = actions(&mut traffic);
    traffic.handle_report(Time(6 * SECOND), report(0, 100));
    let later = traffic.admit(Time(6 * SECOND), ask("app", FAR_FUTURE));

    let failure = Failure {
        retry_after: Some(6),
        ..Failure::from(ErrorKind::RateLimited)
    };
    assert_eq!(refusal, vec![Action::Refuse(refused, failure)]);
    granted_target(&mut traffic, later);
}

/// Performs one step of the property test: a new request, an end, a retry, a report or a tick.
fn step(traffic: &mut Traffic, now: Time, op: u8, pick: usize, running: &mut Vec<TicketKey>) {
    let chosen = (!running.is_empty()).then(|| pick % running.len());
    match (op % 8, chosen) {
        (0..=2, _) => {
            let name = ["a", "b", "c"][pick % 3];
            traffic.admit(now, ask(name, now.0 + u64::from(op) * 140));
        }
        (3, Some(at)) => {
            let key = running.swap_remove(at);
            traffic.finish(now, key, &Outcome::Complete(u64::from(op)));
        }
        (4, Some(at)) => {
            let key = running.swap_remove(at);
            traffic.retry(now, key, Failure::from(ErrorKind::Unreachable));
        }
        (5, Some(at)) => {
            let key = running.swap_remove(at);
            traffic.finish(now, key, &failed(ErrorKind::TargetFailed));
        }
        (6, _) => traffic.handle_report(now, report(pick % 3, 2)),
        _ => traffic.tick(now),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against tickets that are neither granted nor refused, or both, and against requests
    /// that are still counted after their end.
    #[test]
    fn each_request_is_granted_or_refused_and_nothing_leaks(
        ops in prop::collection::vec((any::<u8>(), any::<usize>()), 1..200),
    ) {
        let spec = WorkspaceSpec { concurrency: 3, queue: 5, ..WorkspaceSpec::default() };
        let workspaces = [("a", spec.clone()), ("b", spec.clone()), ("c", spec)];
        let mut traffic = traffic(3, 2, &workspaces);
        let mut running = vec![];
        let mut refused = HashSet::new();
        let mut now = Time(0);
        for (op, pick) in ops {
            now = Time(now.0 + u64::from(op));
            step(&mut traffic, now, op, pick, &mut running);
            for action in actions(&mut traffic) {
                match action {
                    Action::Grant(key, ..) => {
                        prop_assert!(!refused.contains(&key));
                        prop_assert!(!running.contains(&key));
                        running.push(key);
                    }
                    Action::Refuse(key, _) => prop_assert!(refused.insert(key)),
                    Action::Revoke(..) => prop_assert!(false, "no key was withdrawn"),
                }
            }
            prop_assert_eq!(traffic.open(), running.len() + traffic.waiting());
        }
        traffic.tick(Time(now.0 + FAR_FUTURE));
        for key in running.drain(..) {
            traffic.finish(Time(now.0 + FAR_FUTURE), key, &Outcome::Complete(1));
        }
        prop_assert_eq!(traffic.waiting(), 0);
        prop_assert_eq!(traffic.open(), 0);
    }
}

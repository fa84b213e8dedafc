//! Admission, fair queue, choice of targets and retries of one entry, in virtual time.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::Ask;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::declare::Access;
use sardinepath_core::domain::declare::KeySpec;
use sardinepath_core::domain::declare::PoolSpec;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::declare::Repeat;
use sardinepath_core::domain::declare::RouteSpec;
use sardinepath_core::domain::declare::Scheme;
use sardinepath_core::domain::declare::TargetKind;
use sardinepath_core::domain::declare::TargetSpec;
use sardinepath_core::domain::declare::TeamTree;
use sardinepath_core::domain::declare::WorkspaceSpec;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::error::RunState;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::domain::name::PoolId;
use sardinepath_core::domain::name::RouteId;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::domain::time::Time;

const SECOND: u64 = 1000;

/// Later than any deadline of a test.
const FAR: u64 = 900 * SECOND;

fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId {
        team: "print".into(),
        name: name.into(),
    }
}

fn key(name: &str) -> KeyDigest {
    KeyDigest::of(name.as_bytes())
}

fn target_spec() -> TargetSpec {
    TargetSpec {
        agent: "127.0.0.1:7000".parse().unwrap(),
        centre: "cx1".into(),
        fences: false,
    }
}

fn tree(targets: usize, workspaces: &[(&str, WorkspaceSpec)], withdrawn: bool) -> TeamTree {
    let names = workspaces.iter().map(|(name, _)| *name);
    let pool = PoolSpec {
        kind: TargetKind::Plain,
        model: None,
        targets: (0..targets)
            .map(|n| (format!("t{n}").into(), target_spec()))
            .collect(),
        floor: 0,
    };
    let route = RouteSpec {
        pool: "pool".into(),
        access: Access::Workspaces(names.clone().map(Into::into).collect()),
        repeat: Repeat::Always,
        deadline: 60,
        body: 1024,
    };
    let keys = names.map(|name| {
        let spec = KeySpec {
            workspace: name.into(),
            digest: key(name),
            withdrawn,
        };
        (name.into(), spec)
    });
    TeamTree {
        scheme: Scheme::Slug,
        keys: keys.collect(),
        workspaces: workspaces
            .iter()
            .map(|(name, spec)| ((*name).into(), spec.clone()))
            .collect(),
        pools: BTreeMap::from([("pool".into(), pool)]),
        routes: BTreeMap::from([("route".into(), route)]),
    }
}

fn config(revision: u64, tree: TeamTree) -> Arc<Config> {
    let mut config = Config::default();
    let state = TeamState {
        revision: Revision(revision),
        tree: Some(Arc::new(tree)),
    };
    config.merge("print".into(), state);
    Arc::new(config)
}

fn report(target: usize, capacity: u32) -> Report {
    Report {
        incarnation: Incarnation(1),
        target: format!("t{target}").into(),
        version: WeightVersion(1),
        running: 0,
        queued: 0,
        capacity,
        state: ServingState::Serving,
        cached: vec![],
        evicted: vec![],
        cache_gap: false,
    }
}

fn ask(name: &str, deadline: u64) -> Ask {
    Ask {
        route: RouteId {
            team: "print".into(),
            name: "route".into(),
        },
        pool: PoolId {
            team: "print".into(),
            name: "pool".into(),
        },
        workspace: workspace(name),
        key: Some(key(name)),
        priority: Priority::Interactive,
        prefixes: vec![],
        tokens: 1000,
        floor: WeightVersion(0),
        deadline: Time(deadline),
    }
}

fn traffic(targets: usize, capacity: u32, workspaces: &[(&str, WorkspaceSpec)]) -> Traffic {
    let mut traffic = Traffic::new("cx1".into(), 7);
    traffic.configure(Time(0), config(1, tree(targets, workspaces, false)));
    for target in 0..targets {
        traffic.report(Time(0), report(target, capacity));
    }
    traffic
}

fn actions(traffic: &mut Traffic) -> Vec<Action> {
    std::iter::from_fn(|| traffic.next_action()).collect()
}

fn granted(traffic: &mut Traffic, ticket: TicketKey) -> String {
    match traffic.next_action() {
        Some(Action::Grant(key, choice, _)) if key == ticket => choice.target.to_string(),
        other => panic!("expected a grant of {ticket:?}, got {other:?}"),
    }
}

fn place(traffic: &mut Traffic, now: Time, ask: Ask) -> String {
    let ticket = traffic.ask(now, ask);
    granted(traffic, ticket)
}

fn failed(kind: ErrorKind) -> Outcome {
    Outcome::Failed(Failure::from(kind))
}

/// Guards against a busy workspace that takes the service of a quiet one: with twice the demand
/// and longer answers it gets no more than its share while the other has work.
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
        owner.insert(traffic.ask(Time(0), ask(name, FAR)), name);
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
        traffic.report(now, report(0, 4));
        traffic.ended(now, ticket, &Outcome::Whole(tokens));
    }

    let share = served["quiet"] as f64 / served["busy"] as f64;
    assert!((1.8..2.2).contains(&share), "shares are {served:?}");
}

/// Guards against a workspace that comes back to a full pool and reaches its share only after all
/// running requests of others have ended once: the next freed slots are its own.
#[test]
fn workspace_that_comes_back_gets_the_next_slots_up_to_its_share() {
    let spec = WorkspaceSpec {
        queue: 1000,
        ..WorkspaceSpec::default()
    };
    let mut traffic = traffic(1, 8, &[("busy", spec.clone()), ("quiet", spec)]);
    for _ in 0..100 {
        traffic.ask(Time(0), ask("busy", FAR));
    }
    let running = actions(&mut traffic).into_iter().map(|a| verdict(a).0);
    let running: Vec<_> = running.collect();
    let quiet: HashSet<_> = (0..20)
        .map(|_| traffic.ask(Time(1), ask("quiet", FAR)))
        .collect();

    let mut next = vec![];
    for ticket in &running[..4] {
        traffic.ended(Time(2), *ticket, &Outcome::Whole(16));
        traffic.report(Time(2), report(0, 8));
        next.extend(actions(&mut traffic).into_iter().map(|a| verdict(a).0));
    }

    let own = next.iter().filter(|ticket| quiet.contains(ticket)).count();
    assert_eq!((own, next.len()), (4, 4), "quiet requests among the next");
}

/// Guards against slots that are spent on answers which cannot be whole by their deadline while
/// requests with enough time wait.
#[test]
fn request_without_time_for_its_answer_is_not_started() {
    let mut traffic = traffic(1, 1, &[("app", WorkspaceSpec::default())]);
    let mut now = Time(0);
    for _ in 0..8 {
        let ticket = traffic.ask(now, ask("app", FAR));
        granted(&mut traffic, ticket);
        now = Time(now.0 + 2 * SECOND);
        traffic.report(now, report(0, 1));
        traffic.ended(now, ticket, &Outcome::Whole(100));
    }
    let running = traffic.ask(now, ask("app", FAR));
    granted(&mut traffic, running);
    let hopeless = traffic.ask(now, ask("app", now.0 + SECOND));
    let patient = traffic.ask(now, ask("app", FAR));

    let later = Time(now.0 + 900);
    traffic.tick(later);
    traffic.report(later, report(0, 1));
    traffic.ended(later, running, &Outcome::Whole(100));

    let refusal = Action::Refuse(hopeless, Failure::from(ErrorKind::DeadlineInQueue));
    assert_eq!(traffic.next_action(), Some(refusal));
    granted(&mut traffic, patient);
}

/// Guards against an entry that holds more of a full pool than its requests are due: of two
/// entries with equal demand, neither fills the pool alone.
#[test]
fn entry_uses_its_part_of_a_full_pool() {
    let spec = WorkspaceSpec {
        concurrency: 1000,
        ..WorkspaceSpec::default()
    };
    let workspaces = [("here", spec.clone()), ("there", spec)];
    let mut traffic = traffic(2, 8, &workspaces);
    let pool = ask("here", FAR).pool;
    let other = BTreeMap::from([(workspace("there"), 50)]);
    traffic.demand();
    traffic.set_demand(Time(0), &BTreeMap::from([(pool.clone(), other.clone())]));

    let asks: Vec<_> = (0..50).map(|_| ask("here", FAR)).collect();
    let before = asks.into_iter().map(|ask| traffic.ask(Time(0), ask));
    let before: Vec<_> = before.collect();
    let early = actions(&mut traffic).len();
    let mut all = traffic.demand();
    all.get_mut(&pool).unwrap().extend(other);
    traffic.set_demand(Time(1), &all);
    for ticket in &before[..early] {
        traffic.ended(Time(2), *ticket, &Outcome::Whole(16));
    }
    (0..2).for_each(|t| traffic.report(Time(2), report(t, 8)));

    let late = actions(&mut traffic);
    assert_eq!(late.len(), 8, "half of 16 slots: {late:?}");
}

/// Guards against an entry that stays limited by the demand of entries it no longer hears from.
#[test]
fn old_demand_does_not_limit_an_entry() {
    let mut traffic = traffic(1, 8, &[("here", WorkspaceSpec::default())]);
    let other = BTreeMap::from([(workspace("there"), 50)]);
    let pool = ask("here", FAR).pool;
    traffic.set_demand(Time(0), &BTreeMap::from([(pool, other)]));
    for _ in 0..8 {
        traffic.ask(Time(0), ask("here", FAR));
    }
    let limited = actions(&mut traffic).len();

    traffic.report(Time(6 * SECOND), report(0, 8));

    assert_eq!((limited, actions(&mut traffic).len()), (1, 7));
}

/// Guards against a retry storm: when every attempt fails, attempts stay below 1.1 times the
/// requests, but for the few retries that a quiet route has at hand.
#[test]
fn failing_pool_sees_at_most_a_tenth_more_attempts() {
    let spec = WorkspaceSpec {
        concurrency: 10_000,
        ..WorkspaceSpec::default()
    };
    let mut traffic = traffic(4, 1000, &[("app", spec)]);
    let (mut attempts, requests) = (0_u32, 2000_u32);

    for n in 0..u64::from(requests) {
        let now = Time(n);
        (0..4).for_each(|t| traffic.report(now, report(t, 1000)));
        traffic.ask(now, ask("app", FAR));
        let mut open = actions(&mut traffic);
        while let Some(action) = open.pop() {
            if let Action::Grant(ticket, ..) = action {
                attempts += 1;
                assert!(attempts < 2 * requests, "attempts grow without bound");
                traffic.retry(now, ticket, Failure::from(ErrorKind::TargetBusy));
                open.extend(actions(&mut traffic));
            }
        }
    }

    assert!(attempts > requests, "no retry was made");
    assert!(attempts <= requests * 11 / 10 + 3, "{attempts} attempts");
    assert_eq!(traffic.open(), 0);
}

/// Guards against traffic to a target that fails every request.
#[test]
fn target_that_fails_in_a_row_is_ejected_and_probed_later() {
    let mut traffic = traffic(2, 100, &[("app", WorkspaceSpec::default())]);
    let mut failures = 0;
    for n in 0..50 {
        let ticket = traffic.ask(Time(n), ask("app", FAR));
        let outcome = if granted(&mut traffic, ticket) == "t0" {
            failures += 1;
            failed(ErrorKind::TargetFailed)
        } else {
            Outcome::Whole(10)
        };
        traffic.ended(Time(n), ticket, &outcome);
    }
    let later = Time(1200);
    (0..2).for_each(|t| traffic.report(later, report(t, 100)));

    let chosen: Vec<_> = (0..20)
        .map(|_| place(&mut traffic, later, ask("app", FAR)))
        .collect();

    assert_eq!(
        failures, 3,
        "requests went to the target after its ejection"
    );
    let probes = chosen.iter().filter(|name| *name == "t0").count();
    assert_eq!(probes, 1, "one request probes the target: {chosen:?}");
}

/// Guards against requests to a target whose agent has fallen silent or that is leaving.
#[test]
fn silent_and_leaving_targets_get_no_request() {
    let mut traffic = traffic(3, 100, &[("app", WorkspaceSpec::default())]);
    let now = Time(5 * SECOND);
    let leaving = Report {
        state: ServingState::Leaving,
        ..report(1, 100)
    };
    traffic.report(now, leaving);
    traffic.report(now, report(2, 100));

    let chosen: Vec<_> = (0..30)
        .map(|_| place(&mut traffic, now, ask("app", FAR)))
        .collect();

    assert!(chosen.iter().all(|name| name == "t2"), "{chosen:?}");
}

/// Guards against a withdrawn key whose waiting requests still run or whose running ones go on.
#[test]
fn withdrawal_refuses_waiting_and_revokes_running_requests() {
    let spec = WorkspaceSpec {
        concurrency: 1,
        ..WorkspaceSpec::default()
    };
    let workspaces = [("app", spec)];
    let mut traffic = traffic(1, 10, &workspaces);
    let running = traffic.ask(Time(0), ask("app", FAR));
    let waiting = traffic.ask(Time(0), ask("app", FAR));
    granted(&mut traffic, running);

    traffic.configure(Time(1), config(2, tree(1, &workspaces, true)));
    let late = traffic.ask(Time(2), ask("app", FAR));

    let not_run = |kind| Failure {
        run: RunState::NotRun,
        ..Failure::from(kind)
    };
    let expected = HashMap::from([
        (running, Some(Failure::from(ErrorKind::KeyWithdrawn))),
        (waiting, Some(not_run(ErrorKind::KeyWithdrawn))),
        (late, Some(not_run(ErrorKind::BadKey))),
    ]);
    let told: HashMap<_, _> = actions(&mut traffic).into_iter().map(verdict).collect();
    assert_eq!(told, expected);
}

fn verdict(action: Action) -> (TicketKey, Option<Failure>) {
    match action {
        Action::Grant(key, ..) => (key, None),
        Action::Refuse(key, failure) | Action::Revoke(key, failure) => (key, Some(failure)),
    }
}

/// Guards against prompts that lose their cached prefix to a target chosen by load alone, and
/// against a hot prefix that fills its target while another is idle.
#[test]
fn prompt_goes_where_its_prefix_is_cached_unless_that_target_is_loaded() {
    let mut traffic = traffic(2, 10, &[("app", WorkspaceSpec::default())]);
    let cached = Report {
        cached: vec![1, 2, 3, 4],
        ..report(1, 10)
    };
    traffic.report(Time(0), cached);
    let prompt = || Ask {
        prefixes: vec![1, 2, 3, 4],
        ..ask("app", FAR)
    };

    let chosen: Vec<_> = (0..12)
        .map(|_| place(&mut traffic, Time(0), prompt()))
        .collect();

    assert!(chosen[..4].iter().all(|name| name == "t1"), "{chosen:?}");
    assert!(chosen.iter().any(|name| name == "t0"), "{chosen:?}");
}

/// Guards against a request that waits beyond its deadline or for a pool that has no target.
#[test]
fn waiting_requests_end_in_time() {
    let mut traffic = traffic(1, 1, &[("app", WorkspaceSpec::default())]);
    let running = traffic.ask(Time(0), ask("app", FAR));
    let waiting = traffic.ask(Time(0), ask("app", SECOND));
    granted(&mut traffic, running);
    traffic.tick(Time(999));
    let early = actions(&mut traffic);

    traffic.tick(Time(SECOND));
    let orphan = traffic.ask(Time(10 * SECOND), ask("app", FAR));
    traffic.tick(Time(12 * SECOND));

    assert_eq!(early, vec![]);
    let expected = vec![
        Action::Refuse(waiting, Failure::from(ErrorKind::DeadlineInQueue)),
        Action::Refuse(orphan, Failure::from(ErrorKind::NoTarget)),
    ];
    assert_eq!(actions(&mut traffic), expected);
}

/// Guards against a request that is given up because its only target was away for a moment, and
/// against one that blocks itself by being counted as running.
#[test]
fn retry_waits_for_a_target_that_returns() {
    let spec = WorkspaceSpec {
        concurrency: 1,
        ..WorkspaceSpec::default()
    };
    let mut traffic = traffic(1, 1, &[("app", spec)]);
    let ticket = traffic.ask(Time(0), ask("app", FAR));
    granted(&mut traffic, ticket);

    traffic.retry(
        Time(5 * SECOND),
        ticket,
        Failure::from(ErrorKind::AgentLost),
    );
    let meanwhile = actions(&mut traffic);
    traffic.report(Time(6 * SECOND), report(0, 1));

    assert_eq!(meanwhile, vec![]);
    granted(&mut traffic, ticket);
}

/// Guards against a workspace that goes on after its token rate is used up.
#[test]
fn token_rate_refuses_with_the_time_to_come_back() {
    let spec = WorkspaceSpec {
        rate: 100,
        ..WorkspaceSpec::default()
    };
    let mut traffic = traffic(1, 100, &[("app", spec)]);
    let ticket = traffic.ask(Time(0), ask("app", FAR));
    granted(&mut traffic, ticket);
    traffic.ended(Time(0), ticket, &Outcome::Whole(1500));

    let refused = traffic.ask(Time(0), ask("app", FAR));
    let refusal = actions(&mut traffic);
    traffic.report(Time(6 * SECOND), report(0, 100));
    let later = traffic.ask(Time(6 * SECOND), ask("app", FAR));

    let failure = Failure {
        retry_after: Some(6),
        ..Failure::from(ErrorKind::RateLimited)
    };
    assert_eq!(refusal, vec![Action::Refuse(refused, failure)]);
    granted(&mut traffic, later);
}

/// One step of the property test: a new request, an end, a retry, a report or a tick.
fn step(traffic: &mut Traffic, now: Time, op: u8, pick: usize, running: &mut Vec<TicketKey>) {
    let chosen = (!running.is_empty()).then(|| pick % running.len());
    match (op % 8, chosen) {
        (0..=2, _) => {
            let name = ["a", "b", "c"][pick % 3];
            traffic.ask(now, ask(name, now.0 + u64::from(op) * 140));
        }
        (3, Some(at)) => {
            let key = running.swap_remove(at);
            traffic.ended(now, key, &Outcome::Whole(u64::from(op)));
        }
        (4, Some(at)) => {
            let key = running.swap_remove(at);
            traffic.retry(now, key, Failure::from(ErrorKind::Unreachable));
        }
        (5, Some(at)) => {
            let key = running.swap_remove(at);
            traffic.ended(now, key, &failed(ErrorKind::TargetFailed));
        }
        (6, _) => traffic.report(now, report(pick % 3, 2)),
        _ => traffic.tick(now),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against tickets that get no verdict or two, and against requests that stay counted
    /// after their end.
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
        traffic.tick(Time(now.0 + FAR));
        for key in running.drain(..) {
            traffic.ended(Time(now.0 + FAR), key, &Outcome::Whole(1));
        }
        prop_assert_eq!(traffic.waiting(), 0);
        prop_assert_eq!(traffic.open(), 0);
    }
}

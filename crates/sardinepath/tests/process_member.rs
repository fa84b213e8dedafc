//! Entries that learn of each other and of leaving hosts from the platform's list.

#![allow(clippy::unwrap_used, missing_docs)]

mod process_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::port::host::HostEntry;
use sardinepath_standins::hosts::HostState;
use sardinepath_standins::hosts::Hosts;
use serde_json::json;

use crate::process_support::Fleet;
use crate::process_support::await_served;
use crate::process_support::await_true;
use crate::process_support::load::Load;
use crate::process_support::load::judge;
use crate::process_support::load::unanswered;
use crate::process_support::node::Node;
use crate::process_support::node::start_entry;
use crate::process_support::start_fleet;

/// Callers at a time.
const CALLERS: usize = 4;

/// Calls that are answered before a change.
const ANSWERS: usize = 50;

/// Lag of the list.
const LAG: Duration = Duration::from_secs(2);

/// Time after which a leaving target gets no new work: the lag, the longest wait for a reading of
/// the list (3.6 s), one report (1 s), and time for a busy machine.
const LEAVE_LIMIT: Duration = Duration::from_secs(2 + 4 + 1 + 8);

/// Entries of a mass restart.
const ENTRIES: usize = 6;

/// Time after a mass restart in which calls to the object API are counted, in seconds.
const COUNTED: u64 = 12;

fn host(node: &Node, name: &str, target: Option<&str>) -> HostEntry {
    HostEntry {
        host: HostName::from(name),
        centre: CentreName::from("cx1"),
        address: node.peer.unwrap_or(node.address),
        target: target.map(TargetName::from),
        leaving: false,
    }
}

/// Starts entries that know each other only from the list.
fn start_listed(fleet: &mut Fleet, hosts: &Hosts, count: usize) {
    let more = json!({"hosts": hosts.address});
    let start = |i| start_entry(&fleet.name, i, fleet.api.address, &more);
    fleet.entries = (0..count).map(start).collect();
    for entry in &fleet.entries {
        await_served(entry);
    }
}

fn list(fleet: &Fleet) -> Vec<HostEntry> {
    let entries = fleet.entries.iter().enumerate();
    let entries = entries.map(|(i, node)| host(node, &format!("entry-{i}"), None));
    let agents = fleet.agents.iter().enumerate();
    let agents = agents.map(|(i, node)| {
        let target = format!("target-{i}");
        host(node, &format!("agent-{i}"), Some(&target))
    });
    entries.chain(agents).collect()
}

/// Guards against new work for a target on a leaving host whose agent knows nothing of it, and
/// against calls that fail because the target leaves.
#[test]
fn target_of_a_leaving_host_gets_no_new_work() {
    let mut fleet = start_fleet("leaving", 0, 2);
    let hosts = Hosts::serve(HostState::new(LAG, Vec::new())).unwrap();
    start_listed(&mut fleet, &hosts, 2);
    let mut all = list(&fleet);
    let shown = all.clone();
    hosts.ask(move |state| state.set(shown));
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);

    let leaving = TargetName::from("target-0");
    for host in &mut all {
        host.leaving = host.target.as_ref() == Some(&leaving);
    }
    hosts.ask(move |state| state.set(all));
    thread::sleep(LEAVE_LIMIT);
    let before = fleet.services[0].executed().len();
    load.await_answers(ANSWERS);
    let after = fleet.services[0].executed().len();
    // The host is gone from the list, and its agent still serves.
    hosts.ask(|state| state.set(Vec::new()));
    thread::sleep(LEAVE_LIMIT);
    let last = fleet.services[0].executed().len();
    let calls = load.end();

    judge(&fleet, &calls);
    assert!(before > 0, "the target had no work before it left");
    assert_eq!((after, last), (before, before));
    assert!(unanswered(&calls).is_empty(), "{:?}", unanswered(&calls));
}

/// Guards against entries that do not find each other in the list: without each other they refuse
/// keys once the object API is down.
#[test]
fn entries_of_the_list_keep_each_other_serving_in_an_outage() {
    let mut fleet = start_fleet("listed", 0, 1);
    let hosts = Hosts::serve(HostState::new(Duration::ZERO, Vec::new())).unwrap();
    start_listed(&mut fleet, &hosts, 3);
    let all = list(&fleet);
    hosts.ask(move |state| state.set(all));
    // One reading of the list and two rounds of heartbeats.
    thread::sleep(Duration::from_secs(4 + 2));

    fleet.api.set_faults(|faults| {
        faults.availability = sardinepath_standins::object_api::Availability::Refusing;
    });
    hosts.stop();
    // Twice the contact limit of keys.
    thread::sleep(Duration::from_secs(10));
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);
    let calls = load.end();

    judge(&fleet, &calls);
    assert!(unanswered(&calls).is_empty(), "{:?}", unanswered(&calls));
}

/// Guards against a mass restart that floods the platform, also while it refuses calls.
#[test]
fn mass_restart_makes_no_burst_at_the_platform() {
    let mut fleet = start_fleet("restart", 0, 1);
    let hosts = Hosts::serve(HostState::new(Duration::ZERO, Vec::new())).unwrap();
    start_listed(&mut fleet, &hosts, ENTRIES);
    let all = list(&fleet);
    hosts.ask(move |state| state.set(all));
    let before = fleet.api.calls();

    for entry in &mut fleet.entries {
        entry.kill();
    }
    let start = Instant::now();
    start_listed(&mut fleet, &hosts, ENTRIES);
    await_true("the time to count", || {
        start.elapsed() >= Duration::from_secs(COUNTED)
    });
    let taken = start.elapsed().as_secs() + 1;
    let after = fleet.api.calls();

    let entries = u64::try_from(ENTRIES).unwrap();
    // A listing at the start and every 10 s, and a watch of 2 s without changes.
    let lists = entries * (1 + taken.div_ceil(10));
    let watches = entries * (1 + taken.div_ceil(2));
    let calls = (after.list - before.list, after.watch - before.watch);
    assert!(calls.0 <= lists && calls.1 <= watches, "{calls:?}");
    assert_eq!((after.get, after.put), (before.get, before.put));
}

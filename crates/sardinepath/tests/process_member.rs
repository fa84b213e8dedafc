//! Tests of entries that discover each other and leaving hosts through the host list of the
//! platform.

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
use crate::process_support::await_serving;
use crate::process_support::await_true;
use crate::process_support::load::Load;
use crate::process_support::load::unanswered;
use crate::process_support::load::verify_calls;
use crate::process_support::node::Node;
use crate::process_support::node::start_entry;
use crate::process_support::start_fleet;

/// Number of concurrent callers.
const CALLERS: usize = 4;

/// Number of calls that must be answered before a change.
const ANSWERS: usize = 50;

/// Time after which a change appears in the host list.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Time after which a leaving target gets no new calls: the lag of the list, the maximum interval
/// between two reads of the list (3.6 s), one report (1 s), and a margin for a busy machine.
const LEAVE_DELAY: Duration = Duration::from_secs(2 + 4 + 1 + 8);

/// Number of entries that are restarted at once.
const RESTARTED_ENTRIES: usize = 6;

/// Time after a mass restart during which calls to the object API are counted, in seconds.
const COUNTED_SECONDS: u64 = 12;

fn host_entry(node: &Node, name: &str, target: Option<&str>) -> HostEntry {
    HostEntry {
        host: HostName::from(name),
        centre: CentreName::from("cx1"),
        address: node.peer.unwrap_or(node.address),
        target: target.map(TargetName::from),
        leaving: false,
    }
}

/// Starts entries that know each other only through the host list.
fn start_listed(fleet: &mut Fleet, hosts: &Hosts, count: usize) {
    let more = json!({"hosts": hosts.address});
    let start = |i| start_entry(&fleet.name, i, fleet.api.address, &more);
    fleet.entries = (0..count).map(start).collect();
    for entry in &fleet.entries {
        await_serving(entry);
    }
}

fn host_entries(fleet: &Fleet) -> Vec<HostEntry> {
    let entries = fleet.entries.iter().enumerate();
    let entries = entries.map(|(i, node)| host_entry(node, &format!("entry-{i}"), None));
    let agents = fleet.agents.iter().enumerate();
    let agents = agents.map(|(i, node)| {
        let target = format!("target-{i}");
        host_entry(node, &format!("agent-{i}"), Some(&target))
    });
    entries.chain(agents).collect()
}

/// Guards against new calls for a target on a leaving host whose agent does not know that the host
/// leaves, and against calls that fail because the target leaves.
#[test]
fn target_of_a_leaving_host_gets_no_new_work() {
    let mut fleet = start_fleet("leaving", 0, 2);
    let hosts = Hosts::serve(HostState::new(LIST_LAG, Vec::new())).unwrap();
    start_listed(&mut fleet, &hosts, 2);
    let mut listed = host_entries(&fleet);
    let shown = listed.clone();
    hosts.ask(move |state| state.set(shown));
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);

    let leaving = TargetName::from("target-0");
    for host in &mut listed {
        host.leaving = host.target.as_ref() == Some(&leaving);
    }
    hosts.ask(move |state| state.set(listed));
    thread::sleep(LEAVE_DELAY);
    let before = fleet.services[0].executed().len();
    load.await_answers(ANSWERS);
    let after = fleet.services[0].executed().len();
    // The host disappears from the list while its agent still serves.
    hosts.ask(|state| state.set(Vec::new()));
    thread::sleep(LEAVE_DELAY);
    let last = fleet.services[0].executed().len();
    let calls = load.stop();

    verify_calls(&fleet, &calls);
    assert!(before > 0, "the target had no work before it left");
    assert_eq!((after, last), (before, before));
    assert!(unanswered(&calls).is_empty(), "{:?}", unanswered(&calls));
}

/// Guards against entries that do not find each other through the host list. Without contact to
/// each other they refuse keys while the object API is down.
#[test]
fn entries_of_the_list_keep_each_other_serving_in_an_outage() {
    let mut fleet = start_fleet("listed", 0, 1);
    let hosts = Hosts::serve(HostState::new(Duration::ZERO, Vec::new())).unwrap();
    start_listed(&mut fleet, &hosts, 3);
    let listed = host_entries(&fleet);
    hosts.ask(move |state| state.set(listed));
    // One read of the list and two rounds of heartbeats.
    thread::sleep(Duration::from_secs(4 + 2));

    fleet.api.set_faults(|faults| {
        faults.availability = sardinepath_standins::object_api::Availability::Refusing;
    });
    hosts.stop();
    // Twice the time without contact after which an entry refuses keys.
    thread::sleep(Duration::from_secs(10));
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);
    let calls = load.stop();

    verify_calls(&fleet, &calls);
    assert!(unanswered(&calls).is_empty(), "{:?}", unanswered(&calls));
}

/// Guards against a mass restart that floods the object API with calls.
#[test]
fn mass_restart_makes_no_burst_at_the_platform() {
    let mut fleet = start_fleet("restart", 0, 1);
    let hosts = Hosts::serve(HostState::new(Duration::ZERO, Vec::new())).unwrap();
    start_listed(&mut fleet, &hosts, RESTARTED_ENTRIES);
    let listed = host_entries(&fleet);
    hosts.ask(move |state| state.set(listed));
    let before = fleet.api.calls();

    for entry in &mut fleet.entries {
        entry.kill();
    }
    let start = Instant::now();
    start_listed(&mut fleet, &hosts, RESTARTED_ENTRIES);
    await_true("the counting time to pass", || {
        start.elapsed() >= Duration::from_secs(COUNTED_SECONDS)
    });
    let seconds = start.elapsed().as_secs() + 1;
    let after = fleet.api.calls();

    let entries = u64::try_from(RESTARTED_ENTRIES).unwrap();
    // Each entry lists at the start and every 10 s, and its watch calls take 2 s without changes.
    let lists = entries * (1 + seconds.div_ceil(10));
    let watches = entries * (1 + seconds.div_ceil(2));
    let calls = (after.list - before.list, after.watch - before.watch);
    assert!(calls.0 <= lists && calls.1 <= watches, "{calls:?}");
    assert_eq!((after.get, after.put), (before.get, before.put));
}

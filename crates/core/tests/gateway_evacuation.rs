//! Evacuations of data centres, in virtual time: what reaches targets after an evacuation was stored.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::sync::Arc;

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::SoftwareVersion;
use sardinepath_core::domain::place::Closure;

use crate::gateway_support::HOME;
use crate::gateway_support::Simulation;
use crate::gateway_support::StoreFault;

/// Time after the store took an evacuation for which requests may still arrive, in milliseconds. The
/// platform allows 5 s; a watch takes one store latency here.
const SETTLE_MS: u64 = 200;

/// Starts three gateways with targets in two data centres.
fn fleet() -> Simulation {
    Simulation::with_places(&[HOME; 3], &["c1", "c2"])
}

fn ask_target(sim: &mut Simulation, gateway: usize, software: Option<&str>) -> Reply {
    let question = Question::ChooseTarget {
        pool: PoolName::from("engines"),
        request: None,
        tried: Vec::new(),
        software: software.map(SoftwareVersion::from),
        homes: None,
    };
    let call = sim.ask(gateway, question);
    sim.run(40);
    sim.reply(gateway, call).unwrap().clone()
}

/// Guards against plain requests, items and scoring requests that reach an evacuated data centre.
#[test]
fn nothing_is_sent_to_an_evacuated_data_centre() {
    let mut sim = fleet();
    sim.plain_interval = Some(60);
    let runner = sim.place(0);
    sim.submit(runner, 200);
    sim.run(1_000);

    sim.evacuate("c1");
    let since = sim.now + SETTLE_MS;
    sim.run(8_000);

    assert!(!sim.arrivals_in("c1", 0).is_empty(), "c1 served before");
    assert_eq!(sim.arrivals_in("c1", since), []);
    assert!(sim.arrivals_in("c2", since).len() > 100);
}

/// Guards against texts that are cut off by an evacuation instead of ending where they run.
#[test]
fn texts_end_where_they_run() {
    let mut sim = fleet();
    sim.generation_ms = 3_000;
    let runner = sim.place(0);
    sim.submit(runner, 8);
    sim.run(500);
    let started = sim.starts.len();

    sim.evacuate("c1");
    sim.evacuate("c2");
    sim.run(4_000);

    assert_eq!(started, 8);
    assert!(sim.starts.values().all(|starts| starts.len() == 1));
}

/// Guards against gateways that start during an evacuation and send before they know of it.
#[test]
fn a_gateway_that_starts_knows_the_evacuations_first() {
    let mut sim = fleet();
    sim.evacuate("c1");
    sim.run(500);
    let since = sim.now;

    sim.kill(1);
    sim.plain_interval = Some(20);
    sim.start(1);
    sim.run(2_000);

    assert_eq!(sim.arrivals_in("c1", since), []);
    assert!(!sim.arrivals_in("c2", since).is_empty());
}

/// Guards against gateways that send although they could not list the evacuations.
#[test]
fn a_gateway_without_a_listing_sends_nothing() {
    let mut sim = Simulation::with_places(&[HOME], &["c1", "c2"]);
    sim.kill(0);
    sim.start_unlisted(0);
    sim.run(500);

    let before = ask_target(&mut sim, 0, None);
    sim.list_evacuations(0);
    sim.run(100);
    let after = ask_target(&mut sim, 0, None);

    assert_eq!(before, Reply::NoTarget);
    assert!(matches!(after, Reply::Target(_)), "{after:?}");
}

/// Guards against requests to either of two evacuated data centres, and to the wrong one after the
/// first evacuation was taken back.
#[test]
fn two_evacuations_end_apart() {
    let mut sim = fleet();
    sim.plain_interval = Some(40);
    sim.evacuate("c1");
    sim.run(1_000);
    sim.evacuate("c2");
    let both = sim.now + SETTLE_MS;
    sim.run(3_000);
    let closed = sim.arrivals_in("c1", both).len() + sim.arrivals_in("c2", both).len();

    sim.take_back("c1");
    let since = sim.now;
    sim.run(3_000);

    assert_eq!(closed, 0);
    assert!(!sim.arrivals_in("c1", since).is_empty());
    assert_eq!(sim.arrivals_in("c2", both), []);
}

/// Guards against requests that wait for a target which no gateway may use, and against a refusal that
/// does not say why.
#[test]
fn a_request_that_only_evacuated_targets_could_serve_is_refused_at_once() {
    let mut sim = fleet();
    sim.evacuate("c1");
    sim.evacuate("c2");
    sim.run(100);

    let reply = ask_target(&mut sim, 0, None);

    assert_eq!(reply, Reply::Closed(Closure::Evacuated));
}

/// Guards against a stream that is taken up in an evacuated data centre because only its targets have
/// the software version that began it.
#[test]
fn a_stream_is_not_taken_up_in_an_evacuated_data_centre() {
    let mut sim = fleet();
    sim.register("t0", |entry| entry.software = SoftwareVersion::from("v2"));
    sim.run(100);
    let before = ask_target(&mut sim, 0, Some("v2"));

    sim.evacuate("c1");
    sim.run(100);
    let after = ask_target(&mut sim, 0, Some("v2"));

    assert!(matches!(before, Reply::Target(_)), "{before:?}");
    assert_eq!(after, Reply::Closed(Closure::Evacuated));
}

/// Guards against items that are given up because all targets are evacuated for some time.
#[test]
fn items_wait_for_the_end_of_an_evacuation() {
    let mut sim = fleet();
    sim.evacuate("c1");
    sim.evacuate("c2");
    sim.run(100);
    let runner = sim.place(0);
    let call = sim.submit(runner, 8);
    sim.run(6_000);
    let accepted = sim.reply(runner, call).cloned();
    let early = sim.arrivals.len();

    sim.take_back("c2");
    sim.run(4_000);

    assert_eq!(accepted, Some(Reply::Accepted));
    assert_eq!(early, 0);
    assert_eq!(sim.listed().len(), 8);
    assert_eq!(sim.arrivals_in("c1", 0), []);
}

/// Guards against continuations and moves into an evacuated data centre.
#[test]
fn broken_texts_go_on_elsewhere() {
    let mut sim = fleet();
    sim.break_after = Some(5);
    let runner = sim.place(0);
    sim.submit(runner, 24);
    sim.run(300);

    sim.evacuate("c1");
    let since = sim.now + SETTLE_MS;
    sim.run(6_000);

    assert_eq!(sim.arrivals_in("c1", since), []);
    assert_eq!(sim.listed().len(), 24);
}

/// Guards against a stale listing, which lacks an evacuation that a watch reported before, as the end
/// of the evacuation.
#[test]
fn a_stale_listing_ends_no_evacuation() {
    let mut sim = fleet();
    sim.plain_interval = Some(40);
    sim.evacuate("c1");
    sim.run(500);
    let since = sim.now;

    sim.message(0, Message::Listing(Kind::Evacuations, Vec::new()));
    sim.run(2_500);
    sim.message(0, Message::Changed(WatchedObject::Evacuation("c1".into())));
    sim.run(3_000);

    assert_eq!(sim.arrivals_in("c1", since), []);
}

/// Guards against an evacuation that stays in force although listings no longer contain it.
#[test]
fn an_evacuation_that_was_removed_unseen_ends() {
    let mut sim = fleet();
    sim.evacuate("c1");
    sim.evacuate("c2");
    sim.run(200);
    sim.nodes[0].fault = StoreFault::Unavailable;
    sim.take_back("c1");
    sim.run(500);
    sim.nodes[0].fault = StoreFault::None;

    sim.list_evacuations(0);
    sim.run(4_000);
    let reply = ask_target(&mut sim, 0, None);

    assert!(matches!(reply, Reply::Target(_)), "{reply:?}");
}

/// Guards against a gateway that was cut off from the store during an evacuation, and sends to the data
/// centre after it has contact again.
#[test]
fn a_gateway_that_was_cut_off_learns_of_an_evacuation_with_the_next_listing() {
    let mut sim = fleet();
    sim.plain_interval = Some(40);
    sim.nodes[1].fault = StoreFault::Unavailable;
    sim.evacuate("c1");
    sim.run(2_000);
    sim.nodes[1].fault = StoreFault::None;

    sim.list_evacuations(1);
    let since = sim.now + SETTLE_MS;
    sim.run(3_000);

    assert_eq!(sim.arrivals_in("c1", since), []);
    assert!(!sim.arrivals_in("c2", since).is_empty());
}

/// Guards against orders to load weights at evacuated targets, and against targets that come back
/// without the needed version, and either get items or no order.
#[test]
fn targets_load_what_they_missed_when_their_data_centre_is_open_again() {
    let mut sim = fleet();
    sim.run(4_000);
    sim.evacuate("c1");
    sim.run(200);
    let closed = sim.now;
    let named = WatchedObject::Version(ModelName::from("m"), WeightVersion(2));
    for gateway in 0..3 {
        sim.message(gateway, Message::Changed(named.clone()));
    }
    sim.run(8_000);
    let meanwhile = sim.loads_in("c1", closed);

    sim.take_back("c1");
    sim.run(8_000);

    assert_eq!(meanwhile, 0);
    assert!(sim.loads_in("c2", closed) > 0);
    assert!(sim.loads_in("c1", closed) > 0);
}

/// Guards against evacuations that a deployment without them would wait for.
#[test]
fn a_deployment_without_places_sends_without_a_listing() {
    let mut sim = Simulation::new(1);

    let reply = ask_target(&mut sim, 0, None);

    assert!(matches!(reply, Reply::Target(_)), "{reply:?}");
}

/// Guards against a job that waits for ever behind an evacuation of another data centre.
#[test]
fn a_new_job_is_served_by_the_open_data_centres() {
    let mut sim = fleet();
    sim.evacuate("c1");
    sim.run(200);

    let runner = sim.place(0);
    sim.submit(runner, 16);
    sim.run(6_000);

    let ids: Vec<Arc<str>> = sim.texts();
    assert_eq!(ids.len(), 16);
    assert_eq!(sim.arrivals_in("c1", 0), []);
}

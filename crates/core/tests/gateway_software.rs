//! Software versions of targets in the texts of batch jobs, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::collections::BTreeSet;

use gateway_support::GENERATION_EVENTS;
use gateway_support::Simulation;
use gateway_support::StoreFault;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::SoftwareVersion;
use sardinepath_core::domain::name::StreamId;

/// Number of items in the jobs.
const ITEMS: usize = 24;

/// Time in which a job ends after a fault, in milliseconds.
const RECOVERY_MS: u64 = 40_000;

/// Fails if a job is not complete, or if a text has events of two software versions. Returns the
/// versions of the texts.
fn assert_unmixed(sim: &Simulation) -> BTreeSet<String> {
    let texts = sim.texts();
    assert_eq!(texts.len(), ITEMS);
    let versions = texts.iter().map(|text| {
        let events: Vec<&str> = text.lines().collect();
        assert_eq!(u64::try_from(events.len()).unwrap(), GENERATION_EVENTS);
        let versions: BTreeSet<&str> = events.into_iter().collect();
        assert_eq!(versions.len(), 1, "a text is joined from {versions:?}");
        versions.first().unwrap().to_string()
    });
    versions.collect()
}

/// Fails if a broken generation goes on at a target with another software version.
#[test]
fn a_text_goes_on_at_the_software_version_that_began_it() {
    let mut sim = Simulation::new(2);
    sim.set_targets(false, &["v1", "v1", "v2", "v2"]);
    sim.run(200);
    sim.break_after = Some(5);

    sim.submit(0, ITEMS);
    sim.run(RECOVERY_MS);

    let versions = assert_unmixed(&sim);
    assert_eq!(versions.len(), 2, "only one of the versions was used");
}

/// Fails if the text of a generation whose software version has left goes on at another one, or
/// never ends.
#[test]
fn a_text_whose_software_version_is_gone_begins_anew() {
    let mut sim = Simulation::new(2);
    sim.break_after = Some(5);
    sim.submit(0, ITEMS);
    sim.run(300);

    sim.set_targets(true, &["v2", "v2"]);
    sim.run(RECOVERY_MS);

    assert_unmixed(&sim);
}

/// Fails if drafts that outlive all gateways go on at targets with another software version.
#[test]
fn drafts_kept_over_a_kill_of_all_gateways_stay_unmixed() {
    for (later, software) in [(true, ["v2", "v2"]), (false, ["v2", "v1"])] {
        let mut sim = Simulation::new(3);
        sim.generation_ms = 5_000;
        sim.submit(0, ITEMS);
        sim.run(3_500);

        for index in 0..3 {
            sim.kill(index);
        }
        sim.set_targets(later, &software);
        for index in 0..3 {
            sim.start(index);
        }
        sim.run(RECOVERY_MS);

        assert_unmixed(&sim);
    }
}

/// Begins a stream at a gateway. Returns whether its version will be found later.
fn record_stream(sim: &mut Simulation, gateway: usize, id: &str, software: &str) -> bool {
    let call = sim.ask(
        gateway,
        Question::RecordStream {
            pool: PoolName::from("engines"),
            id: StreamId::from(id),
            software: SoftwareVersion::from(software),
        },
    );
    sim.run(200);
    sim.reply(gateway, call) == Some(&Reply::StreamRecorded(true))
}

/// Returns the version that began a stream according to a gateway.
fn find_stream(sim: &mut Simulation, gateway: usize, id: &str) -> Option<String> {
    let call = sim.ask(
        gateway,
        Question::FindStream {
            pool: PoolName::from("engines"),
            begun: StreamId::from(id),
        },
    );
    sim.run(200);
    match sim.reply(gateway, call) {
        Some(Reply::StreamBegun(software)) => software.as_ref().map(ToString::to_string),
        other => panic!("no version: {other:?}"),
    }
}

/// Fails if the version that began a stream is forgotten or mistaken while versions come and go and
/// all gateways are killed.
#[test]
fn the_version_that_began_a_stream_is_found_after_releases() {
    let mut sim = Simulation::new(3);
    sim.run(6_000);
    let begun = [record_stream(&mut sim, 0, "before", "v1")];

    sim.set_targets(false, &["v1", "v1", "v2", "v2"]);
    sim.run(500);
    let during = [
        record_stream(&mut sim, 1, "old", "v1"),
        record_stream(&mut sim, 2, "new", "v2"),
    ];
    for index in 0..3 {
        sim.kill(index);
    }
    sim.set_targets(true, &["v2", "v2"]);
    for index in 0..3 {
        sim.start(index);
    }
    sim.run(30_000);
    let found: Vec<Option<String>> = ["before", "old", "new"]
        .iter()
        .map(|id| find_stream(&mut sim, 1, id))
        .collect();
    let late = record_stream(&mut sim, 0, "late", "v2");
    sim.run(40_000);
    let after = record_stream(&mut sim, 0, "after", "v2");
    let found_after = find_stream(&mut sim, 2, "after");

    assert_eq!(
        (begun, during, late, after),
        ([true], [true, true], true, true)
    );
    assert_eq!(found, ["v1", "v1", "v2"].map(|v| Some(v.to_owned())));
    assert_eq!(found_after, Some("v2".to_owned()));
}

/// Fails if a stream goes on at a guessed version while the store does not answer.
#[test]
fn the_version_of_a_stream_is_not_guessed() {
    let mut sim = Simulation::new(2);
    sim.run(6_000);
    sim.set_targets(false, &["v1", "v1", "v2", "v2"]);
    sim.run(500);
    let recorded = record_stream(&mut sim, 0, "new", "v2");

    sim.nodes[1].fault = StoreFault::Unavailable;
    let unknown = find_stream(&mut sim, 1, "new");
    let unrecorded = record_stream(&mut sim, 1, "lost", "v2");

    assert!(recorded);
    assert_eq!((unknown, unrecorded), (None, false));
}

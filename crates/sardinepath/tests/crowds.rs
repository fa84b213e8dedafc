//! Crowds of clients that nobody controls, at a gateway process with little memory.
//!
//! Each test guards against a process that ends, outgrows the memory or the descriptors of its host,
//! or no longer answers ordinary callers, because of what such a crowd sends. The crowds stay open
//! while the ordinary request is sent.
#![allow(clippy::unwrap_used, clippy::expect_used, missing_docs)]

mod crowd_support;

use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sardinepath_soak::callers::KEY;
use serde_json::json;

use crate::crowd_support::Client;
use crate::crowd_support::Crowd;
use crate::crowd_support::Sending;
use crate::crowd_support::alone;
use crate::crowd_support::check_process;
use crate::crowd_support::gather;
use crate::crowd_support::settle;
use crate::crowd_support::site::GatewaySite;
use crate::crowd_support::site::Resources;

/// Limit for bodies in the configuration of most tests.
const BODY_BYTES: usize = 1 << 20;

/// Number of clients of a crowd. Its bodies need twice the memory of the host.
const CROWD: usize = 96;

/// Resources of the host in most tests.
const RESOURCES: Resources = Resources {
    memory_megabytes: 48,
    descriptors: 500,
    body_bytes: BODY_BYTES,
};

/// Length of the body of an ordinary request.
const ORDINARY_BYTES: usize = 600;

/// Time in which an accepted job must be readable, which a slow machine needs too.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a crowd to a gateway and checks the process while the crowd is there.
fn check_crowd(name: &str, path: &str, key: &str, sending: Sending) {
    let _alone = alone();
    let mut site = GatewaySite::start(name, RESOURCES);
    let clients = site.clients(CROWD, path, key, sending);

    let _crowd = gather(&site.runtime, clients);
    settle(site.pid());
    site.await_answer(ORDINARY_BYTES);

    check_site(&mut site, RESOURCES);
}

fn check_site(site: &mut GatewaySite, resources: Resources) {
    check_process(
        site.pid(),
        resources.memory_megabytes,
        resources.descriptors,
    );
}

#[test]
fn whole_bodies_short_of_their_end() {
    check_crowd("crowd-whole", "/page/x", KEY, Sending::Whole(BODY_BYTES));
}

#[test]
fn bodies_in_pieces_short_of_their_end() {
    check_crowd("crowd-pieces", "/page/x", KEY, Sending::Pieces(BODY_BYTES));
}

#[test]
fn bodies_in_large_chunks_short_of_their_end() {
    let sending = Sending::LargeChunks(BODY_BYTES - 1);
    check_crowd("crowd-large-chunks", "/page/x", KEY, sending);
}

#[test]
fn bodies_in_small_chunks_short_of_their_end() {
    let sending = Sending::SmallChunks(BODY_BYTES / 4);
    check_crowd("crowd-small-chunks", "/page/x", KEY, sending);
}

#[test]
fn bodies_over_the_limit_announced() {
    let sending = Sending::Announced {
        stated: 64 * BODY_BYTES,
        sent: 4 * BODY_BYTES,
    };
    check_crowd("crowd-announced", "/page/x", KEY, sending);
}

#[test]
fn bodies_over_the_limit_just_sent() {
    let sending = Sending::LargeChunks(4 * BODY_BYTES);
    check_crowd("crowd-endless", "/page/x", KEY, sending);
}

#[test]
fn bodies_with_a_wrong_key() {
    let sending = Sending::Whole(BODY_BYTES);
    check_crowd("crowd-strangers", "/page/x", "no such key", sending);
}

#[test]
fn bodies_without_a_route() {
    let sending = Sending::Whole(BODY_BYTES);
    check_crowd("crowd-no-route", "/none/x", KEY, sending);
}

#[test]
fn submissions_short_of_their_end() {
    let sending = Sending::Whole(BODY_BYTES);
    check_crowd("crowd-half-jobs", "/roll/x", KEY, sending);
}

/// Returns the encoded submission of a job with four large items.
fn submission(name: usize) -> Vec<u8> {
    let body = STANDARD.encode(vec![b'x'; BODY_BYTES / 6]);
    let item = |index: usize| {
        json!({
            "id": format!("job-{name}.{index}"), "path": "/roll/x", "headers": {},
            "body": body, "tokenCount": 64, "group": format!("job-{name}.g"),
        })
    };
    let items: Vec<_> = (0..4).map(item).collect();
    let submission = json!({
        "step": 0, "model": "m0", "minVersion": 1, "desiredCount": 1, "items": items,
    });
    submission.to_string().into_bytes()
}

#[test]
fn large_submissions_of_batch_jobs() {
    let _alone = alone();
    let mut site = GatewaySite::start("crowd-jobs", RESOURCES);
    let clients = site.clients(CROWD, "/roll/x", KEY, Sending::Complete);
    let clients = clients
        .into_iter()
        .enumerate()
        .map(|(name, client)| Client {
            body: submission(name),
            ..client
        });

    let crowd = gather(&site.runtime, clients.collect());
    settle(site.pid());
    site.await_answer(ORDINARY_BYTES);

    check_site(&mut site, RESOURCES);
    check_accepted(&site, &crowd);
}

/// Checks that each accepted job can be read.
fn check_accepted(site: &GatewaySite, crowd: &Crowd) {
    let accepted = crowd.answers.iter().enumerate();
    let accepted = accepted.filter(|(_, answer)| answer.starts_with("HTTP/1.1 202"));
    let mut count = 0;
    for (name, _) in accepted {
        count += 1;
        let end = Instant::now() + READ_TIMEOUT;
        let id = format!("crowd-{name}");
        while !site.read_job(&id).is_ok_and(|status| status == 200) {
            assert!(Instant::now() < end, "the accepted job {id} cannot be read");
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    println!("{count} jobs accepted");
    assert!(count > 0, "no job was accepted");
}

#[test]
fn heads_short_of_their_end() {
    let _alone = alone();
    let resources = Resources {
        descriptors: 400,
        ..RESOURCES
    };
    let mut site = GatewaySite::start("crowd-heads", resources);
    let clients = site.clients(600, "/page/x", KEY, Sending::HalfHead);

    let _crowd = gather(&site.runtime, clients);
    check_site(&mut site, resources);
    site.await_answer(ORDINARY_BYTES);

    check_site(&mut site, resources);
}

/// Guards against a bound on memory that refuses the largest body on the smallest host of the
/// deployments.
#[test]
fn the_largest_body_is_served_in_calm() {
    let _alone = alone();
    let resources = Resources {
        memory_megabytes: 120,
        descriptors: 3_075,
        body_bytes: 32 << 20,
    };
    let mut site = GatewaySite::start("calm", resources);

    site.await_answer(resources.body_bytes);

    check_site(&mut site, resources);
}

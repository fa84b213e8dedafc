//! Crowds of clients that nobody controls, at an entry process.
//!
//! Each test guards against a process that ends, takes more memory than the default for its host, or
//! no longer answers ordinary callers, because of what such a crowd sends. The crowds stay open while
//! the ordinary call is sent.
#![allow(clippy::unwrap_used, clippy::expect_used, missing_docs)]

mod crowd_support;
mod process_support;

use tokio::runtime::Runtime;

use crate::crowd_support::Client;
use crate::crowd_support::Sending;
use crate::crowd_support::alone;
use crate::crowd_support::check_process;
use crate::crowd_support::gather;
use crate::crowd_support::settle;
use crate::process_support::Fleet;
use crate::process_support::KEY;
use crate::process_support::await_true;
use crate::process_support::load;
use crate::process_support::start_fleet;

/// Largest body that an entry accepts.
const BODY_BYTES: usize = 1 << 20;

/// Number of clients of a crowd. Its bodies need more than the memory of a host.
const CROWD: usize = 400;

/// Memory of a host whose settings state none, in megabytes.
const MEMORY_MEGABYTES: u64 = 256;

/// Bound on the open descriptors: those of the crowd, and of an entry with its targets.
const MAX_DESCRIPTORS: usize = CROWD + 200;

fn check_crowd(name: &str, path: &str, key: &str, sending: Sending) {
    let _alone = alone();
    let mut fleet = start_fleet(name, 1, 1);
    let runtime = Runtime::new().unwrap();
    let clients = clients(&fleet, path, key, sending);

    let _crowd = gather(&runtime, clients);
    settle(fleet.entries[0].pid());
    await_true("an ordinary answer", || {
        let outcome = load::call(&fleet.entries[0], "GET", "ordinary");
        matches!(outcome, load::Outcome::Answered(_))
    });

    assert!(fleet.entries[0].is_running(), "the process has ended");
    check_process(fleet.entries[0].pid(), MEMORY_MEGABYTES, MAX_DESCRIPTORS);
}

fn clients(fleet: &Fleet, path: &str, key: &str, sending: Sending) -> Vec<Client> {
    let client = Client {
        address: fleet.entries[0].address,
        head: format!("POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n"),
        sending,
        body: Vec::new(),
    };
    vec![client; CROWD]
}

#[test]
fn whole_bodies_short_of_their_end() {
    let sending = Sending::Whole(BODY_BYTES);
    check_crowd("entry-crowd-whole", "/print/orders/x", KEY, sending);
}

#[test]
fn bodies_in_pieces_short_of_their_end() {
    let sending = Sending::Pieces(BODY_BYTES);
    check_crowd("entry-crowd-pieces", "/print/orders/x", KEY, sending);
}

#[test]
fn bodies_in_large_chunks_short_of_their_end() {
    let sending = Sending::LargeChunks(BODY_BYTES - 1);
    check_crowd("entry-crowd-large-chunks", "/print/orders/x", KEY, sending);
}

#[test]
fn bodies_in_small_chunks_short_of_their_end() {
    let sending = Sending::SmallChunks(BODY_BYTES / 4);
    check_crowd("entry-crowd-small-chunks", "/print/orders/x", KEY, sending);
}

#[test]
fn bodies_over_the_limit_announced() {
    let sending = Sending::Announced {
        stated: 64 * BODY_BYTES,
        sent: 2 * BODY_BYTES,
    };
    check_crowd("entry-crowd-announced", "/print/orders/x", KEY, sending);
}

#[test]
fn bodies_over_the_limit_just_sent() {
    let sending = Sending::LargeChunks(4 * BODY_BYTES);
    check_crowd("entry-crowd-endless", "/print/orders/x", KEY, sending);
}

#[test]
fn bodies_with_a_wrong_key() {
    let sending = Sending::Whole(BODY_BYTES);
    check_crowd(
        "entry-crowd-strangers",
        "/print/orders/x",
        "no such key",
        sending,
    );
}

#[test]
fn bodies_without_a_route() {
    let sending = Sending::Whole(BODY_BYTES);
    check_crowd("entry-crowd-no-route", "/none/x", KEY, sending);
}

//! The administration address.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod fixture;

use std::sync::Arc;
use std::time::Duration;

use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::Listing;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_node::entry::Entry;

use crate::common::entry_settings;
use crate::common::loopback;
use crate::fixture::Fleet;
use crate::fixture::await_true;
use crate::fixture::fetch;
use crate::fixture::start_fleet;

/// An object API that does not answer.
struct DownObjects;

impl ObjectPort for DownObjects {
    fn get(&self, _path: &str) -> Result<Option<Object>, ObjectError> {
        Err(down())
    }

    fn list(&self, _prefix: &str) -> Result<Listing, ObjectError> {
        Err(down())
    }

    fn put(
        &self,
        _path: &str,
        _value: &str,
        _expect: Precondition,
    ) -> Result<Revision, ObjectError> {
        Err(down())
    }

    fn delete(&self, _path: &str, _at: Revision) -> Result<Revision, ObjectError> {
        Err(down())
    }

    fn watch(
        &self,
        _prefix: &str,
        _after: Revision,
        _wait: Duration,
    ) -> Result<(Revision, Vec<Change>), ObjectError> {
        Err(down())
    }
}

fn down() -> ObjectError {
    ObjectError::Unavailable("down".to_owned())
}

/// Returns the value of a metric, or none if it is absent.
fn value(fleet: &Fleet, metric: &str) -> Option<u64> {
    let (_, text) = fetch(&format!("http://{}/metrics", fleet.admin)).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(metric))?;
    line.trim().parse().ok()
}

fn refusals(kind: ErrorKind) -> String {
    let code = kind.answer().code;
    format!("sardinepath_refusals_total{{code=\"{code}\"}}")
}

/// Guards against a counter that appears only after the first refusal.
#[test]
fn every_kind_is_present_from_the_start() {
    let fleet = start_fleet(1);

    let counted = ErrorKind::ALL
        .iter()
        .map(|kind| value(&fleet, &refusals(*kind)));

    assert!(counted.into_iter().all(|count| count.is_some()));
}

/// Guards against refusals that are not counted, in the service or in the adapter before it.
#[test]
fn refusals_are_counted_once() {
    let fleet = start_fleet(1);
    let url = format!("http://{}/print/orders/book", fleet.address);
    let size = usize::try_from((1 << 20) + 1).unwrap();

    minreq::get(&url).send().unwrap();
    // The entry may answer and close before the body is sent in full.
    let _ = minreq::post(&url).with_body(vec![0; size]).send();

    await_true("the refusals", || {
        value(&fleet, &refusals(ErrorKind::BodyTooLarge)) == Some(1)
    });
    assert_eq!(value(&fleet, &refusals(ErrorKind::NoKey)), Some(1));
    assert_eq!(value(&fleet, &refusals(ErrorKind::BadKey)), Some(0));
}

/// Guards against a load balancer that sends callers to an entry without a configuration.
#[test]
fn entry_is_ready_only_with_a_configuration() {
    let fleet = start_fleet(1);
    let bare = Entry::start(&entry_settings("host-2", loopback()), Arc::new(DownObjects)).unwrap();

    let ready = fetch(&format!("http://{}/readyz", fleet.admin)).unwrap();
    let starting = fetch(&format!("http://{}/readyz", bare.admin)).unwrap();
    let health = fetch(&format!("http://{}/healthz", bare.admin)).unwrap();

    assert_eq!(ready, (200, "ready\n".to_owned()));
    assert_eq!(starting, (503, "starting\n".to_owned()));
    assert_eq!(health, (200, "ok\n".to_owned()));
}

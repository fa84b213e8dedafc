//! Metrics and readiness at the administration address.

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
use crate::fixture::fetch;
use crate::fixture::start_fleet;
use crate::fixture::wait_for;

/// An object API that fails every call.
struct UnavailableObjects;

impl ObjectPort for UnavailableObjects {
    fn get(&self, _path: &str) -> Result<Option<Object>, ObjectError> {
        Err(unavailable())
    }

    fn list(&self, _prefix: &str) -> Result<Listing, ObjectError> {
        Err(unavailable())
    }

    fn put(
        &self,
        _path: &str,
        _value: &str,
        _expect: Precondition,
    ) -> Result<Revision, ObjectError> {
        Err(unavailable())
    }

    fn delete(&self, _path: &str, _at: Revision) -> Result<Revision, ObjectError> {
        Err(unavailable())
    }

    fn watch(
        &self,
        _prefix: &str,
        _after: Revision,
        _wait: Duration,
    ) -> Result<(Revision, Vec<Change>), ObjectError> {
        Err(unavailable())
    }
}

fn unavailable() -> ObjectError {
    ObjectError::Unavailable("the object API is down".to_owned())
}

/// Returns the value of a metric, or `None` if the page does not have it.
fn metric_value(fleet: &Fleet, metric: &str) -> Option<u64> {
    let (_, text) = fetch(&format!("http://{}/metrics", fleet.admin)).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(metric))?;
    line.trim().parse().ok()
}

/// Returns the name and label of the counter of a kind of refusal.
fn refusal_metric(kind: ErrorKind) -> String {
    let code = kind.answer().code;
    format!("sardinepath_refusals_total{{code=\"{code}\"}}")
}

/// Guards against a counter that is missing from the metrics until the first refusal of its kind.
#[test]
fn every_kind_is_present_from_the_start() {
    let fleet = start_fleet(1);

    let counts = ErrorKind::ALL
        .iter()
        .map(|kind| metric_value(&fleet, &refusal_metric(*kind)));

    assert!(counts.into_iter().all(|count| count.is_some()));
}

/// Guards against refusals that are not counted or counted twice, by the entry service or by the
/// HTTP adapter in front of it.
#[test]
fn refusals_are_counted_once() {
    let fleet = start_fleet(1);
    let url = format!("http://{}/print/orders/book", fleet.address);
    let size = usize::try_from((1 << 20) + 1).unwrap();

    minreq::get(&url).send().unwrap();
    // The entry may answer and close the connection before it has received the complete body.
    let _ = minreq::post(&url).with_body(vec![0; size]).send();

    wait_for("the refusal of the body", || {
        metric_value(&fleet, &refusal_metric(ErrorKind::BodyTooLarge)) == Some(1)
    });
    assert_eq!(
        metric_value(&fleet, &refusal_metric(ErrorKind::NoKey)),
        Some(1)
    );
    assert_eq!(
        metric_value(&fleet, &refusal_metric(ErrorKind::BadKey)),
        Some(0)
    );
}

/// Guards against a load balancer that sends callers to an entry without a configuration, because
/// `/readyz` reports it as ready.
#[test]
fn entry_is_ready_only_with_a_configuration() {
    let fleet = start_fleet(1);
    let unconfigured = Entry::start(
        &entry_settings("host-2", loopback()),
        Arc::new(UnavailableObjects),
    )
    .unwrap();

    let ready = fetch(&format!("http://{}/readyz", fleet.admin)).unwrap();
    let starting = fetch(&format!("http://{}/readyz", unconfigured.admin)).unwrap();
    let health = fetch(&format!("http://{}/healthz", unconfigured.admin)).unwrap();

    assert_eq!(ready, (200, "ready\n".to_owned()));
    assert_eq!(starting, (503, "starting\n".to_owned()));
    assert_eq!(health, (200, "ok\n".to_owned()));
}

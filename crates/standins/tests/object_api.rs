//! Tests of the object API's HTTP adapter against the stand-in.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_standins::object_api::Availability;
use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::objects::MemoryObjects;

const PATH: &str = "config/caf\u{e9} 100%";

fn start() -> (ObjectApi, HttpObjects) {
    let api = ObjectApi::start(Arc::new(MemoryObjects::default())).unwrap();
    let client = HttpObjects::new(api.address);
    (api, client)
}

fn put(client: &HttpObjects, path: &str, value: &str) -> Revision {
    client.put(path, value, Precondition::Absent).unwrap()
}

fn wait_for(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(15);
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition did not hold in time"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against paths, values and revisions that are changed by their encoding.
#[test]
fn objects_are_read_as_they_were_written() {
    let (api, client) = start();

    let revision = put(&client, PATH, "{\"a\": \"\u{e9}\"}");

    let object = client.get(PATH).unwrap().unwrap();
    assert_eq!(
        (object.revision, &*object.value),
        (revision, "{\"a\": \"\u{e9}\"}")
    );
    assert_eq!(
        client.list("config/caf\u{e9} ").unwrap().objects,
        vec![object]
    );
    assert_eq!(client.get("config/none").unwrap(), None);
    let calls = api.calls();
    assert_eq!((calls.put, calls.get, calls.list), (1, 2, 1));
}

/// Guards against a race of two writers in which both succeed.
#[test]
fn second_writer_gets_the_newer_revision() {
    let (_api, client) = start();
    let first = put(&client, PATH, "1");
    let second = client.put(PATH, "2", Precondition::At(first)).unwrap();

    let late = client.put(PATH, "3", Precondition::At(first));
    let again = client.put(PATH, "4", Precondition::Absent);
    let delete = client.delete(PATH, first);

    let conflict = ObjectError::Conflict(Some(second));
    assert_eq!(
        (late, again, delete),
        (Err(conflict.clone()), Err(conflict.clone()), Err(conflict),)
    );
    assert_eq!(&*client.get(PATH).unwrap().unwrap().value, "2");
}

/// Guards against a lost answer that is reported as a write without effect.
#[test]
fn lost_answer_may_have_had_its_effect() {
    let (api, client) = start();
    api.set_faults(|faults| faults.lost_answers = 1);

    let answer = client.put(PATH, "1", Precondition::Absent);

    assert!(matches!(answer, Err(ObjectError::Unknown(_))), "{answer:?}");
    assert_eq!(&*client.get(PATH).unwrap().unwrap().value, "1");
}

/// Guards against a refused write that is reported as one that may have had an effect.
#[test]
fn refused_write_certainly_had_no_effect() {
    let (api, client) = start();
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let unreachable = HttpObjects::new(unused.local_addr().unwrap());
    drop(unused);
    api.set_faults(|faults| faults.availability = Availability::Refusing);

    let answers = [&client, &unreachable].map(|client| client.put(PATH, "1", Precondition::Absent));

    for answer in answers {
        assert!(
            matches!(answer, Err(ObjectError::Unavailable(_))),
            "{answer:?}"
        );
    }
    api.set_faults(|faults| faults.availability = Availability::Up);
    assert_eq!(client.get(PATH).unwrap(), None);
}

/// Guards against a call without a timeout, which blocks if the platform accepts it and never
/// answers.
#[test]
fn silent_platform_ends_a_call_by_time_out() {
    let (api, client) = start();
    api.set_faults(|faults| faults.availability = Availability::Silent);
    let start = Instant::now();

    let read = client.get(PATH);

    assert!(matches!(read, Err(ObjectError::Unavailable(_))), "{read:?}");
    assert!(start.elapsed() < Duration::from_secs(30));
}

/// Guards against waiting watches that block other calls or miss a change or deletion.
#[test]
fn watch_waits_without_blocking_and_sees_each_change() {
    let (api, client) = start();
    let before = put(&client, "other/a", "1");
    let watches: Vec<_> = (0..10)
        .map(|_| {
            let client = client.clone();
            thread::spawn(move || client.watch("config/", before, Duration::from_secs(20)))
        })
        .collect();

    wait_for(|| api.calls().watch == 10);

    let created = put(&client, PATH, "1");

    for watch in watches {
        let (_, changes) = watch.join().unwrap().unwrap();
        assert!(matches!(&changes[..], [Change::Put(o)] if o.revision == created));
    }
    let deleted = client.delete(PATH, created).unwrap();
    let (revision, changes) = client
        .watch("config/", created, Duration::from_secs(20))
        .unwrap();
    assert_eq!(revision, deleted);
    assert!(matches!(&changes[..], [Change::Delete { revision, .. }] if *revision == deleted));
}

/// Guards against a watch that continues across a gap in the history.
#[test]
fn watch_from_compacted_history_is_refused() {
    let (api, client) = start();
    let first = put(&client, PATH, "1");
    client.put(PATH, "2", Precondition::At(first)).unwrap();

    api.objects.compact();

    let watch = client.watch("config/", first, Duration::ZERO);
    assert_eq!(watch, Err(ObjectError::Compacted));
}

/// Guards against an oversized value that is sent to the platform, which refuses it.
#[test]
fn value_above_one_megabyte_is_refused() {
    let (api, client) = start();
    let largest = "x".repeat(1 << 20);

    put(&client, "config/a", &largest);
    let larger = client.put("config/b", &format!("{largest}x"), Precondition::Absent);

    assert!(matches!(larger, Err(ObjectError::Invalid(_))), "{larger:?}");
    assert_eq!(api.calls().put, 1);
}

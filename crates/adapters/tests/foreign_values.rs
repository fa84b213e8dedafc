//! Values of the object API that cannot be decoded, among others that can.
#![allow(clippy::unwrap_used, missing_docs)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::ObjectPort;

/// Starts an API that answers one call with this body.
fn api(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream
            .write_all(&[head.as_bytes(), &body].concat())
            .unwrap();
    });
    address
}

/// Returns a body whose second object has this text as its value.
fn body(name: &str, value: &[u8]) -> Vec<u8> {
    let head = format!(
        r#"{{"revision":9,"{name}":[{{"path":"teams/a","revision":3,"value":"{{}}"}},{{"path":"teams/b","revision":4,"value":"#
    );
    let rest = br#"},{"path":"teams/c","revision":5,"value":"{}"}]}"#;
    [head.as_bytes(), value, rest].concat()
}

/// Returns values that cannot be decoded.
fn unreadable() -> [&'static [u8]; 4] {
    [br#""\udcff""#, b"\"\xff\"", b"1e999", br#""a","value":"b""#]
}

/// Guards against declarations of all teams that are not read, because those of one team cannot be
/// decoded, and against declarations that count as removed.
#[test]
fn a_listing_holds_the_objects_beside_one_that_cannot_be_decoded() {
    for value in unreadable() {
        let objects = HttpObjects::new(api(body("objects", value)));

        let listing = objects.list("teams/").unwrap();

        let paths: Vec<&str> = listing.objects.iter().map(|o| o.path.as_ref()).collect();
        assert_eq!(paths, ["teams/a", "teams/b", "teams/c"]);
        assert_eq!(listing.revision, Revision(9));
        let declarations = serde_json::from_str::<serde_json::Map<_, _>>(&listing.objects[1].value);
        assert!(declarations.is_err());
    }
}

/// Guards against a watch that gets the same change again and again, because it cannot be decoded.
#[test]
fn a_watch_goes_on_after_a_change_that_cannot_be_decoded() {
    for value in unreadable() {
        let objects = HttpObjects::new(api(body("changes", value)));

        let (revision, changes) = objects
            .watch("teams/", Revision(2), Duration::ZERO)
            .unwrap();

        assert_eq!(revision, Revision(9));
        let put = |change: &Change| matches!(change, Change::Put(_));
        assert!(changes.len() == 3 && changes.iter().all(put), "{changes:?}");
    }
}

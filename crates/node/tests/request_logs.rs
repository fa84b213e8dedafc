//! Log lines, which must not contain a key.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod request_support;

use std::sync::Mutex;

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use request_support::KEY;
use request_support::start_path;

/// Collects the records of all levels, including those of libraries.
#[derive(Default)]
struct Collector {
    lines: Mutex<Vec<String>>,
}

impl Log for Collector {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{} {}", record.target(), record.args());
        self.lines.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

/// Installs the collector as the logger of the process.
fn collect_logs() -> &'static Collector {
    let collector: &'static Collector = Box::leak(Box::default());
    log::set_logger(collector).unwrap();
    log::set_max_level(LevelFilter::Trace);
    collector
}

/// Guards against a log line that contains the key of a served, refused, malformed or crossed call.
/// The lines for the crossed call and the malformed head must be present, so that the test fails if
/// nothing is logged.
#[test]
fn logs_hold_no_key() {
    let collector = collect_logs();
    let path = start_path(1);

    path.post("once", "plain/1");
    path.post("once", "crossed/1");
    path.post("once", &format!("plain/{KEY}"));
    path.post("none", &format!("plain?key={KEY}"));
    path.send_raw(&format!(
        "GET /print/once/a HTTP/1.1\r\nx-api-key: {KEY}\r\nbad line\r\n\r\n"
    ));
    path.send_raw(&format!("{KEY}\r\n\r\n"));
    path.send_raw(&format!(
        "GET /{KEY} HTTP/1.1\r\nx-api-key: {KEY}\r\nx-api-key: b\r\n\r\n"
    ));

    let lines = collector.lines.lock().unwrap();
    assert!(lines.iter().any(|line| line.contains("with another id")));
    assert!(
        lines
            .iter()
            .any(|line| line.contains("a caller's connection ended"))
    );
    let leaks: Vec<_> = lines.iter().filter(|line| line.contains(KEY)).collect();
    assert!(leaks.is_empty(), "{leaks:?}");
}

//! Writes events to the log with their number, name and fields.

use std::fmt::Display;

use log::Level;
use log::Record;
use log::kv::ToValue;
use log::kv::Value;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::event::Severity;

/// Log target of all records that carry an event.
pub const LOG_TARGET: &str = "sardinepath";

/// Key of the record field with the event number.
pub const NUMBER_FIELD: &str = "event";

/// Key of the record field with the event name.
pub const NAME_FIELD: &str = "name";

/// Logs an event with the given fields at the level of the event's severity.
pub fn emit(event: Event, fields: &[(&str, &dyn Display)]) {
    let info = event.info();
    let level = level(info.severity);
    if level > log::max_level() {
        return;
    }
    let mut pairs = vec![
        (NUMBER_FIELD, info.number.to_value()),
        (NAME_FIELD, info.name.to_value()),
    ];
    pairs.extend(
        fields
            .iter()
            .map(|(key, value)| (*key, Value::from_dyn_display(*value))),
    );
    log::logger().log(
        &Record::builder()
            .target(LOG_TARGET)
            .level(level)
            .args(format_args!("{}", info.text))
            .key_values(&pairs.as_slice())
            .build(),
    );
}

fn level(severity: Severity) -> Level {
    match severity {
        Severity::Error => Level::Error,
        Severity::Warn => Level::Warn,
        Severity::Info => Level::Info,
        Severity::Debug => Level::Debug,
    }
}

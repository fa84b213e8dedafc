//! Writes each log record as one line of JSON, either directly to standard error or through a
//! bounded queue to standard output.

mod queue;

use std::io;
use std::io::Write;

use anyhow::Context;
use flexi_logger::DeferredNow;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::LevelFilter;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use sardinepath_adapters::event::LOG_TARGET;
use sardinepath_adapters::event::NAME_FIELD;
use sardinepath_adapters::event::NUMBER_FIELD;
use sardinepath_core::domain::event::Event;
use serde_json::Map;
use serde_json::json;

use crate::logging::queue::QueueWriter;

/// Format of timestamps: RFC 3339 in UTC with milliseconds.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// JSON fields of a log record.
struct Fields(Map<String, serde_json::Value>);

/// Starts logging to standard error. Omits events below `level` and messages of libraries below
/// warning level.
pub fn start(level: LevelFilter) -> anyhow::Result<LoggerHandle> {
    Logger::with(specification(level))
        .use_utc()
        .format(write_line)
        .log_to_stderr()
        .start()
        .context("could not start logging")
}

/// Starts logging to standard output through a bounded queue, so that a slow reader of the log
/// never blocks a logging thread.
pub fn start_queued(level: LevelFilter) -> anyhow::Result<LoggerHandle> {
    let writer = QueueWriter::start(write_line).context("could not start the log writer")?;
    Logger::with(specification(level))
        .use_utc()
        .log_to_writer(Box::new(writer))
        .start()
        .context("could not start logging")
}

fn specification(level: LevelFilter) -> LogSpecification {
    LogSpecification::builder()
        .default(level.min(LevelFilter::Warn))
        .module(LOG_TARGET, level)
        .build()
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match value.to_u64() {
            Some(number) => json!(number),
            None => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn write_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let mut fields = Fields(Map::new());
    if record.target() == LOG_TARGET {
        record
            .key_values()
            .visit(&mut fields)
            .map_err(io::Error::other)?;
    } else {
        let info = Event::LibraryMessage.info();
        fields.0.insert(NUMBER_FIELD.to_owned(), json!(info.number));
        fields.0.insert(NAME_FIELD.to_owned(), json!(info.name));
        fields.0.insert("source".to_owned(), json!(record.target()));
    }
    let level = record.level().as_str().to_ascii_lowercase();
    let time = now.format(TIME_FORMAT).to_string();
    fields.0.insert("time".to_owned(), json!(time));
    fields.0.insert("level".to_owned(), json!(level));
    let text = record.args().to_string();
    fields.0.insert("text".to_owned(), json!(text));
    serde_json::to_writer(out, &fields.0).map_err(io::Error::other)
}

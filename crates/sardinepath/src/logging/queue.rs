//! Log writer with a bounded queue and a rate limit for each event.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::FormatFunction;
use flexi_logger::writers::LogWriter;
use flume::Receiver;
use flume::Sender;
use log::Record;
use log::kv::Key;
use sardinepath_adapters::event::NUMBER_FIELD;
use sardinepath_core::domain::event::Event;
use serde_json::json;

/// Maximum number of lines that wait for the writer thread. Further lines are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of lines per event and second. Further lines are counted and dropped.
const MAX_EVENT_RATE: u32 = 300;

/// Time for which the writer thread collects lines before it writes them in one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time that a flush waits for the writer thread when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of one write in bytes. Writes up to this size to a pipe are atomic, so that lines
/// are not split.
const MAX_WRITE_SIZE: usize = 4_096;

/// Message to the writer thread.
enum WriterMessage {
    Text(Vec<u8>),
    /// Asks for all earlier lines to be written, and for a reply on this channel afterwards.
    Flush(Sender<()>),
}

/// Formats log records and passes them to a thread that writes them to standard output.
pub(super) struct QueueWriter {
    lines: Sender<WriterMessage>,
    format: FormatFunction,
    windows: Mutex<HashMap<u64, RateWindow>>,
    dropped: Arc<AtomicU64>,
}

/// Number of lines of one event within the current second.
struct RateWindow {
    start: Instant,
    count: u32,
}

impl QueueWriter {
    pub(super) fn start(format: FormatFunction) -> io::Result<Self> {
        let (lines, queue) = flume::bounded(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let thread = thread::Builder::new().name("log".to_owned());
        thread.spawn(move || write_lines(&queue, &counter))?;
        Ok(Self {
            lines,
            format,
            windows: Mutex::default(),
            dropped,
        })
    }

    /// Counts a line and returns `true` if it is within the rate limit of its event. Lines without
    /// an event number share one limit.
    fn is_within_rate(&self, record: &Record<'_>) -> bool {
        let number = record.key_values().get(Key::from_str(NUMBER_FIELD));
        let number = number.and_then(|value| value.to_u64()).unwrap_or(0);
        let now = Instant::now();
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(number).or_insert(RateWindow {
            start: now,
            count: 0,
        });
        if now.duration_since(window.start) >= Duration::from_secs(1) {
            *window = RateWindow {
                start: now,
                count: 0,
            };
        }
        window.count += 1;
        window.count <= MAX_EVENT_RATE
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        let sent = self.is_within_rate(record) && {
            (self.format)(&mut line, now, record)?;
            line.push(b'\n');
            self.lines.try_send(WriterMessage::Text(line)).is_ok()
        };
        if !sent {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = flume::bounded(1);
        if self.lines.try_send(WriterMessage::Flush(done)).is_ok() {
            // A blocked reader must not delay the end of the process.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_lines(lines: &Receiver<WriterMessage>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        if matches!(first, WriterMessage::Text(_)) {
            thread::sleep(BATCH_INTERVAL);
        }
        let mut text = Vec::new();
        let mut flushes = Vec::new();
        for line in std::iter::once(first).chain(lines.drain()) {
            match line {
                WriterMessage::Text(line) => text.extend_from_slice(&line),
                WriterMessage::Flush(done) => flushes.push(done),
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let info = Event::EventsLeftOut.info();
            let line = json!({
                "event": info.number, "name": info.name, "text": info.text, "count": count,
            });
            text.extend_from_slice(line.to_string().as_bytes());
            text.push(b'\n');
        }
        // An error means that the reader is gone, so there is nowhere to report it.
        let _ = write_whole_lines(&mut out, &text);
        for done in flushes {
            let _ = done.send(());
        }
    }
}

/// Writes text in chunks of at most `MAX_WRITE_SIZE` bytes that end at a line break. A longer line
/// is written in one call.
fn write_whole_lines(out: &mut io::Stdout, mut text: &[u8]) -> io::Result<()> {
    while !text.is_empty() {
        let limit = &text[..text.len().min(MAX_WRITE_SIZE)];
        let end = match limit.iter().rposition(|byte| *byte == b'\n') {
            Some(newline) => newline + 1,
            None => text
                .iter()
                .position(|byte| *byte == b'\n')
                .map_or(text.len(), |end| end + 1),
        };
        out.write_all(&text[..end])?;
        out.flush()?;
        text = &text[end..];
    }
    Ok(())
}

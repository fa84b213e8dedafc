//! Log writer with a bounded queue and a bounded rate for each event.

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

/// Lines that may wait for the writer.
const ROOM: usize = 4_096;

/// Lines of one event in a second. Further ones are counted and left out.
const RATE: u32 = 300;

/// Time for which lines are collected, so that one write takes many.
const COLLECT: Duration = Duration::from_millis(50);

/// Time for the last lines at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// Bytes of one write. A pipe takes this much at once, so that no line is torn.
const WRITE_MOST: usize = 4_096;

/// What the writer thread is told.
enum Line {
    Text(Vec<u8>),
    /// Everything before has to be written now.
    Flush(Sender<()>),
}

/// Passes formatted lines to a thread that writes them to standard output.
pub(super) struct QueueWriter {
    lines: Sender<Line>,
    format: FormatFunction,
    rates: Mutex<HashMap<u64, Rate>>,
    left_out: Arc<AtomicU64>,
}

/// Lines of one event in the current second.
struct Rate {
    since: Instant,
    count: u32,
}

impl QueueWriter {
    pub(super) fn start(format: FormatFunction) -> io::Result<Self> {
        let (lines, queue) = flume::bounded(ROOM);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = left_out.clone();
        let thread = thread::Builder::new().name("log".to_owned());
        thread.spawn(move || write_lines(&queue, &counter))?;
        Ok(Self {
            lines,
            format,
            rates: Mutex::default(),
            left_out,
        })
    }

    /// Counts a line against the rate of its event. Lines without an event share one rate.
    fn fits(&self, record: &Record<'_>) -> bool {
        let number = record.key_values().get(Key::from_str(NUMBER_FIELD));
        let number = number.and_then(|value| value.to_u64()).unwrap_or(0);
        let now = Instant::now();
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let rate = rates.entry(number).or_insert(Rate {
            since: now,
            count: 0,
        });
        if now.duration_since(rate.since) >= Duration::from_secs(1) {
            *rate = Rate {
                since: now,
                count: 0,
            };
        }
        rate.count += 1;
        rate.count <= RATE
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        let sent = self.fits(record) && {
            (self.format)(&mut line, now, record)?;
            line.push(b'\n');
            self.lines.try_send(Line::Text(line)).is_ok()
        };
        if !sent {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = flume::bounded(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            // A reader that has stopped must not hold the end of the process up.
            let _ = written.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Line>, left_out: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        if matches!(first, Line::Text(_)) {
            thread::sleep(COLLECT);
        }
        let mut text = Vec::new();
        let mut flushed = Vec::new();
        for line in std::iter::once(first).chain(lines.drain()) {
            match line {
                Line::Text(line) => text.extend_from_slice(&line),
                Line::Flush(done) => flushed.push(done),
            }
        }
        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            let info = Event::EventsLeftOut.info();
            let line = json!({
                "event": info.number, "name": info.name, "text": info.text, "count": count,
            });
            text.extend_from_slice(line.to_string().as_bytes());
            text.push(b'\n');
        }
        // Without a reader there is nobody to tell.
        let _ = write_whole_lines(&mut out, &text);
        for done in flushed {
            let _ = done.send(());
        }
    }
}

/// Writes lines in pieces that end with a line.
fn write_whole_lines(out: &mut io::Stdout, mut text: &[u8]) -> io::Result<()> {
    while !text.is_empty() {
        let room = &text[..text.len().min(WRITE_MOST)];
        let end = match room.iter().rposition(|byte| *byte == b'\n') {
            Some(last) => last + 1,
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

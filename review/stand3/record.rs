//! The record of a run: what was sent, answered and run, with times since the start.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Lines of a record. Clones share them.
#[derive(Clone)]
pub struct Record {
    /// Start of the run.
    pub start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line at this moment.
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line at a moment.
    pub fn add_at(&self, at: Instant, line: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        lines.push((at, line.into()));
    }

    /// Adds a line at this moment and prints it.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.start.elapsed().as_secs_f64());
        self.add(line);
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, folder: &Path) {
        let mut lines = self.lines.lock().unwrap_or_else(|e| e.into_inner()).clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let seconds = at.saturating_duration_since(self.start).as_secs_f64();
            text.push_str(&format!("{seconds:8.3} {line}\n"));
        }
        if let Err(e) = fs::write(folder.join("record.txt"), text) {
            println!("the record cannot be written: {e}");
        }
    }
}

//! The record of a script: what was sent, answered and run, one line each.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// Record of a script. Clones write to the same file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Writes a line with the milliseconds since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:>7} {text}", self.start.elapsed().as_millis());
    }
}

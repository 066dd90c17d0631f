//! The record of a run: one line for each event, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes the events of a run to a file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file; an earlier record is overwritten.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let started = Instant::now();
        Ok(Self { started, file })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes one event.
    pub fn line(&self, text: &str) {
        let at_ms = self.now_ms();
        let mut file = self.file.lock().expect("not poisoned");
        // A full disk makes the record incomplete, but not the verdict.
        let _ = writeln!(file, "{at_ms:>7} {text}");
    }

    /// Writes one event and prints it.
    pub fn tell(&self, text: &str) {
        self.line(text);
        // Whoever reads the output may have closed it.
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}

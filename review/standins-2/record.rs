//! What was sent, answered and run, with times since the start.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that all threads write to.
#[derive(Clone)]
pub struct Record {
    out: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        let out = BufWriter::new(File::create(path)?);
        Ok(Self {
            out: Arc::new(Mutex::new(out)),
            started: Instant::now(),
        })
    }

    /// Returns the seconds from the start to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let mut out = self.out.lock().unwrap();
        // The record is complete only if each line is written; a full disk shows in the file.
        let _ = writeln!(out, "{:9.3} s  {text}", self.seconds(at));
        let _ = out.flush();
    }
}

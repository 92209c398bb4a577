//! What was sent, answered and run, with times from the start of the case.

use std::{
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record. Cheap to clone.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    /// An empty record that starts now.
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line with the present time.
    pub fn say(&self, text: impl Into<String>) {
        self.say_at(Instant::now(), text);
    }

    /// Adds a line with the time `at`.
    pub fn say_at(&self, at: Instant, text: impl Into<String>) {
        let ms = at.saturating_duration_since(self.started).as_millis();
        self.lines.lock().unwrap().push((ms, text.into()));
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(ms, _)| *ms);
        let text: String =
            lines.iter().map(|(ms, text)| format!("{:>8.3} s  {text}\n", *ms as f64 / 1_000.0)).collect();
        fs::write(path, text)
    }
}

//! The record of a run: one line for each event, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Handle to the record. Cheap to clone.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new(Inner { start: Instant::now(), file: Mutex::new(file) })))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(self.now(), text);
    }

    /// Writes a line for an event at `at` seconds.
    pub fn line_at(&self, at: f64, text: impl AsRef<str>) {
        let mut file = self.0.file.lock().unwrap_or_else(|err| err.into_inner());
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }
}

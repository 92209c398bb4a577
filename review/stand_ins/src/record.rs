//! `record.txt` of a case: what was sent, answered and run, with times since the start.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

/// The record, which all threads write to.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file that the variable `RECORD` names.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").expect("RECORD names the record's file");
        let file = File::create(Path::new(&path)).expect("the record can be written");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the time `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {text}", at.saturating_duration_since(self.start).as_secs_f64());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

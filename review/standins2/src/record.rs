//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// A record, which all stand-ins of a case share.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{:9.3} {text}", self.now().as_secs_f64());
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().expect("no panic");
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}

//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A record that threads share.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the start of the run in ms.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: String) {
        let mut lines = self.lines.lock().expect("no panic");
        lines.push((self.now_ms(), line));
    }

    /// Prints a line that sums up, and adds it.
    pub fn report(&self, line: String) {
        println!("{line}");
        self.add(line);
    }

    pub fn write(&self, path: &Path) {
        let mut f = File::create(path).expect("the record can be written");
        for (ms, line) in self.lines.lock().expect("no panic").iter() {
            writeln!(f, "{ms:>7} ms  {line}").expect("the record can be written");
        }
    }
}

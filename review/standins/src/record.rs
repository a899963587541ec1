//! The record of a case: what was sent, answered and run, with times from the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Result of a case, with its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    /// The case could not run.
    Invalid = 2,
}

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder that the environment variable `CASE_DIR` names.
    pub fn create() -> Self {
        let folder = std::env::var("CASE_DIR").expect("CASE_DIR names the folder of the case");
        let path = PathBuf::from(folder).join("record.txt");
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Mutex::new(file), start: Instant::now() }
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }

    /// Ends the process with a verdict. Gateways must have been ended before.
    pub fn end(&self, verdict: Verdict, reason: &str) -> ! {
        self.line(&format!("verdict: {verdict:?}: {reason}"));
        println!("{verdict:?}: {reason}");
        std::process::exit(verdict as i32)
    }
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

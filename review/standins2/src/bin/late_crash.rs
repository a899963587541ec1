//! Case: a replica crashes one pass after the first event of an answer.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use standins2::deadly;
use standins2::deadly::DEADLY_PART;
use standins2::deadly::Plan;
use standins2::has_trouble;
use standins2::record::Record;

/// Length of a pass of an engine that also reads a long prompt, in ms; `DELAY_MS` replaces it.
const PASS_MS: u64 = 150;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let record = Record::create(Path::new(&args[2]));
    let delay = std::env::var("DELAY_MS").ok().and_then(|text| text.parse().ok());
    let plan = Plan {
        deadly_pause: Duration::from_millis(1500),
        deadly_parts: |number| format!("aa01:40,{DEADLY_PART}:100,{:x}:400", 0x900000 + number),
        sound_parts: |number| format!("aa01:40,{:x}:400", 0x10000 + number),
        sound_pause: Duration::from_millis(300),
        is_deadly: has_trouble(),
        crash_delay: Some(Duration::from_millis(delay.unwrap_or(PASS_MS))),
        kills: Vec::new(),
        length: Duration::from_secs(40),
    };
    match deadly::run(Path::new(&args[1]), &record, &plan) {
        0..=3 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

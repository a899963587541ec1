//! Case: all gateways are killed after a part of prompts that crashes replicas was blocked.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use standins2::deadly;
use standins2::deadly::DEADLY_PART;
use standins2::deadly::Plan;
use standins2::has_trouble;
use standins2::record::Record;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let record = Record::create(Path::new(&args[2]));
    let plan = Plan {
        deadly_pause: Duration::from_millis(3500),
        deadly_parts: |number| format!("aa01:40,{DEADLY_PART}:100,{:x}:400", 0x900000 + number),
        sound_parts: |number| format!("aa01:40,{:x}:400", 0x10000 + number),
        sound_pause: Duration::from_millis(100),
        is_deadly: true,
        crash_delay: None,
        kills: if has_trouble() { vec![Duration::from_secs(17)] } else { Vec::new() },
        length: Duration::from_secs(95),
    };
    match deadly::run(Path::new(&args[1]), &record, &plan) {
        0..=3 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

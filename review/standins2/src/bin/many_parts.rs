//! Case: the part that crashes replicas is the 70th of the 71 parts of its prompts, which are those of
//! long sessions.

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
        deadly_pause: Duration::from_millis(1500),
        deadly_parts: |number| {
            let turns = turns_of(number);
            format!("aa01:40,{turns},{DEADLY_PART}:60,{:x}:20", 0x900000 + number)
        },
        sound_parts: |number| {
            let turns = turns_of(number);
            format!("aa01:40,{turns},{:x}:20", 0xa00000 + number)
        },
        sound_pause: Duration::from_millis(300),
        is_deadly: has_trouble(),
        crash_delay: None,
        kills: Vec::new(),
        length: Duration::from_secs(40),
    };
    match deadly::run(Path::new(&args[1]), &record, &plan) {
        0..=3 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Returns the earlier turns of a session, which its sound prompts share: 68, or as many as `TURNS` says.
fn turns_of(session: u64) -> String {
    let count = std::env::var("TURNS").ok().and_then(|text| text.parse().ok()).unwrap_or(68);
    let turns = (0..count).map(|turn| format!("{:x}:6", 0x1000000 + session * 100 + turn));
    turns.collect::<Vec<_>>().join(",")
}

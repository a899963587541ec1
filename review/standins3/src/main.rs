//! Runs one case: `standins3 CASE FOLDER`, from the root of the repository.
//!
//! Ends with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0`
//! in the environment there is no disruption.

mod client;
mod cold;
mod evacuate;
mod frozen;
mod gateway;
mod http;
mod json;
mod load;
mod record;
mod replica;
mod restore;
mod resumed;
mod site;
mod store;

use std::path::PathBuf;

use crate::record::Record;
use crate::site::Run;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standins3 CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let settings = std::env::temp_dir().join(format!("standins3-{}", std::process::id()));
    std::fs::create_dir_all(&settings).expect("a temporary folder");
    let run = Run { record: Record::new(), folder: settings.clone(), has_trouble };
    let is_broken = match case.as_str() {
        "restore" => restore::run(&run),
        "frozen" => frozen::run(&run),
        "resumed" => resumed::run(&run),
        "evacuate" => evacuate::run(&run),
        other => {
            eprintln!("no case is named {other}");
            std::process::exit(2);
        }
    };
    run.record.write(&PathBuf::from(folder).join("record.txt"));
    if std::env::var("KEEP").is_err() {
        // What is left of it does no harm.
        let _ = std::fs::remove_dir_all(&settings);
    } else {
        println!("settings and logs: {}", settings.display());
    }
    println!("{}", if is_broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(is_broken));
}

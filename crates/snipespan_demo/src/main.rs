//! Runs the whole system in one process with fake backend servers and a fake platform.

use eyre::Result;

fn main() -> Result<()> {
    snipespan_demo::commands::run(&snipespan_demo::args::command().get_matches())
}

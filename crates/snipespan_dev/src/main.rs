//! Maintenance tasks of the repository.

use eyre::Result;

fn main() -> Result<()> {
    snipespan_dev::commands::run(&snipespan_dev::args::command().get_matches())
}

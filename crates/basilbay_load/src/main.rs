//! `basilbay-load`: load generator, scenario runner and reports.

use std::process::ExitCode;

fn main() -> ExitCode {
    basilbay_load::command::run()
}

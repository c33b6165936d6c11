//! `basilbay-load`: load, scenarios and reports.

use std::process::ExitCode;

fn main() -> ExitCode {
    basilbay_load::command::run()
}

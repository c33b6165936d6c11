//! Starts the client and turns its output into an exit code.

use std::process::ExitCode;

use basilbay_client::{command, run};

fn main() -> ExitCode {
    let matches = command::build().get_matches();
    match run::run(&matches) {
        Ok(output) => output.print(),
        Err(error) => {
            eprintln!("basilbay: {error:#}");
            ExitCode::from(2)
        }
    }
}

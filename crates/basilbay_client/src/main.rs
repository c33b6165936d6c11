//! Entry point of the `basilbay` binary: parses the arguments, runs the subcommand and exits with
//! its code.

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

//! `basilbay-fakes`: fakes of the platform, the targets and the network.

use std::process::ExitCode;

fn main() -> ExitCode {
    basilbay_fakes::command::run()
}

//! `basilbayd`, the sidecar proxy daemon of each target instance.

use std::process::ExitCode;

use basilbay_daemon::daemon::Daemon;
use basilbay_daemon::program::{self, Program};
use basilbay_daemon::settings::Settings;

fn main() -> ExitCode {
    program::main(Program {
        name: "basilbayd",
        about: "Load balancer daemon: sidecar proxy of one target instance.",
        parse: |file, bytes| {
            let settings = Settings::parse(file, bytes)?;
            Ok((settings.clone(), Box::pin(Daemon::new(settings))))
        },
    })
}

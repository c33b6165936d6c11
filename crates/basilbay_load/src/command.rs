//! The command line of `basilbay-load`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use tokio::signal::unix::{SignalKind, signal};

use crate::demo;

/// Threads of the runtime that sends the requests.
const THREADS: usize = 4;

/// Exit code of a run that was interrupted.
const INTERRUPTED: u8 = 130;

/// The command line.
pub fn command() -> Command {
    Command::new("basilbay-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Starts fleets of real processes on loopback, sends load and accounts for it")
        .after_help(
            "Exit codes: 0 all limits hold, 1 a limit is broken or a run failed, 130 interrupted.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("demo")
                .about("Caroni's sizes of today while a failure domain goes out and comes back"),
        )
}

/// Runs the program.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    match start(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("basilbay-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        // Giving up a verb drops its fleet, which ends all its processes.
        tokio::select! {
            done = dispatch(matches) => done,
            stopped = interrupted() => stopped.map(|()| ExitCode::from(INTERRUPTED)),
        }
    })
}

async fn dispatch(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    match matches.subcommand() {
        Some(("demo", _)) => demo::run().await,
        _ => anyhow::bail!("unknown command"),
    }
}

/// Waits for SIGINT, SIGTERM or the end of the terminal.
async fn interrupted() -> anyhow::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        _ = hangup.recv() => {}
    }
    Ok(())
}

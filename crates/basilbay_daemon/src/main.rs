//! `basilbayd`, the daemon beside each target instance.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};

use basilbay_daemon::daemon::Daemon;
use basilbay_daemon::settings::Settings;
use basilbay_events::log;

/// Exit code for settings that have findings.
const EXIT_BAD_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("basilbayd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Load balancer daemon: runs beside one target instance.")
        .after_help(
            "Exit codes: 0 stopped as asked, 1 failed, 2 the settings have findings.\n\
             SIGTERM and SIGINT stop the daemon; running requests finish first.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("INI file with the daemon's addresses and what it stands beside"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and stop"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::FAILURE;
    };
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("basilbayd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> anyhow::Result<()> {
    log::start(
        settings.log_format,
        &settings.log_filter,
        settings.log_spans,
    )?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let daemon = Daemon::new(settings).await?;
        daemon.run().await
    })
}

//! The command line of a daemon, shared by the programs that differ in where settings lead.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use clap::{Arg, ArgAction, Command, value_parser};

use basilbay_events::log;
use basilbay_model::finding::Report;

use crate::daemon::{Daemon, Result};
use crate::reload;
use crate::settings::Settings;

/// Exit code for settings that have findings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// A daemon that is being put together.
pub type Startup = Pin<Box<dyn Future<Output = Result<Arc<Daemon>>>>>;

/// Reads the content of a settings file and says how the daemon is put together.
pub type Parse = fn(&str, &[u8]) -> std::result::Result<(Settings, Startup), Report>;

/// A program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// What it does.
    pub about: &'static str,
    /// Reads its settings.
    pub parse: Parse,
}

/// Runs a program with the arguments of the process.
pub fn main(program: Program) -> ExitCode {
    let matches = command(program).get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::FAILURE;
    };
    let (settings, making) = match load(program, path) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    let read = {
        let path = path.clone();
        move || load(program, &path).map(|(settings, _)| settings)
    };
    match run(settings, making, path.clone(), read) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error:#}", program.name);
            ExitCode::FAILURE
        }
    }
}

fn command(program: Program) -> Command {
    Command::new(program.name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(program.about)
        .after_help(
            "Exit codes: 0 stopped as asked, 1 failed, 2 the settings have findings.\n\
             SIGTERM and SIGINT stop the daemon; running requests finish first.\n\
             SIGHUP reads the settings again, and so does a change of the file.",
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

fn load(program: Program, path: &Path) -> anyhow::Result<(Settings, Startup)> {
    let bytes = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    Ok((program.parse)(&path.display().to_string(), &bytes)?)
}

fn run(
    settings: Settings,
    making: Startup,
    path: PathBuf,
    read: impl Fn() -> anyhow::Result<Settings> + Send + Sync + 'static,
) -> anyhow::Result<()> {
    let log = log::start(
        settings.log_format,
        settings.log_output,
        &settings.log_filter,
        settings.log_spans,
    )?;
    let mut builder = match settings.threads {
        1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if settings.threads > 1 {
        builder.worker_threads(settings.threads);
    }
    let runtime = builder.enable_all().build()?;
    runtime.block_on(async {
        let daemon = making.await?;
        daemon.log_dropped.get_or_init(|| log.dropped());
        tokio::spawn(reload::watch(daemon.clone(), path, read));
        daemon.run().await
    })
}

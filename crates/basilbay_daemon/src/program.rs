//! Command line and process start of a daemon.
//!
//! Shared by `basilbayd` and the adapters to other platforms, which differ in how they parse the
//! settings and build the daemon.

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

/// Future that builds a daemon.
pub type Startup = Pin<Box<dyn Future<Output = Result<Arc<Daemon>>>>>;

/// Parses the settings file with the given name and content; returns the settings and the future
/// that builds the daemon from them.
pub type Parse = fn(&str, &[u8]) -> std::result::Result<(Settings, Startup), Report>;

/// A daemon program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// Description for `--help`.
    pub about: &'static str,
    /// Parser of its settings.
    pub parse: Parse,
}

/// Runs a program with the command line arguments of the process.
pub fn main(program: Program) -> ExitCode {
    let matches = command(program).get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::FAILURE;
    };
    let (settings, startup) = match load(program, path) {
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
    let reload_settings = {
        let path = path.clone();
        move || load(program, &path).map(|(settings, _)| settings)
    };
    match run(settings, startup, path.clone(), reload_settings) {
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
            "Exit codes: 0 stopped by a signal, 1 failed, 2 the settings have findings.\n\
             SIGTERM and SIGINT stop the daemon; running requests finish first.\n\
             SIGHUP reloads the settings, and so does a change of the file.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("INI file with the daemon's addresses and its target"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

fn load(program: Program, path: &Path) -> anyhow::Result<(Settings, Startup)> {
    let bytes = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    Ok((program.parse)(&path.display().to_string(), &bytes)?)
}

fn run(
    settings: Settings,
    startup: Startup,
    path: PathBuf,
    reload_settings: impl Fn() -> anyhow::Result<Settings> + Send + Sync + 'static,
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
        let daemon = startup.await?;
        daemon.log_dropped.get_or_init(|| log.dropped());
        tokio::spawn(reload::watch(daemon.clone(), path, reload_settings));
        daemon.run().await
    })
}

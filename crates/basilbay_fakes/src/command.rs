//! The command line of `basilbay-fakes`.
//!
//! Each fake prints its addresses on standard output once it listens, and runs until SIGINT or
//! SIGTERM.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};

use crate::platform::publish::publish;
use crate::platform::{self, Platform, Services};
use crate::proxy::{self, Protocol, Proxy, Route};
use crate::targets::{Targets, spec};

/// Worker threads of the runtime; few, because the fakes share the machine with the load generator.
const DEFAULT_THREADS: usize = 4;

/// Exit code of a failed command; differs from 2, with which clap reports a bad command line.
const EXIT_FAILURE: u8 = 1;

/// Parses the command line and runs the chosen command.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    match execute(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("basilbay-fakes: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn execute(matches: &ArgMatches) -> anyhow::Result<()> {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let threads = matches.get_one::<usize>("threads").copied();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads.unwrap_or(DEFAULT_THREADS).max(1))
        .enable_all()
        .build()?;
    runtime.block_on(dispatch(matches))
}

/// Defines the command line.
pub fn command() -> Command {
    let threads = Arg::new("threads")
        .long("threads")
        .value_name("N")
        .value_parser(value_parser!(usize))
        .default_value(DEFAULT_THREADS.to_string())
        .global(true)
        .help("Worker threads of the runtime");
    Command::new("basilbay-fakes")
        .about("Fakes of the platform, the targets and the network, on loopback only")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(threads)
        .subcommand(
            Command::new("platform")
                .about("Configuration service and instance list in one process")
                .args([listen_arg(), config_arg(), instances_arg()]),
        )
        .subcommand(
            Command::new("config")
                .about("Configuration service only")
                .args([listen_arg(), config_arg()]),
        )
        .subcommand(
            Command::new("list")
                .about("Instance list only")
                .args([listen_arg(), instances_arg()]),
        )
        .subcommand(
            Command::new("publish")
                .about("Publishes a configuration file to a running configuration service")
                .args([
                    file_arg("FILE")
                        .required(true)
                        .help("Configuration file, INI"),
                    address_arg("to")
                        .required(true)
                        .help("Address of the configuration service"),
                ]),
        )
        .subcommand(
            Command::new("targets")
                .about("Any number of targets in one process")
                .args([
                    file_option("spec")
                        .required(true)
                        .help("JSON list of targets"),
                    address_arg("control")
                        .default_value("127.0.0.1:0")
                        .help("Address of the control listener"),
                ]),
        )
        .subcommand(
            Command::new("proxy")
                .about("Fault-injecting proxy for TCP and UDP")
                .args(proxy_args()),
        )
}

fn proxy_args() -> [Arg; 5] {
    [
        address_arg("listen")
            .required_unless_present("routes")
            .requires("to")
            .help("Address to listen on"),
        address_arg("to").help("Address to forward to"),
        Arg::new("udp")
            .long("udp")
            .action(ArgAction::SetTrue)
            .help("Also forward UDP, on the same port number"),
        file_option("routes")
            .conflicts_with_all(["listen", "to", "udp"])
            .help("JSON list of routes"),
        address_arg("control")
            .default_value("127.0.0.1:0")
            .help("Address of the control listener"),
    ]
}

fn address_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
}

fn file_arg(name: &'static str) -> Arg {
    Arg::new(name).value_parser(value_parser!(PathBuf))
}

fn file_option(name: &'static str) -> Arg {
    file_arg(name).long(name).value_name("FILE")
}

fn listen_arg() -> Arg {
    address_arg("listen")
        .required(true)
        .help("Address to listen on")
}

fn config_arg() -> Arg {
    file_option("config").help("Initial configuration, INI")
}

fn instances_arg() -> Arg {
    file_option("instances").help("Initial instance list, JSON without timestamps")
}

async fn dispatch(matches: &ArgMatches) -> anyhow::Result<()> {
    match matches.subcommand() {
        Some(("platform", matches)) => run_platform(matches, Services::Both).await,
        Some(("config", matches)) => run_platform(matches, Services::Config).await,
        Some(("list", matches)) => run_platform(matches, Services::List).await,
        Some(("publish", matches)) => run_publish(matches).await,
        Some(("targets", matches)) => run_targets(matches).await,
        Some(("proxy", matches)) => run_proxy(matches).await,
        _ => anyhow::bail!("unknown command; see --help"),
    }
}

async fn run_platform(matches: &ArgMatches, services: Services) -> anyhow::Result<()> {
    let settings = platform::Settings {
        listen: required(matches, "listen")?,
        services,
        config: optional_file(matches, "config").map(read).transpose()?,
        instances: match optional_file(matches, "instances") {
            Some(path) => serde_json::from_str(&read(path)?)
                .with_context(|| format!("cannot parse {}", path.display()))?,
            None => Vec::new(),
        },
    };
    let platform = Platform::start(settings).await?;
    println!("platform {}", platform.address());
    wait_for_signal().await
}

async fn run_publish(matches: &ArgMatches) -> anyhow::Result<()> {
    let path: PathBuf = required(matches, "FILE")?;
    let to = required(matches, "to")?;
    let version = publish(to, read(&path)?).await?;
    println!("published version {version}");
    Ok(())
}

async fn run_targets(matches: &ArgMatches) -> anyhow::Result<()> {
    let path: PathBuf = required(matches, "spec")?;
    let control = required(matches, "control")?;
    let targets = Targets::start(spec::read(&path)?, control).await?;
    println!("control {}", targets.control());
    for status in targets.status() {
        println!("target {} {}", status.id, status.address);
    }
    wait_for_signal().await
}

async fn run_proxy(matches: &ArgMatches) -> anyhow::Result<()> {
    let routes = match optional_file(matches, "routes") {
        Some(path) => proxy::read(path)?,
        None => vec![parse_route(matches)?],
    };
    let proxy = Proxy::start(routes, required(matches, "control")?).await?;
    println!("control {}", proxy.control());
    for status in proxy.status() {
        println!("route {} {}", status.name, status.address);
    }
    wait_for_signal().await
}

fn parse_route(matches: &ArgMatches) -> anyhow::Result<Route> {
    let protocol = match matches.get_flag("udp") {
        true => Protocol::Both,
        false => Protocol::Tcp,
    };
    Ok(Route {
        name: "route".into(),
        listen: required(matches, "listen")?,
        to: required(matches, "to")?,
        protocol,
    })
}

/// Returns an argument that clap requires or has a default for.
fn required<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
) -> anyhow::Result<T> {
    let value = matches.get_one::<T>(name).cloned();
    value.with_context(|| format!("argument {name} is missing"))
}

/// Returns a file argument, or `None` if it is absent or not defined for the command.
fn optional_file<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a Path> {
    let path = matches.try_get_one::<PathBuf>(name).ok().flatten();
    path.map(PathBuf::as_path)
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

async fn wait_for_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

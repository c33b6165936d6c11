//! Command line of `basilbay-load`.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

use crate::compare::{self, Experiment, POLICIES};
use crate::scenario::{Scenario, catalogue};
use crate::{capacity, demo, latency, quick, report, soak, table};

/// Worker threads of the runtime that sends the requests.
const WORKER_THREADS: usize = 4;

/// Exit code after SIGINT, SIGTERM or SIGHUP.
const EXIT_INTERRUPTED: u8 = 130;

/// Defines the command line.
pub fn command() -> Command {
    Command::new("basilbay-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Starts fleets of real processes on loopback, generates load and audits the outcomes")
        .after_help(
            "Exit codes: 0 all limits hold, 1 a limit is broken or a run failed, 130 interrupted.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("demo")
                .about("Runs Caroni's deployment of today while a failure domain is taken out and brought back"),
        )
        .subcommand(
            Command::new("run")
                .about("Runs a scenario and checks its limits")
                .arg(
                    Arg::new("scenario")
                        .required(true)
                        .value_name("SCENARIO")
                        .help("Name of a built-in scenario, a JSON file, or 'all'"),
                )
                .arg(
                    Arg::new("policy")
                        .long("policy")
                        .value_parser(POLICIES)
                        .help("Load balancing policy of all services, overriding the configuration"),
                )
                .args([rounds_arg("1"), json_arg()]),
        )
        .subcommand(
            Command::new("compare")
                .about("Compares the policies with each other and with the bound of an ideal queue")
                .arg(
                    Arg::new("scenario")
                        .long("scenario")
                        .default_value("noisy")
                        .help("Scenario that defines load, deployment and noise"),
                )
                .args([rounds_arg("3"), json_arg()]),
        )
        .subcommand(
            Command::new("latency")
                .about("Measures the latency that basilbay adds, and the memory and CPU of a daemon")
                .arg(
                    Arg::new("seconds")
                        .long("seconds")
                        .value_parser(value_parser!(f64))
                        .default_value("6")
                        .help("Duration of the measurement of each chain length"),
                )
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("report")
                .about("Writes an HTML page with plots of the policies and of a failure domain going out and back")
                .arg(
                    Arg::new("deployment")
                        .long("deployment")
                        .value_parser(["caroni", "ozolini"])
                        .default_value("caroni")
                        .help("Built-in deployment to run"),
                )
                .arg(
                    Arg::new("out")
                        .long("out")
                        .value_name("DIR")
                        .value_parser(value_parser!(PathBuf))
                        .default_value("report")
                        .help("Output folder for the page and its plots"),
                ),
        )
        .subcommand(
            Command::new("capacity")
                .about("Measures how the control plane's cost grows with the size of the fleet")
                .arg(
                    Arg::new("sizes")
                        .long("sizes")
                        .value_name("N,...")
                        .value_delimiter(',')
                        .value_parser(value_parser!(u16).range(2..=1000))
                        .default_value(capacity::DEFAULT_SIZES)
                        .help("Number of daemons of each measured fleet"),
                )
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("soak")
                .about("Injects random faults into fleets, one seed after the other")
                .arg(
                    Arg::new("seeds")
                        .long("seeds")
                        .value_name("N")
                        .value_parser(value_parser!(u64).range(1..))
                        .default_value("10")
                        .help("Number of seeds to run after the regression seeds"),
                )
                .arg(
                    Arg::new("from")
                        .long("from")
                        .value_name("SEED")
                        .value_parser(value_parser!(u64))
                        .default_value("1")
                        .help("First seed"),
                )
                .arg(
                    Arg::new("seconds")
                        .long("seconds")
                        .value_parser(value_parser!(f64))
                        .default_value("10")
                        .help("Duration of the load of each seed; at least 8"),
                )
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("quick")
                .about("Checks the main goals in under 50 seconds")
                .arg(json_arg()),
        )
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Writes the results to a JSON file")
}

fn rounds_arg(default: &'static str) -> Arg {
    Arg::new("rounds")
        .long("rounds")
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..))
        .default_value(default)
        .help("Number of runs, each with different arrivals")
}

/// Runs the program.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    match run_async(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("basilbay-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_async(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        // Cancelling a subcommand drops its fleet, which ends all its processes.
        tokio::select! {
            done = dispatch(matches) => done,
            stopped = wait_for_signal() => stopped.map(|()| ExitCode::from(EXIT_INTERRUPTED)),
        }
    })
}

async fn dispatch(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    match matches.subcommand() {
        Some(("demo", _)) => demo::run().await,
        Some(("run", matches)) => run_scenario(matches).await,
        Some(("compare", matches)) => run_compare(matches).await,
        Some(("latency", matches)) => run_latency(matches).await,
        Some(("report", matches)) => run_report(matches).await,
        Some(("capacity", matches)) => run_capacity(matches).await,
        Some(("soak", matches)) => run_soak(matches).await,
        Some(("quick", matches)) => run_quick(matches).await,
        _ => anyhow::bail!("unknown command"),
    }
}

fn required<'a>(matches: &'a ArgMatches, name: &str) -> anyhow::Result<&'a str> {
    let required = matches.get_one::<String>(name);
    required
        .map(String::as_str)
        .with_context(|| format!("argument '{name}' is missing"))
}

fn write_json(matches: &ArgMatches, result: &impl Serialize) -> anyhow::Result<()> {
    let Some(path) = matches.get_one::<PathBuf>("json") else {
        return Ok(());
    };
    std::fs::write(path, serde_json::to_vec_pretty(result)?)
        .with_context(|| format!("cannot write {}", path.display()))
}

fn exit_code(holds: bool) -> ExitCode {
    println!("verdict: {}", if holds { "passed" } else { "failed" });
    if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run_scenario(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let name = required(matches, "scenario")?;
    let policy = matches.get_one::<String>("policy").map(String::as_str);
    let rounds = matches.get_one::<u64>("rounds").copied().unwrap_or(1);
    let names = match name {
        "all" => catalogue::all(),
        name => vec![name],
    };
    let mut holds = true;
    let mut results = Vec::new();
    for name in names {
        let scenario = Scenario::find(name)?;
        for round in 0..rounds {
            eprintln!("scenario {name}, round {}: {}", round + 1, scenario.about);
            let (trial, verdict) = scenario.run(policy, round).await?;
            println!("{}", table::summary(&trial.summary));
            for check in &verdict.checks {
                println!("{}", check.line());
            }
            println!();
            holds &= verdict.holds();
            results.push((name.to_owned(), round, trial.summary, verdict));
        }
    }
    write_json(matches, &results)?;
    Ok(exit_code(holds))
}

async fn run_compare(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let scenario = Scenario::find(required(matches, "scenario")?)?;
    let experiment = Experiment {
        noise: quick::first_noise(&scenario),
        scenario,
        policies: POLICIES.to_vec(),
        rounds: matches.get_one::<u64>("rounds").copied().unwrap_or(1),
    };
    let comparison = compare::run(&experiment).await?;
    println!(
        "{:.0} calls/s; medians of {} rounds",
        comparison.rate, experiment.rounds
    );
    println!("{}", comparison.table());
    for other in &POLICIES[..4] {
        let ratio = comparison.p99_ratio(other).unwrap_or(f64::NAN);
        println!("p99 of basilbay by that of {other}: {ratio:.2}");
    }
    write_json(matches, &comparison)?;
    Ok(ExitCode::SUCCESS)
}

async fn run_latency(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let seconds = matches.get_one::<f64>("seconds").copied().unwrap_or(1.0);
    let report = latency::run(seconds, &latency::DEPTHS, true).await?;
    println!("{}", report.table());
    write_json(matches, &report)?;
    Ok(ExitCode::SUCCESS)
}

async fn run_report(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let folder = matches
        .get_one::<PathBuf>("out")
        .context("argument 'out' is missing")?;
    let deployment = required(matches, "deployment")?;
    let violations = report::run(deployment, folder).await?;
    println!("{}", folder.join(report::PAGE_FILE).display());
    Ok(exit_code(violations == 0))
}

async fn run_capacity(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let sizes = matches.get_many::<u16>("sizes").unwrap_or_default();
    let sizes: Vec<usize> = sizes.map(|size| usize::from(*size)).collect();
    let report = capacity::run(&sizes).await?;
    println!("{}", report.table());
    write_json(matches, &report)?;
    Ok(ExitCode::SUCCESS)
}

async fn run_soak(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let seconds = matches.get_one::<f64>("seconds").copied().unwrap_or(10.0);
    let (from, count) = (number("from"), number("seeds"));
    let regressions = soak::regressions();
    let seeds = regressions
        .into_iter()
        .chain(from..from.saturating_add(count));
    let mut outcomes = Vec::new();
    for seed in seeds {
        let outcome = soak::run_seed(seed, seconds).await?;
        println!("{outcome}");
        outcomes.push(outcome);
    }
    write_json(matches, &outcomes)?;
    Ok(exit_code(outcomes.iter().all(soak::Outcome::holds)))
}

async fn run_quick(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let report = quick::run().await?;
    println!("{}", report.text());
    write_json(matches, &report)?;
    Ok(if report.holds() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Waits for SIGINT, SIGTERM or SIGHUP.
async fn wait_for_signal() -> anyhow::Result<()> {
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

//! Dispatches the parsed command line to the subcommands and returns what they print.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use clap::ArgMatches;

use crate::output::{Code, Output};
use crate::{check, diff, events, explain, fleet, status, wait};

/// Result of an operation that can fail.
pub type Result<T> = anyhow::Result<T>;

/// Runs the selected subcommand.
///
/// # Errors
///
/// Fails if an argument is missing, the runtime cannot start or the output cannot be serialised. A
/// daemon that cannot be queried is no error but an output with [`Code::Unreachable`].
pub fn run(matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("check", args)) => Ok(check::output(&check_sources(args))),
        Some(("diff", args)) => diff(args),
        Some(("status", args)) => block_on(status(args))?,
        Some(("explain", args)) => block_on(explain(args))?,
        Some(("wait", args)) => block_on(wait(args))?,
        Some(("events", args)) => Ok(events::output(
            args.get_one("number").copied(),
            args.get_flag("json"),
        )),
        _ => anyhow::bail!("no subcommand"),
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    Ok(runtime.block_on(future))
}

fn check_sources(args: &ArgMatches) -> Vec<check::Source> {
    let paths = args.get_many::<PathBuf>("file").unwrap_or_default();
    paths.map(|path| check::Source::read(path)).collect()
}

fn diff(args: &ArgMatches) -> Result<Output> {
    let old = check::Source::read(path(args, "old")?);
    let new = check::Source::read(path(args, "new")?);
    diff::output(&old, &new, args.get_flag("json"))
}

async fn status(args: &ArgMatches) -> Result<Output> {
    let deadline = deadline(args)?;
    let filter = status::Filter {
        service: args.get_one("service").cloned(),
        domain: args.get_one("domain").cloned(),
    };
    match fleet::query(daemon(args)?, deadline, &[]).await {
        Ok(report) => status::output(&report, &filter, args.get_flag("json")),
        Err(error) => Ok(unreachable_output(&error)),
    }
}

async fn explain(args: &ArgMatches) -> Result<Output> {
    let request = fleet::Request {
        service: text(args, "service"),
        method: text(args, "method"),
        path: text(args, "path"),
    };
    match fleet::explain(daemon(args)?, deadline(args)?, &request).await {
        Ok(explanation) => explain::output(&explanation, &request, args.get_flag("json")),
        Err(error) => Ok(unreachable_output(&error)),
    }
}

async fn wait(args: &ArgMatches) -> Result<Output> {
    let condition = wait::Condition {
        version: *args.get_one("version").context("missing --version")?,
        reachable_only: args.get_flag("reachable-only"),
    };
    match wait::until(daemon(args)?, deadline(args)?, &condition).await {
        Ok(progress) => Ok(wait::output(&progress, &condition)),
        Err(error) => Ok(unreachable_output(&error)),
    }
}

fn unreachable_output(error: &anyhow::Error) -> Output {
    let mut output = Output {
        code: Code::Unreachable,
        ..Output::default()
    };
    output.push_error(&format!("basilbay: {error:#}"));
    output
}

fn path<'a>(args: &'a ArgMatches, name: &str) -> Result<&'a PathBuf> {
    args.get_one(name).context("missing file argument")
}

fn text(args: &ArgMatches, name: &str) -> String {
    args.get_one(name).cloned().unwrap_or_default()
}

fn daemon(args: &ArgMatches) -> Result<SocketAddr> {
    args.get_one("daemon").copied().context("missing --daemon")
}

fn deadline(args: &ArgMatches) -> Result<Instant> {
    let millis = *args
        .get_one("deadline-ms")
        .context("missing --deadline-ms")?;
    Ok(Instant::now() + Duration::from_millis(millis))
}

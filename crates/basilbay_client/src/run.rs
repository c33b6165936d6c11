//! From the parsed command line to an output.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use clap::ArgMatches;

use crate::output::{Code, Output};
use crate::{check, difference, events, explain, fleet, status, wait};

/// Result of a verb that can fail.
pub type Result<T> = anyhow::Result<T>;

/// Runs the verb of the command line.
pub fn run(matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("check", verb)) => Ok(check::output(&check_sources(verb))),
        Some(("diff", verb)) => diff(verb),
        Some(("status", verb)) => block_on(status(verb))?,
        Some(("explain", verb)) => block_on(explain(verb))?,
        Some(("wait", verb)) => block_on(wait(verb))?,
        Some(("events", verb)) => Ok(events::output(
            verb.get_one("number").copied(),
            verb.get_flag("json"),
        )),
        _ => anyhow::bail!("no verb"),
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    Ok(runtime.block_on(future))
}

fn check_sources(verb: &ArgMatches) -> Vec<check::Source> {
    let paths = verb.get_many::<PathBuf>("file").unwrap_or_default();
    paths.map(|path| check::Source::read(path)).collect()
}

fn diff(verb: &ArgMatches) -> Result<Output> {
    let old = check::Source::read(path(verb, "old")?);
    let new = check::Source::read(path(verb, "new")?);
    difference::output(&old, &new, verb.get_flag("json"))
}

async fn status(verb: &ArgMatches) -> Result<Output> {
    let deadline = deadline(verb)?;
    let filter = status::Filter {
        service: verb.get_one("service").cloned(),
        domain: verb.get_one("domain").cloned(),
    };
    match fleet::ask(daemon(verb)?, deadline, &[]).await {
        Ok(fleet) => status::output(&fleet, &filter, verb.get_flag("json")),
        Err(error) => Ok(unreachable(&error)),
    }
}

async fn explain(verb: &ArgMatches) -> Result<Output> {
    let request = fleet::Request {
        service: text(verb, "service"),
        method: text(verb, "method"),
        path: text(verb, "path"),
    };
    match fleet::explain(daemon(verb)?, deadline(verb)?, &request).await {
        Ok(explanation) => explain::output(&explanation, &request, verb.get_flag("json")),
        Err(error) => Ok(unreachable(&error)),
    }
}

async fn wait(verb: &ArgMatches) -> Result<Output> {
    let goal = wait::Goal {
        version: *verb.get_one("version").context("no version")?,
        reachable_only: verb.get_flag("reachable-only"),
    };
    match wait::until(daemon(verb)?, deadline(verb)?, &goal).await {
        Ok(progress) => Ok(wait::output(&progress, &goal)),
        Err(error) => Ok(unreachable(&error)),
    }
}

fn unreachable(error: &anyhow::Error) -> Output {
    let mut output = Output {
        code: Code::Unreachable,
        ..Output::default()
    };
    output.error(&format!("basilbay: {error:#}"));
    output
}

fn path<'a>(verb: &'a ArgMatches, name: &str) -> Result<&'a PathBuf> {
    verb.get_one(name).context("no file")
}

fn text(verb: &ArgMatches, name: &str) -> String {
    verb.get_one(name).cloned().unwrap_or_default()
}

fn daemon(verb: &ArgMatches) -> Result<SocketAddr> {
    verb.get_one("daemon").copied().context("no daemon")
}

fn deadline(verb: &ArgMatches) -> Result<Instant> {
    let millis = *verb.get_one("deadline-ms").context("no deadline")?;
    Ok(Instant::now() + Duration::from_millis(millis))
}

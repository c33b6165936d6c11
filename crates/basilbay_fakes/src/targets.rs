//! Fake targets: many in one process, each with its own port, and one control listener for all.
//!
//! A target runs each request for a log-normal service time. It has a number of slots, starts cold,
//! drains, crashes and honours cancellation and deadlines, and a [`fault::Change`] makes it
//! misbehave. It records every run ([`audit::Run`]) and how often its callers exceeded its limits
//! ([`audit::Violation`]).

pub mod audit;
mod chain;
mod control;
pub mod fault;
mod noise;
mod request;
pub mod response;
mod serve;
pub mod spec;
mod state;
mod worker;

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::timer::Timer;
use crate::web;
use worker::Worker;

/// Runs that one process retains, divided evenly among its targets; beyond it, the oldest are
/// evicted.
pub const MAX_RUNS: usize = 2_000_000;

/// The running targets of one process; dropping it stops them.
pub struct Targets {
    control: SocketAddr,
    workers: Arc<[Arc<Worker>]>,
    _stop: DropGuard,
}

impl Targets {
    /// Starts targets and their control listener on the current tokio runtime.
    pub async fn start(targets: Vec<spec::Target>, control: SocketAddr) -> anyhow::Result<Self> {
        spec::check(&targets)?;
        let timer = Timer::start()?;
        let client = chain::client();
        let max_runs = MAX_RUNS / targets.len().max(1);
        let stop = CancellationToken::new();
        let guard = stop.clone().drop_guard();
        let mut workers = Vec::new();
        for target in targets {
            let id = target.id.clone();
            let listener = web::listen(target.listen)
                .with_context(|| format!("cannot open the port of target {id}"))?;
            let address = listener.local_addr()?;
            let context = worker::Context {
                timer: timer.clone(),
                client: client.clone(),
                stop: stop.clone(),
                max_runs,
            };
            let worker = Arc::new(Worker::new(target, address, context));
            tokio::spawn(serve::run(worker.clone(), listener));
            workers.push(worker);
        }
        workers.sort_by(|left, right| left.spec.id.cmp(&right.spec.id));
        let workers = Arc::<[Arc<Worker>]>::from(workers);
        let listener = web::listen(control).context("cannot open the control listener")?;
        let control = listener.local_addr()?;
        let handler_workers = workers.clone();
        tokio::spawn(web::serve(listener, stop, move |request| {
            control::handle(handler_workers.clone(), request)
        }));
        Ok(Self {
            control,
            workers,
            _stop: guard,
        })
    }

    /// Address of the control listener.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Address of a target; `None` if no target has this id.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.worker(id).map(|worker| worker.address)
    }

    /// Changes the behaviour of a target; returns false if no target has this id.
    pub fn change(&self, id: &str, change: &fault::Change) -> bool {
        let Some(worker) = self.worker(id) else {
            return false;
        };
        worker.change(change);
        true
    }

    /// Status of each target, sorted by id.
    pub fn status(&self) -> Vec<fault::Status> {
        self.workers.iter().map(|worker| worker.status()).collect()
    }

    /// Retained runs, grouped by target and in the order in which they ended.
    pub fn runs(&self) -> Vec<audit::Run> {
        self.workers
            .iter()
            .flat_map(|worker| worker.runs(0, usize::MAX).1)
            .collect()
    }

    /// Violations of each target's limits, sorted by id.
    pub fn violations(&self) -> Vec<audit::Violation> {
        let workers = self.workers.iter();
        workers.map(|worker| worker.violation()).collect()
    }

    /// Discards the recorded runs and violations.
    pub fn clear(&self) {
        self.workers.iter().for_each(|worker| worker.clear());
    }

    fn worker(&self, id: &str) -> Option<&Arc<Worker>> {
        find(&self.workers, id)
    }
}

fn find<'a>(workers: &'a [Arc<Worker>], id: &str) -> Option<&'a Arc<Worker>> {
    let index = workers
        .binary_search_by(|worker| (*worker.spec.id).cmp(id))
        .ok()?;
    workers.get(index)
}

//! Targets that call each other directly, as the baseline of the latency measurement.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use basilbay_fakes::targets::spec::{Cold, Target};
use tempfile::TempDir;

use super::Result;
use crate::fleet::port;
use crate::fleet::process::{Process, find_program};

/// A process of targets, each of which calls the next one.
pub(super) struct Chain {
    pub(super) addresses: Vec<SocketAddr>,
    _process: Process,
    _folder: TempDir,
}

impl Chain {
    /// Starts `count` targets and waits until they listen.
    pub(super) fn start(count: usize, open_delay: Duration) -> Result<Self> {
        let addresses = port::find_free(count)?;
        let targets = addresses.iter().enumerate().map(|(index, address)| {
            let mut target = Target::new(&format!("straight-{index:02}"), "straight", 0);
            target.listen = *address;
            target.connections = 1000;
            target.open_delay_us = open_delay.as_micros() as u64;
            target.cold = Cold {
                warm_after: 0,
                ..Cold::default()
            };
            target.entry = addresses.get((index + 1) % count).copied();
            target
        });
        let targets: Vec<Target> = targets.collect();
        let folder = tempfile::Builder::new()
            .prefix("basilbay-load-")
            .tempdir()?;
        let spec = folder.path().join("straight.json");
        std::fs::write(&spec, serde_json::to_vec(&targets)?)?;
        let spec = spec.display().to_string();
        let log = folder.path().join("straight.log");
        let arguments = ["targets", "--spec", &spec];
        let mut process = Process::start(&find_program("basilbay-fakes")?, &arguments, &log)?;
        process
            .lines(1 + count)
            .context("cannot start the direct targets")?;
        Ok(Self {
            addresses,
            _process: process,
            _folder: folder,
        })
    }
}

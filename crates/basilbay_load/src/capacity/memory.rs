//! Memory of daemons by number of services in the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Result, Spread, idle, plan};
use crate::fleet::Fleet;
use crate::table;

/// Measured numbers of services; a configuration file may have at most 4096 sections.
const SERVICES: [usize; 4] = [10, 70, 140, 210];

/// Number of daemons of the measured fleet.
const DAEMONS: usize = 14;

/// Wait after the start until memory use is stable.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Memory of daemons with a configuration of one size.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Memory {
    /// Number of services in the configuration.
    pub services: usize,
    /// Size of the configuration text.
    pub file_bytes: usize,
    /// Resident memory in MB; spread over all daemons.
    pub resident_mb: Spread,
}

pub(super) async fn measure() -> Result<Vec<Memory>> {
    let mut measured = Vec::new();
    for services in SERVICES {
        let fleet = Fleet::start(plan::deployment(DAEMONS, services)?).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        measured.push(Memory {
            services,
            file_bytes: fleet.deployment.text.len(),
            resident_mb: idle::resident_mb(&fleet)?,
        });
        fleet.stop();
    }
    Ok(measured)
}

/// Renders the measurements as a text table.
pub(super) fn table(measured: &[Memory]) -> String {
    let rows = measured.iter().map(|memory| {
        vec![
            memory.services.to_string(),
            memory.file_bytes.to_string(),
            memory.resident_mb.to_string(),
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    table::render(&["services", "file, bytes", "VmRSS, MB"], &rows)
}

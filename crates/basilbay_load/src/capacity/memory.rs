//! Memory of daemons by services in the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Result, Spread, idle, plan};
use crate::fleet::Fleet;
use crate::table;

/// Services in the configuration; 4096 sections are the most that a file may have.
const SERVICES: [usize; 4] = [10, 70, 140, 210];

/// Daemons of the fleet.
const DAEMONS: usize = 14;

/// Time after the start for memory to settle.
const SETTLE: Duration = Duration::from_secs(2);

/// Memory of the daemons of a fleet.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Memory {
    /// Services in the configuration.
    pub services: usize,
    /// Bytes of its text.
    pub file_bytes: usize,
    /// Resident memory of a daemon.
    pub resident_mb: Spread,
}

pub(super) async fn measure() -> Result<Vec<Memory>> {
    let mut measured = Vec::new();
    for services in SERVICES {
        let fleet = Fleet::start(plan::deployment(DAEMONS, services)?).await?;
        tokio::time::sleep(SETTLE).await;
        measured.push(Memory {
            services,
            file_bytes: fleet.deployment.text.len(),
            resident_mb: idle::resident_mb(&fleet)?,
        });
        fleet.stop();
    }
    Ok(measured)
}

/// The table for the screen.
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

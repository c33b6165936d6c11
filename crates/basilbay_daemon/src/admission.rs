//! Waits for the gate of the own target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use basilbay_wire::load::Load;
use basilbay_wire::problem::{Cause, Problem};

/// Admission to the own target.
#[derive(Debug)]
pub struct Admission {
    slots: Arc<Semaphore>,
    sequence: Mutex<u64>,
}

/// The right to run one request; dropping it gives the slot back.
#[derive(Debug)]
pub struct Slot {
    _permit: OwnedSemaphorePermit,
}

impl Admission {
    /// Admission with a number of slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots)),
            sequence: Mutex::new(0),
        }
    }

    /// Waits for a slot.
    pub async fn enter(&self, deadline: Instant) -> Result<Slot, Problem> {
        let permit = self.slots.clone().acquire_owned();
        match tokio::time::timeout_at(deadline.into(), permit).await {
            Ok(Ok(permit)) => Ok(Slot { _permit: permit }),
            _ => Err(Problem::not_run(Cause::NoCapacity, "no slot in time")),
        }
    }

    /// Load of the target.
    pub fn load(&self) -> Load {
        let mut sequence: MutexGuard<'_, u64> =
            self.sequence.lock().unwrap_or_else(PoisonError::into_inner);
        *sequence += 1;
        Load {
            sequence: *sequence,
            ..Load::default()
        }
    }
}

//! Sleeps with a precision of some tens of microseconds.
//!
//! Tokio's timers have a resolution of one millisecond, which is too coarse for service times of
//! about one millisecond. Here one thread keeps the wake-up times in a heap, waits for the earliest
//! and wakes its task through a oneshot channel.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// Each timed wait of the thread ends this much early, since Linux may extend it by 50 us, its
/// default timer slack; the thread spins for the rest.
const TIMER_SLACK: Duration = Duration::from_micros(50);

/// Tasks due within this time are woken at once, which limits how long the thread spins.
const WAKE_TOLERANCE: Duration = Duration::from_micros(15);

/// A task that sleeps until the instant `at`.
struct Sleeper {
    at: Instant,
    /// Breaks ties between equal times in the order of insertion.
    sequence: u64,
    wake: oneshot::Sender<()>,
}

impl Sleeper {
    fn sort_key(&self) -> (Instant, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.sort_key() == other.sort_key()
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}

#[derive(Default)]
struct Queue {
    heap: BinaryHeap<Reverse<Sleeper>>,
    last_sequence: u64,
    stopped: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Stops the timer thread when dropped; all clones of a [`Timer`] share one handle.
struct Handle {
    shared: Arc<Shared>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shared.queue().stopped = true;
        self.shared.changed.notify_one();
    }
}

/// Handle to a timer thread; dropping the last clone stops the thread.
#[derive(Clone)]
pub struct Timer {
    handle: Arc<Handle>,
}

impl Timer {
    /// Starts the timer thread.
    pub fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let thread_shared = shared.clone();
        thread::Builder::new()
            .name("fakes-timer".to_owned())
            .spawn(move || run(&thread_shared))?;
        Ok(Self {
            handle: Arc::new(Handle { shared }),
        })
    }

    /// Waits until an instant; returns at once if it has passed.
    pub async fn sleep_until(&self, at: Instant) {
        if at <= Instant::now() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.push(at, wake);
        // Fails if the thread has ended, which happens only when the fake stops.
        let _ = woken.await;
    }

    fn push(&self, at: Instant, wake: oneshot::Sender<()>) {
        let shared = &self.handle.shared;
        let mut queue = shared.queue();
        let is_next = queue.heap.peek().is_none_or(|Reverse(next)| at < next.at);
        queue.last_sequence += 1;
        let sequence = queue.last_sequence;
        queue.heap.push(Reverse(Sleeper { at, sequence, wake }));
        drop(queue);
        if is_next {
            shared.changed.notify_one();
        }
    }
}

fn run(shared: &Shared) {
    let mut due = Vec::new();
    let mut queue = shared.queue();
    while !queue.stopped {
        let limit = Instant::now() + WAKE_TOLERANCE;
        take_due(&mut queue, limit, &mut due);
        if due.is_empty() {
            queue = wait(shared, queue);
            continue;
        }
        drop(queue);
        for sleeper in due.drain(..) {
            // Fails if the task was cancelled.
            let _ = sleeper.wake.send(());
        }
        queue = shared.queue();
    }
}

/// Removes the sleepers that are due by `limit`, and cancelled ones at the head of the heap, which
/// would otherwise cause a needless wake-up.
fn take_due(queue: &mut Queue, limit: Instant, due: &mut Vec<Sleeper>) {
    while let Some(Reverse(next)) = queue.heap.peek() {
        if next.at > limit && !next.wake.is_closed() {
            return;
        }
        due.extend(queue.heap.pop().map(|Reverse(sleeper)| sleeper));
    }
}

/// Waits until shortly before the next sleeper is due, or until the queue changes.
fn wait<'a>(shared: &'a Shared, queue: MutexGuard<'a, Queue>) -> MutexGuard<'a, Queue> {
    let next = queue.heap.peek().map(|Reverse(sleeper)| sleeper.at);
    let Some(at) = next else {
        return shared
            .changed
            .wait(queue)
            .unwrap_or_else(PoisonError::into_inner);
    };
    let left = at.saturating_duration_since(Instant::now());
    if left > TIMER_SLACK {
        let waited = shared.changed.wait_timeout(queue, left - TIMER_SLACK);
        return waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    drop(queue);
    std::hint::spin_loop();
    shared.queue()
}

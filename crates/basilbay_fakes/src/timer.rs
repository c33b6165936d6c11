//! Sleeps with a precision of some tens of microseconds.
//!
//! Tokio's timers count whole milliseconds, which is too coarse for service times of about one
//! millisecond. Here one thread keeps the wake-up times in a heap, waits for the next one and wakes
//! the task through a oneshot channel.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// Linux may delay a thread's timed wait by 50 us (its default timer slack), so that each wait ends
/// this much early.
const SLACK: Duration = Duration::from_micros(50);

/// Wake-ups that are due within this time are sent at once, which bounds the spinning.
const EARLY: Duration = Duration::from_micros(15);

/// One sleeping task.
struct Sleeper {
    at: Instant,
    order: u64,
    wake: oneshot::Sender<()>,
}

impl Sleeper {
    fn rank(&self) -> (Instant, u64) {
        (self.at, self.order)
    }
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
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
        self.rank().cmp(&other.rank())
    }
}

#[derive(Default)]
struct Queue {
    heap: BinaryHeap<Reverse<Sleeper>>,
    order: u64,
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

/// Ends the thread with the last handle.
struct Handle {
    shared: Arc<Shared>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shared.queue().stopped = true;
        self.shared.changed.notify_one();
    }
}

/// A handle to the timer's thread.
#[derive(Clone)]
pub struct Timer {
    handle: Arc<Handle>,
}

impl Timer {
    /// Starts the thread.
    pub fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let served = shared.clone();
        thread::Builder::new()
            .name("fakes-timer".to_owned())
            .spawn(move || run(&served))?;
        Ok(Self {
            handle: Arc::new(Handle { shared }),
        })
    }

    /// Waits until a moment; returns at once when it has passed.
    pub async fn sleep_until(&self, at: Instant) {
        if at <= Instant::now() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.push(at, wake);
        // An error means that the thread has ended, which happens only when the stand-in stops.
        let _ = woken.await;
    }

    fn push(&self, at: Instant, wake: oneshot::Sender<()>) {
        let shared = &self.handle.shared;
        let mut queue = shared.queue();
        let is_next = queue.heap.peek().is_none_or(|Reverse(next)| at < next.at);
        queue.order += 1;
        let order = queue.order;
        queue.heap.push(Reverse(Sleeper { at, order, wake }));
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
        let limit = Instant::now() + EARLY;
        take_due(&mut queue, limit, &mut due);
        if due.is_empty() {
            queue = wait(shared, queue);
            continue;
        }
        drop(queue);
        for sleeper in due.drain(..) {
            // The task may have been cancelled.
            let _ = sleeper.wake.send(());
        }
        queue = shared.queue();
    }
}

/// Takes the sleepers that are due; a cancelled one goes early and costs no wake-up.
fn take_due(queue: &mut Queue, limit: Instant, due: &mut Vec<Sleeper>) {
    while let Some(Reverse(next)) = queue.heap.peek() {
        if next.at > limit && !next.wake.is_closed() {
            return;
        }
        due.extend(queue.heap.pop().map(|Reverse(sleeper)| sleeper));
    }
}

fn wait<'a>(shared: &'a Shared, queue: MutexGuard<'a, Queue>) -> MutexGuard<'a, Queue> {
    let next = queue.heap.peek().map(|Reverse(sleeper)| sleeper.at);
    let Some(at) = next else {
        return shared
            .changed
            .wait(queue)
            .unwrap_or_else(PoisonError::into_inner);
    };
    let left = at.saturating_duration_since(Instant::now());
    if left > SLACK {
        let waited = shared.changed.wait_timeout(queue, left - SLACK);
        return waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    drop(queue);
    std::hint::spin_loop();
    shared.queue()
}

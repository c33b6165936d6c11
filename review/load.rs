//! Steady traffic of clients on all machines that are ready.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{self, Request};
use crate::daemon;
use crate::fleet::Fleet;
use crate::record::Record;

/// A kind of request and its rate.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub per_s: f64,
    pub request: Request,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    pub kind: &'static str,
    pub id: String,
    pub status: u16,
}

/// Entry machines, those that receive clients, updated once a second as the platform does.
type Ready = Arc<Mutex<Vec<(usize, SocketAddr)>>>;

pub struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn start(fleet: &Fleet, kinds: &[Kind]) -> Self {
        Self::start_at(fleet, kinds, 0..fleet.daemons.len())
    }

    /// Starts the traffic on some of the machines.
    pub fn start_at(fleet: &Fleet, kinds: &[Kind], machines: std::ops::Range<usize>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let machines: Vec<(usize, SocketAddr, SocketAddr)> = fleet.daemons[machines]
            .iter()
            .map(|it| {
                (
                    it.machine.index,
                    it.machine.outbound(),
                    it.machine.readiness(),
                )
            })
            .collect();
        let ready: Ready = Arc::default();
        *ready.lock().unwrap() = machines.iter().map(|it| (it.0, it.1)).collect();
        let mut threads = vec![check_ready(machines, ready.clone(), stop.clone())];
        for kind in kinds {
            // One client sends about two requests a second.
            let clients = (kind.per_s / 2.0).ceil() as usize;
            let interval = Duration::from_secs_f64(clients as f64 / kind.per_s);
            for number in 0..clients {
                let (kind, ready) = (kind.clone(), ready.clone());
                let (stop, sent) = (stop.clone(), sent.clone());
                let record = fleet.record.clone();
                threads.push(thread::spawn(move || {
                    thread::sleep(interval.mul_f64(number as f64 / clients as f64));
                    run_client(&kind, (number, interval), &ready, &stop, (&sent, &record));
                }));
            }
        }
        Self {
            stop,
            sent,
            threads,
        }
    }

    /// Ends the traffic and returns what was sent.
    pub fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.sent.lock().unwrap().clone()
    }
}

fn run_client(
    kind: &Kind,
    (number, interval): (usize, Duration),
    ready: &Ready,
    stop: &AtomicBool,
    (sent, record): (&Mutex<Vec<Sent>>, &Record),
) {
    let mut due = Instant::now();
    let mut turn = number;
    while !stop.load(Ordering::Acquire) {
        due += interval;
        let entry = {
            let ready = ready.lock().unwrap();
            ready.get(turn % ready.len().max(1)).copied()
        };
        turn += 1;
        if let Some((_, address)) = entry {
            let at = record.now();
            let mut request = kind.request.clone();
            let unique = client::new_id();
            request.path = request.path.replace('*', &unique);
            let outcome = client::send(record, address, &request);
            sent.lock().unwrap().push(Sent {
                at,
                kind: kind.name,
                status: outcome.status(),
                id: outcome.id,
            });
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

/// Asks each daemon once a second whether it is ready; two misses take it out.
fn check_ready(
    machines: Vec<(usize, SocketAddr, SocketAddr)>,
    ready: Ready,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut misses = vec![0; machines.len()];
        while !stop.load(Ordering::Acquire) {
            for (index, machine) in machines.iter().enumerate() {
                misses[index] = match daemon::is_ready(machine.2) {
                    true => 0,
                    false => misses[index] + 1,
                };
            }
            let current = machines
                .iter()
                .zip(&misses)
                .filter(|(_, misses)| **misses < 2);
            *ready.lock().unwrap() = current.map(|(it, _)| (it.0, it.1)).collect();
            thread::sleep(Duration::from_secs(1));
        }
    })
}

/// Number of requests that `is_counted` selects, and of those that were served.
pub fn served(sent: &[Sent], is_counted: impl Fn(&Sent) -> bool) -> (usize, usize) {
    let counted = sent.iter().filter(|it| is_counted(it));
    let served = counted.clone().filter(|it| it.status == 200).count();
    (counted.count(), served)
}

//! A small deployment: store, workers, daemons.

use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Machine, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Arrival, Worker};

/// Result of a step of a case; the error says why the case could not run.
pub type Result<T> = std::result::Result<T, String>;

/// A worker to place: service, zone, time of work.
pub type Place = (&'static str, &'static str, u64);

pub struct Fleet {
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub workers: Vec<Worker>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub record: Record,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the deployment and waits until it is ready.
    pub fn start(record: &Record, config: &str, places: &[Place]) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("basilbay-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let ips: Vec<String> = (1..=places.len())
            .map(|it| format!("127.77.0.{it}"))
            .collect();
        let ports = find_ports(&ips)?;
        let store = Store::new(record);
        store.put("op/config", config);
        let mut fleet = Self {
            store,
            daemons: Vec::new(),
            workers: Vec::new(),
            arrivals: Arc::default(),
            record: record.clone(),
            folder,
        };
        fleet
            .fill(&ips, ports, places)
            .map_err(|error| error.to_string())?;
        fleet.wait_ready(Duration::from_secs(10))?;
        Ok(fleet)
    }

    fn fill(&mut self, ips: &[String], ports: Ports, places: &[Place]) -> std::io::Result<()> {
        for (index, (service, zone, work_ms)) in places.iter().enumerate() {
            let address = format!("{}:{}", ips[index], ports.app).parse().unwrap();
            self.workers.push(Worker::start(
                index,
                address,
                (service, zone),
                Duration::from_millis(*work_ms),
                &self.store,
                (&self.record, &self.arrivals),
            )?);
        }
        let store = self.store.listen()?;
        for (index, (service, zone, _)) in places.iter().enumerate() {
            let machine = Machine {
                index,
                ip: ips[index].clone(),
                zone: (*zone).to_owned(),
                service: (*service).to_owned(),
                store,
                ports,
            };
            self.daemons
                .push(Daemon::start(machine, &self.folder, &self.record)?);
        }
        Ok(())
    }

    pub fn wait_ready(&self, limit: Duration) -> Result<()> {
        let deadline = Instant::now() + limit;
        while !self.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > deadline {
                return Err("the daemons are not ready in time".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.record.line("all daemons are ready");
        Ok(())
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds a range of ports that are free on all addresses.
fn find_ports(ips: &[String]) -> Result<Ports> {
    let seed = std::process::id() as u16;
    for attempt in 0..200_u16 {
        let base = 12_000 + (seed.wrapping_mul(16).wrapping_add(attempt * 32)) % 18_000;
        let ports = Ports {
            outbound: base,
            inbound: base + 1,
            readiness: base + 2,
            app: base + 3,
            internal: base + 4,
            internal_end: base + 10,
        };
        let is_free = |ip: &String| {
            (base..=base + 10).all(|port| {
                TcpListener::bind((ip.as_str(), port)).is_ok()
                    && UdpSocket::bind((ip.as_str(), port)).is_ok()
            })
        };
        if ips.iter().all(is_free) {
            return Ok(ports);
        }
    }
    Err("no free ports".to_owned())
}

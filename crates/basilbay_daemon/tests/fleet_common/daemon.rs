//! One daemon process, its log and its operators' interface.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use basilbay_admin::{AdminClient, Explanation, Status};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, context};

use super::{LOOK, PATIENCE, Seat};

/// Time that a daemon has to answer an operator.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// A daemon process; dropping it kills it.
pub(crate) struct Daemon {
    child: Child,
    log: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts a daemon with settings in a folder.
    pub(crate) fn spawn(seat: &Seat, region: &str, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.ini", seat.id));
        std::fs::write(&settings, text(seat, region)).expect("settings can be written");
        let log = folder.join(format!("{}.log", seat.id));
        let stderr = File::create(&log).expect("a log can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_basilbayd"))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()
            .expect("the daemon starts");
        Self { child, log }
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process exists");
    }

    /// Waits for the process to end by itself and tells whether it said success.
    pub(crate) async fn ended(&mut self) -> bool {
        let start = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.success();
            }
            assert!(start.elapsed() < PATIENCE, "the daemon does not end");
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Events of the log so far.
    pub(crate) fn events(&self) -> Vec<Event> {
        let text = std::fs::read_to_string(&self.log).expect("the log can be read");
        let lines = text.lines();
        let values = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        values.filter_map(|value| Event::read(&value)).collect()
    }

    /// How often an event was logged.
    pub(crate) fn count(&self, number: u64) -> usize {
        let events = self.events();
        events.iter().filter(|event| event.number == number).count()
    }

    /// Waits until an event was logged this often.
    pub(crate) async fn until_event(&self, number: u64, count: usize) -> Duration {
        let start = Instant::now();
        while self.count(number) < count {
            let events = self.events();
            assert!(start.elapsed() < PATIENCE, "no {number}: {events:?}");
            tokio::time::sleep(LOOK).await;
        }
        start.elapsed()
    }
}

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its number.
    pub(crate) number: u64,
    /// Its name.
    pub(crate) name: String,
    /// Its detail, empty without one.
    pub(crate) detail: String,
}

impl Event {
    /// The version that its detail states.
    pub(crate) fn version(&self) -> u64 {
        let (_, rest) = self.detail.split_once("version: ").expect("a version");
        let end = rest.find(|letter: char| !letter.is_ascii_digit());
        let digits = &rest[..end.unwrap_or(rest.len())];
        digits.parse().expect("a number")
    }

    fn read(value: &Value) -> Option<Self> {
        let fields = value.get("fields")?;
        let text = |name: &str| {
            let text = fields.get(name).and_then(Value::as_str);
            text.unwrap_or_default().to_owned()
        };
        Some(Self {
            number: fields.get("event")?.as_u64()?,
            name: text("name"),
            detail: text("detail"),
        })
    }
}

/// Asks a daemon for its status.
pub(crate) async fn status(admin: SocketAddr) -> Option<Status> {
    let asking = async {
        let transport = tcp::connect(admin, Json::default).await.ok()?;
        let client = AdminClient::new(client::Config::default(), transport).spawn();
        client.brief(context::current()).await.ok()
    };
    tokio::time::timeout(STATUS_TIMEOUT, asking).await.ok()?
}

/// Asks a daemon what it thinks of the targets of `fit`.
pub(crate) async fn explain(admin: SocketAddr) -> Option<Explanation> {
    let asking = async {
        let transport = tcp::connect(admin, Json::default).await.ok()?;
        let client = AdminClient::new(client::Config::default(), transport).spawn();
        let [service, method, path] = ["fit", "GET", "/fit"].map(str::to_owned);
        let explaining = client.explain(context::current(), service, method, path);
        explaining.await.ok()
    };
    tokio::time::timeout(STATUS_TIMEOUT, asking).await.ok()?
}

fn text(seat: &Seat, region: &str) -> String {
    format!(
        "[instance]\nid = {}\nservice = {}\ndomain = {}\nregion = {region}\ntarget = {}\n\n\
         [listen]\ncallers = {}\npeers = {}\nadmin = {}\n\n\
         [platform]\nconfig = {}\ninstances = {}\n\n[log]\nformat = json\n",
        seat.id,
        seat.service,
        seat.domain,
        seat.target,
        seat.callers,
        seat.peers,
        seat.admin,
        seat.config,
        seat.list,
    )
}

//! Runs one daemon process and reads its log and its admin interface.

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

use super::{Instance, POLL_INTERVAL, WAIT_TIMEOUT};

/// Time-out of a request to the admin interface.
const ADMIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A daemon process, which is killed on drop.
pub(crate) struct Daemon {
    process: Child,
    log: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Daemon {
    /// Writes the settings of a daemon to a folder and starts the daemon with them.
    pub(crate) fn spawn(instance: &Instance, region: &str, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.ini", instance.id));
        std::fs::write(&settings, settings_text(instance, region))
            .expect("settings can be written");
        let log = folder.join(format!("{}.log", instance.id));
        let stderr = File::create(&log).expect("a log can be written");
        let process = Command::new(env!("CARGO_BIN_EXE_basilbayd"))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()
            .expect("the daemon starts");
        Self { process, log }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).expect("the process exists");
    }

    /// Waits until the process exits by itself and returns whether it exited with success.
    pub(crate) async fn wait_for_exit(&mut self) -> bool {
        let start = Instant::now();
        loop {
            if let Some(status) = self
                .process
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.success();
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "the daemon still runs after {WAIT_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Numbered events in the log so far.
    pub(crate) fn events(&self) -> Vec<Event> {
        let text = std::fs::read_to_string(&self.log).expect("the log can be read");
        let lines = text.lines();
        let values = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        values.filter_map(|value| Event::parse(&value)).collect()
    }

    /// Number of log entries with this event number.
    pub(crate) fn count(&self, number: u64) -> usize {
        let events = self.events();
        events.iter().filter(|event| event.number == number).count()
    }

    /// Waits until an event has been logged `count` times and returns how long that took.
    pub(crate) async fn wait_for_event(&self, number: u64, count: usize) -> Duration {
        let start = Instant::now();
        while self.count(number) < count {
            let events = self.events();
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "event {number} not logged {count} times within {WAIT_TIMEOUT:?}: {events:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        start.elapsed()
    }
}

/// A numbered event from a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) number: u64,
    pub(crate) name: String,
    /// Empty if the event has no detail.
    pub(crate) detail: String,
}

impl Event {
    /// The version that the detail states.
    pub(crate) fn version(&self) -> u64 {
        let (_, rest) = self.detail.split_once("version: ").expect("a version");
        let end = rest.find(|character: char| !character.is_ascii_digit());
        let digits = &rest[..end.unwrap_or(rest.len())];
        digits.parse().expect("a number")
    }

    fn parse(value: &Value) -> Option<Self> {
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

/// Requests the status of a daemon; `None` if it does not respond in time.
pub(crate) async fn status(admin: SocketAddr) -> Option<Status> {
    let request = async {
        let transport = tcp::connect(admin, Json::default).await.ok()?;
        let client = AdminClient::new(client::Config::default(), transport).spawn();
        client.brief(context::current()).await.ok()
    };
    tokio::time::timeout(ADMIN_TIMEOUT, request).await.ok()?
}

/// Requests how a daemon rates the targets of the service `fit`; `None` if it does not respond in
/// time.
pub(crate) async fn explain(admin: SocketAddr) -> Option<Explanation> {
    let request = async {
        let transport = tcp::connect(admin, Json::default).await.ok()?;
        let client = AdminClient::new(client::Config::default(), transport).spawn();
        let [service, method, path] = ["fit", "GET", "/fit"].map(str::to_owned);
        let response = client.explain(context::current(), service, method, path);
        response.await.ok()
    };
    tokio::time::timeout(ADMIN_TIMEOUT, request).await.ok()?
}

fn settings_text(instance: &Instance, region: &str) -> String {
    format!(
        "[instance]\nid = {}\nservice = {}\ndomain = {}\nregion = {region}\ntarget = {}\n\n\
         [listen]\ncallers = {}\npeers = {}\nadmin = {}\n\n\
         [platform]\nconfig = {}\ninstances = {}\n\n[log]\nformat = json\n",
        instance.id,
        instance.service,
        instance.domain,
        instance.target,
        instance.callers,
        instance.peers,
        instance.admin,
        instance.config,
        instance.list,
    )
}

//! Settings of a daemon: its identity, its addresses, its target, and the limits that do not come from
//! the platform.
//!
//! Input is an INI file; all errors in it are reported together as findings.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use basilbay_events::log::{Format, Output};
use basilbay_membership::reader::{DEFAULT_READERS, MAX_JITTER};
use basilbay_model::finding::Report;
use basilbay_model::id::{DomainId, InstanceId, RegionId, ServiceId};
use basilbay_model::ini::{Document, Reader, Section};

/// Result of reading settings.
pub type Result<T> = anyhow::Result<T>;

const FORMATS: [(&str, Format); 2] = [("text", Format::Text), ("json", Format::Json)];
const BOOLEANS: [(&str, bool); 2] = [("yes", true), ("no", false)];
const SECTIONS: [&str; 6] = ["instance", "listen", "platform", "log", "metrics", "run"];

const OUTPUTS: [(&str, Output); 2] = [("stderr", Output::Stderr), ("stdout", Output::Stdout)];

/// Default time for which the ports stay open after the daemon was asked to stop: six rounds of
/// gossip.
const DEFAULT_LINGER: Duration = Duration::from_millis(1500);

/// Default time that running requests have to finish at a stop; longer than usual deadlines.
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of readers in a failure domain; more would add reads without detecting changes
/// sooner.
const MAX_READERS: usize = 16;

/// Default number of worker threads; two keep the daemon small next to its target.
const DEFAULT_THREADS: usize = 2;

/// Settings of a daemon, which it needs before it can read anything from the platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of this run of the instance; a replacement at the same address has another id.
    pub id: InstanceId,
    /// Service of the target.
    pub service: ServiceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the instance; empty if it is not set.
    pub region: RegionId,
    /// Address of the target.
    pub target: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons, TCP and UDP.
    pub peers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address of the readiness endpoint; `None` disables it.
    pub readiness: Option<SocketAddr>,
    /// Address of the configuration service.
    pub config_service: SocketAddr,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// Format of the log.
    pub log_format: Format,
    /// Filter directives that select log lines.
    pub log_filter: Arc<str>,
    /// Whether a line is written when a span closes.
    pub log_spans: bool,
    /// Stream that the log is written to.
    pub log_output: Output,
    /// Address of the StatsD server that metrics are sent to; `None` if they are not sent.
    pub statsd: Option<SocketAddr>,
    /// Address of the metrics endpoint; `None` disables it.
    pub metrics: Option<SocketAddr>,
    /// Time over which daemons that start at the same moment spread their first reads of the
    /// platform.
    pub start_spread: Duration,
    /// Daemons in each failure domain that poll the platform.
    pub readers: usize,
    /// Whether the daemon accepts new requests while neither a peer nor the platform can be reached.
    pub serves_alone: bool,
    /// Time for which the local target still accepts new requests after the daemon was asked to stop;
    /// zero closes it at once.
    pub drain_delay: Duration,
    /// Time for which the ports stay open after the daemon was asked to stop.
    pub linger: Duration,
    /// Time after which requests that still run at a stop are aborted. Like `drain_delay` and `linger`,
    /// it is counted from the signal.
    pub drain_timeout: Duration,
    /// Number of worker threads; 1 selects a single-threaded runtime.
    pub threads: usize,
    /// Seed of all random choices; derived from the id unless it is set.
    pub seed: u64,
}

impl Settings {
    /// Returns the keys of the settings that differ and take effect only after a restart.
    pub fn differences(&self, other: &Self) -> Vec<&'static str> {
        let pairs = [
            ("id", self.id == other.id),
            ("service", self.service == other.service),
            ("domain", self.domain == other.domain),
            ("region", self.region == other.region),
            ("target", self.target == other.target),
            ("callers", self.callers == other.callers),
            ("peers", self.peers == other.peers),
            ("admin", self.admin == other.admin),
            ("readiness", self.readiness == other.readiness),
            ("config", self.config_service == other.config_service),
            ("instances", self.instance_list == other.instance_list),
            ("format", self.log_format == other.log_format),
            ("filter", self.log_filter == other.log_filter),
            ("spans", self.log_spans == other.log_spans),
            ("output", self.log_output == other.log_output),
            ("statsd", self.statsd == other.statsd),
            ("address", self.metrics == other.metrics),
            ("serve_out_ms", self.drain_delay == other.drain_delay),
            ("linger_ms", self.linger == other.linger),
            ("patience_ms", self.drain_timeout == other.drain_timeout),
            ("threads", self.threads == other.threads),
            ("seed", self.seed == other.seed),
        ];
        let differing = pairs.into_iter().filter(|(_, is_same)| !is_same);
        differing.map(|(name, _)| name).collect()
    }

    /// Reads and parses a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let bytes =
            std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
        Ok(Self::parse(&path.display().to_string(), &bytes)?)
    }

    /// Parses the content of a settings file; all findings are reported together.
    pub fn parse(file: &str, bytes: &[u8]) -> std::result::Result<Self, Report> {
        let mut report = Report::default();
        let document = Document::parse_bytes(file, bytes, &mut report);
        let settings = Self::read(&document, &mut report);
        report.sort();
        match settings {
            Some(settings) if report.is_clean() => Ok(settings),
            _ => Err(report),
        }
    }

    /// Reads the settings from a parsed file and adds findings to the report; `None` if a required
    /// setting is missing.
    pub fn read(document: &Document, report: &mut Report) -> Option<Self> {
        document.check_sections(&SECTIONS, &[], report);
        read(document, report)
    }
}

fn read(document: &Document, report: &mut Report) -> Option<Settings> {
    let empty_section = |name: &str| Section {
        name: Arc::from(name),
        line: 0,
        entries: Vec::new(),
    };
    let section = |name| {
        document
            .section(name)
            .cloned()
            .unwrap_or(empty_section(name))
    };

    let instance = section("instance");
    let mut reader = Reader::new(document, &instance, report);
    let id = reader.required_text("id");
    let service = reader.required_text("service");
    let domain = reader.required_text("domain");
    let region = reader.optional_text("region").unwrap_or(Arc::from(""));
    let target = reader.required("target");
    reader.finish();

    let listen = section("listen");
    let mut reader = Reader::new(document, &listen, report);
    let callers = reader.required("callers");
    let peers = reader.required("peers");
    let admin = reader.required("admin");
    let readiness = reader.optional("readiness");
    reader.finish();

    let platform = section("platform");
    let mut reader = Reader::new(document, &platform, report);
    let config_service = reader.required("config");
    let instance_list = reader.required("instances");
    let start_spread = reader.millis("start_spread_ms", MAX_JITTER);
    let readers = reader.bounded("readers", DEFAULT_READERS, 1..=MAX_READERS);
    reader.finish();

    let log = section("log");
    let mut reader = Reader::new(document, &log, report);
    let log_format = reader.choice("format", &FORMATS, Format::Text);
    let log_filter = reader.optional_text("filter").unwrap_or(Arc::from("info"));
    let log_output = reader.choice("output", &OUTPUTS, Output::Stderr);
    let log_spans = reader.choice("spans", &BOOLEANS, false);
    reader.finish();

    let metrics = section("metrics");
    let mut reader = Reader::new(document, &metrics, report);
    let statsd = match reader.optional_text("statsd") {
        Some(_) => reader.required("statsd"),
        None => None,
    };
    let metrics_address = reader.optional("address");
    reader.finish();

    let run = section("run");
    let mut reader = Reader::new(document, &run, report);
    let threads = reader.value("threads", DEFAULT_THREADS);
    if threads == 0 || threads > 64 {
        reader.add_finding("threads", "range", "must be 1 to 64".to_owned());
    }
    let seed = reader.value("seed", seed_of(&id));
    let serves_alone = reader.flag("serves_alone", false);
    let drain_delay = reader.millis("serve_out_ms", Duration::ZERO);
    let linger = reader.millis("linger_ms", DEFAULT_LINGER);
    let drain_timeout = reader.millis("patience_ms", DEFAULT_DRAIN_TIMEOUT);
    reader.finish();

    Some(Settings {
        id,
        service,
        domain,
        region,
        target: target?,
        callers: callers?,
        peers: peers?,
        admin: admin?,
        readiness,
        config_service: config_service?,
        instance_list: instance_list?,
        log_format,
        log_filter,
        log_spans,
        log_output,
        statsd,
        metrics: metrics_address,
        start_spread,
        readers,
        serves_alone,
        drain_delay,
        linger,
        drain_timeout,
        threads,
        seed,
    })
}

/// Returns the FNV-1a hash of the id: daemons use different random sequences, and each daemon a
/// reproducible one.
fn seed_of(id: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in id.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0100_0000_01b3);
    }
    hash
}

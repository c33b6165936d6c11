//! Log output: installs the global subscriber with a format, a destination and a filter.
//!
//! Lines on standard output are written by a separate thread with a bounded buffer, so that a
//! request never blocks on the log; lines that do not fit are dropped and counted.

use anyhow::anyhow;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

/// Result of setting up the log.
pub type Result<T> = anyhow::Result<T>;

/// Capacity of the write buffer; at about 400 bytes a line it uses at most 1.6 MB.
const MAX_BUFFERED_LINES: usize = 4096;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Destination of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Standard error, written synchronously.
    #[default]
    Stderr,
    /// Standard output, written by a separate thread.
    Stdout,
}

/// Counter of lines that did not fit into the write buffer; stays 0 for synchronous output.
#[derive(Clone, Debug, Default)]
pub struct Dropped(Option<ErrorCounter>);

impl Dropped {
    /// Number of lines dropped since the start.
    pub fn count(&self) -> u64 {
        let counter = self.0.as_ref();
        counter.map_or(0, |counter| counter.dropped_lines() as u64)
    }
}

/// Owns the writer thread of the log; dropping it flushes the buffered lines.
#[derive(Debug)]
pub struct Guard {
    /// `None` for synchronous output, which drops no lines.
    dropped: Option<ErrorCounter>,
    _worker: Option<WorkerGuard>,
}

impl Guard {
    /// Returns the counter of dropped lines, which outlives the guard.
    pub fn dropped(&self) -> Dropped {
        Dropped(self.dropped.clone())
    }
}

/// Installs the global log subscriber.
///
/// `filter` is a directive of [`EnvFilter`]; `with_spans` logs a line whenever a span closes.
pub fn start(format: Format, output: Output, filter: &str, with_spans: bool) -> Result<Guard> {
    let filter = EnvFilter::try_new(filter)?;
    let span_events = if with_spans {
        FmtSpan::CLOSE
    } else {
        FmtSpan::NONE
    };
    let (writer, guard) = writer(output);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_span_events(span_events)
        .with_writer(writer);
    let installed = match format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => builder.json().try_init(),
    };
    installed.map_err(|error| anyhow!("cannot install the log subscriber: {error}"))?;
    Ok(guard)
}

fn writer(output: Output) -> (BoxMakeWriter, Guard) {
    match output {
        Output::Stderr => {
            let guard = Guard {
                dropped: None,
                _worker: None,
            };
            (BoxMakeWriter::new(std::io::stderr), guard)
        }
        Output::Stdout => {
            let (writer, worker): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
                .lossy(true)
                .buffered_lines_limit(MAX_BUFFERED_LINES)
                .thread_name("log")
                .finish(std::io::stdout());
            let guard = Guard {
                dropped: Some(writer.error_counter()),
                _worker: Some(worker),
            };
            (BoxMakeWriter::new(writer), guard)
        }
    }
}

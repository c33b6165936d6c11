//! Log output.
//!
//! Lines for a collector go through a thread of their own with a bounded buffer: a request never
//! waits for the log, and what does not fit is dropped and counted.

use anyhow::anyhow;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

/// Result of setting up the log.
pub type Result<T> = anyhow::Result<T>;

/// Lines that wait to be written; at about 400 bytes a line they take 1.6 MB at most.
const BUFFERED_LINES: usize = 4096;

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Where the log goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Standard error, written before the process goes on.
    #[default]
    Stderr,
    /// Standard output, by a thread of its own.
    Stdout,
}

/// Counts lines that did not fit into the buffer.
#[derive(Clone, Debug, Default)]
pub struct Dropped(Option<ErrorCounter>);

impl Dropped {
    /// Lines that were dropped so far.
    pub fn count(&self) -> u64 {
        let counter = self.0.as_ref();
        counter.map_or(0, |counter| counter.dropped_lines() as u64)
    }
}

/// A started log; lines that are not written yet are written when it is dropped.
#[derive(Debug)]
pub struct Guard {
    dropped: Option<ErrorCounter>,
    _writer: Option<WorkerGuard>,
}

impl Guard {
    /// Counts lines that were dropped.
    pub fn dropped(&self) -> Dropped {
        Dropped(self.dropped.clone())
    }
}

/// Starts to log; `spans` adds a line when a span closes.
pub fn start(format: Format, output: Output, filter: &str, spans: bool) -> Result<Guard> {
    let filter = EnvFilter::try_new(filter)?;
    let span_events = if spans { FmtSpan::CLOSE } else { FmtSpan::NONE };
    let (writer, log) = writer(output);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_span_events(span_events)
        .with_writer(writer);
    let started = match format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => builder.json().try_init(),
    };
    started.map_err(|error| anyhow!("cannot start the log: {error}"))?;
    Ok(log)
}

fn writer(output: Output) -> (BoxMakeWriter, Guard) {
    match output {
        Output::Stderr => {
            let log = Guard {
                dropped: None,
                _writer: None,
            };
            (BoxMakeWriter::new(std::io::stderr), log)
        }
        Output::Stdout => {
            let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
                .lossy(true)
                .buffered_lines_limit(BUFFERED_LINES)
                .thread_name("log")
                .finish(std::io::stdout());
            let log = Guard {
                dropped: Some(writer.error_counter()),
                _writer: Some(guard),
            };
            (BoxMakeWriter::new(writer), log)
        }
    }
}

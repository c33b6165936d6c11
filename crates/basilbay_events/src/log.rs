//! Log output.

use anyhow::anyhow;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

/// Result of setting up the log.
pub type Result<T> = anyhow::Result<T>;

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts to log to standard error; `spans` adds a line when a span closes.
pub fn start(format: Format, filter: &str, spans: bool) -> Result<()> {
    let filter = EnvFilter::try_new(filter)?;
    let span_events = if spans { FmtSpan::CLOSE } else { FmtSpan::NONE };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_span_events(span_events)
        .with_writer(std::io::stderr);
    let started = match format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => builder.json().try_init(),
    };
    started.map_err(|error| anyhow!("cannot start the log: {error}"))
}

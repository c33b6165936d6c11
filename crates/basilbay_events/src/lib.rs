//! Observability of a daemon: numbered events, tracing spans and metrics.
//!
//! Each event of the [`catalogue`] has a number whose meaning never changes, so that alerts can
//! match it. [`emit!`] logs an event, [`log::start`] sets up text or JSON output, and
//! [`rate::Limiter`] bounds the log volume. [`metrics::Metrics`] sends metrics to a StatsD
//! address and renders them in the Prometheus text format.

pub mod catalogue;
pub mod log;
pub mod metrics;
pub mod rate;

#[doc(hidden)]
pub use tracing;

/// Logs an event of the catalogue with fields: `emit!(catalogue::STARTED, version = 3)`.
#[macro_export]
macro_rules! emit {
    ($event:expr $(, $($field:tt)*)?) => {{
        let event: &$crate::catalogue::Event = &$event;
        match event.severity {
            $crate::catalogue::Severity::Error => {
                $crate::tracing::error!(event = event.number, name = event.name $(, $($field)*)?)
            }
            $crate::catalogue::Severity::Warning => {
                $crate::tracing::warn!(event = event.number, name = event.name $(, $($field)*)?)
            }
            $crate::catalogue::Severity::Info => {
                $crate::tracing::info!(event = event.number, name = event.name $(, $($field)*)?)
            }
        }
    }};
}

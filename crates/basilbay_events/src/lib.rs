//! What a daemon tells the people who run it: numbered events, spans and metrics.
//!
//! Each event of the [`catalogue`] has a number that never changes its meaning. [`emit!`] logs
//! one; [`log::start`] sets up text or JSON output; [`metrics::Metrics`] sends counters to a
//! StatsD address.

pub mod catalogue;
pub mod log;
pub mod metrics;
pub mod rate;

#[doc(hidden)]
pub use tracing;

/// Logs an event of the catalogue with fields, as in `emit!(catalogue::STARTED, version = 3)`.
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

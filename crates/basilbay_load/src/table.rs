//! Renders results as text tables.

use tabled::builder::Builder;
use tabled::settings::object::{Columns, Object, Rows};
use tabled::settings::{Alignment, Style};

use crate::audit::row::Row;
use crate::audit::{DOMAIN_OUT_GRACE, LEAVING_GRACE, Summary};

/// Renders a header and rows; the first column is left-aligned, the others are right-aligned.
pub fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut builder = Builder::default();
    builder.push_record(header.iter().copied());
    for row in rows {
        builder.push_record(row);
    }
    let numbers = Columns::new(1..).intersect(Rows::new(0..));
    let mut table = builder.build();
    table.with(Style::psql());
    table.modify(numbers, Alignment::right());
    table.to_string()
}

/// Formats a latency in ms.
pub fn ms(value: f64) -> String {
    format!("{value:.1}")
}

fn row(row: &Row) -> Vec<String> {
    vec![
        row.name.to_string(),
        row.sent.to_string(),
        row.answered.to_string(),
        row.late.to_string(),
        row.refused.to_string(),
        row.unknown.to_string(),
        row.failed.to_string(),
        row.lost.to_string(),
        format!("{:.2}%", row.goodput() * 100.0),
        ms(row.latency.p50),
        ms(row.latency.p99),
    ]
}

/// Column headers of a summary.
pub const SUMMARY_HEADER: [&str; 11] = [
    "service", "sent", "answered", "late", "refused", "unknown", "failed", "lost", "weighted",
    "p50 ms", "p99 ms",
];

/// One row per service, and one for all services.
pub fn summary_rows(summary: &Summary) -> Vec<Vec<String>> {
    let services = summary.services.iter();
    services.chain([&summary.all]).map(row).collect()
}

/// Renders a summary with its violations.
pub fn summary(summary: &Summary) -> String {
    let mut text = render(&SUMMARY_HEADER, &summary_rows(summary));
    text.push('\n');
    text.push_str(&breaches(summary));
    text
}

/// Renders one line per violated rule, the latest starts after events, and the sending lag.
pub fn breaches(summary: &Summary) -> String {
    let mut text = String::new();
    for (name, breach) in summary.breaches.named() {
        if breach.count > 0 {
            let examples = breach.examples.join(", ");
            text.push_str(&format!(
                "VIOLATION {name}: {} ({examples})\n",
                breach.count
            ));
        }
    }
    if text.is_empty() {
        text.push_str("violations: none\n");
    }
    if let Some(latest) = summary.latest_after_out_ms {
        text.push_str(&format!(
            "last new work {latest:.0} ms after the domain was out (limit {})\n",
            DOMAIN_OUT_GRACE.as_millis()
        ));
    }
    if let Some(latest) = summary.latest_after_leaving_ms {
        text.push_str(&format!(
            "last new work {latest:.0} ms after leaving began (limit {})\n",
            LEAVING_GRACE.as_millis()
        ));
    }
    let [p50, p99, max] = summary.lag_us;
    text.push_str(&format!(
        "arrivals sent late by: p50 {p50} us, p99 {p99} us, max {max} us\n"
    ));
    text
}

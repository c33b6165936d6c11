//! Renders a comparison and a timeline as an HTML page with plots and tables.

use super::Result;
use super::plot::{self, Axis, Chart, Line};
use super::points::{self, Points, Timeline};
use crate::compare::{self, Comparison};
use crate::table;

/// Style sheet of the page.
const STYLE: &str = "body{font-family:sans-serif;max-width:960px;margin:2em auto}\
table{border-collapse:collapse;margin:1em 0}\
td,th{border-bottom:1px solid #ccc;padding:3px 9px;text-align:right}\
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}";

/// Quantiles with a tick label on the axis of a distribution.
const QUANTILE_TICKS: [(f64, &str); 5] = [
    (0.5, "50%"),
    (0.9, "90%"),
    (0.99, "99%"),
    (0.999, "99.9%"),
    (0.9999, "99.99%"),
];

/// Palette indices of the ideal queue and the policies; no other colour resembles basilbay's.
const POLICY_COLOURS: [usize; 6] = [6, 5, 3, 2, 0, 1];

/// Lower end of the goodput axis unless a value is lower.
const MIN_GOODPUT_AXIS: f64 = 0.9;

/// Upper end of the goodput axis, so that 100% does not coincide with the frame.
const MAX_GOODPUT_AXIS: f64 = 1.02;

/// HTML page and its plots.
#[derive(Clone, Debug)]
pub struct Page {
    /// HTML text, with the plots embedded.
    pub html: String,
    /// File name and SVG text of each plot.
    pub plots: Vec<(&'static str, String)>,
}

impl Page {
    /// Draws all plots and renders the page.
    pub fn new(deployment: &str, comparison: &Comparison, timeline: &Timeline) -> Result<Self> {
        let plots = vec![
            ("policies.svg", plot::draw(&policy_chart(comparison))?),
            ("latency.svg", plot::draw(&latency_chart(timeline))?),
            ("goodput.svg", plot::draw(&goodput_chart(timeline))?),
            ("in-flight.svg", plot::draw(&in_flight_chart(timeline))?),
        ];
        let tables = [
            html_table(&compare::HEADER, &comparison.rows()),
            html_table(&PHASE_HEADER, &phase_rows(timeline)),
            format!(
                "{}<pre>{}</pre>",
                html_table(
                    &table::SUMMARY_HEADER,
                    &table::summary_rows(&timeline.summary)
                ),
                escape(&table::breaches(&timeline.summary))
            ),
            target_table(timeline),
        ];
        let title = format!("basilbay-load report: {deployment}");
        let mut html = format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
             <style>{STYLE}</style></head><body>\n<h1>{title}</h1>\n\
             <p>Policies: {:.0} calls/s on average, targets with noisy neighbours. The ideal queue \
             is calculated, without noise and without any network delay. Latencies are measured \
             from the planned time and exclude refused requests.</p>\n",
            comparison.rate
        );
        for ((_, svg), table) in plots.iter().zip(tables) {
            html.push_str(&format!("{svg}\n{table}\n"));
        }
        html.push_str("</body></html>\n");
        Ok(Self { html, plots })
    }
}

fn policy_chart(comparison: &Comparison) -> Chart {
    let lines: Vec<Line> = POLICY_COLOURS
        .into_iter()
        .cycle()
        .zip(&comparison.series)
        .map(|(colour, series)| Line {
            name: Some(series.policy.clone()),
            colour,
            points: points::distribution(&series.samples),
        })
        .collect();
    let ticks = QUANTILE_TICKS.map(|(quantile, text)| (points::nines(quantile), text.to_owned()));
    Chart {
        title: "Latency by policy under noise".to_owned(),
        x: Axis {
            label: "share of the requests (log scale)",
            range: (points::nines(0.5), points::nines(0.9999)),
            ticks: ticks.to_vec(),
        },
        y: Axis::from_zero("latency in ms", &lines),
        lines,
        markers: Vec::new(),
        legend_left: true,
    }
}

fn time_chart(timeline: &Timeline, title: &str, label: &'static str, lines: Vec<Line>) -> Chart {
    Chart {
        title: title.to_owned(),
        x: Axis::time(timeline.seconds),
        y: Axis::from_zero(label, &lines),
        lines,
        markers: timeline.markers(),
        legend_left: false,
    }
}

fn latency_chart(timeline: &Timeline) -> Chart {
    let intervals = timeline.interval_stats();
    let line = |name: &str, colour, of: fn(&points::Stats) -> f64| Line {
        name: Some(name.to_owned()),
        colour,
        points: intervals
            .iter()
            .filter(|(_, stats)| stats.count > 0)
            .map(|(at, stats)| (*at, of(stats)))
            .collect(),
    };
    let lines = vec![
        line("p50", 0, |stats| stats.p50),
        line("p99", 1, |stats| stats.p99),
    ];
    let title = "Latency by planned time, per 250 ms";
    time_chart(timeline, title, "latency in ms", lines)
}

fn goodput_chart(timeline: &Timeline) -> Chart {
    let intervals = timeline.interval_stats().into_iter();
    let points: Points = intervals.map(|(at, stats)| (at, stats.goodput)).collect();
    let lowest = points.iter().map(|(_, value)| *value);
    let lowest = lowest.fold(MIN_GOODPUT_AXIS, f64::min);
    let line = Line {
        name: None,
        colour: 2,
        points,
    };
    let title = "Weighted goodput by planned time, per 250 ms";
    let mut chart = time_chart(timeline, title, "part of the offered weight", vec![line]);
    chart.y.range = (lowest, MAX_GOODPUT_AXIS);
    chart
}

/// Chart of the requests in flight; targets of a failure domain share a colour.
fn in_flight_chart(timeline: &Timeline) -> Chart {
    let mut domains: Vec<&str> = Vec::new();
    let mut lines = Vec::new();
    for (target, domain) in &timeline.domains {
        let index = domains.iter().position(|other| *other == &**domain);
        let colour = index.unwrap_or(domains.len());
        if index.is_none() {
            domains.push(domain);
        }
        lines.push(Line {
            name: index.is_none().then(|| domain.to_string()),
            colour,
            points: timeline.in_flight_points(target),
        });
    }
    let title = "Requests in flight by target (mean of 250 ms), coloured by domain";
    time_chart(timeline, title, "requests in flight", lines)
}

/// Column headers of the table of phases.
const PHASE_HEADER: [&str; 7] = [
    "phase", "from s", "to s", "requests", "p50 ms", "p99 ms", "weighted",
];

fn phase_rows(timeline: &Timeline) -> Vec<Vec<String>> {
    let phases = timeline.phases().into_iter();
    let rows = phases.map(|(name, time)| {
        let stats = timeline.stats(&time);
        vec![
            name,
            format!("{:.2}", time.start),
            format!("{:.2}", time.end),
            stats.count.to_string(),
            table::ms(stats.p50),
            table::ms(stats.p99),
            format!("{:.2}%", stats.goodput * 100.0),
        ]
    });
    rows.collect()
}

/// Table of the mean requests in flight by target and phase.
fn target_table(timeline: &Timeline) -> String {
    let phases = timeline.phases();
    let mut header = vec!["target", "domain"];
    header.extend(phases.iter().map(|(name, _)| &**name));
    let rows = timeline.domains.iter().map(|(target, domain)| {
        let mut row = vec![target.to_string(), domain.to_string()];
        let means = phases
            .iter()
            .map(|(_, time)| timeline.in_flight(target, time));
        row.extend(means.map(|mean| format!("{mean:.2}")));
        row
    });
    let rows: Vec<_> = rows.collect();
    html_table(&header, &rows)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

fn html_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut html = String::from("<table><tr>");
    for cell in header {
        html.push_str(&format!("<th>{}</th>", escape(cell)));
    }
    html.push_str("</tr>\n");
    for row in rows {
        html.push_str("<tr>");
        for cell in row {
            html.push_str(&format!("<td>{}</td>", escape(cell)));
        }
        html.push_str("</tr>\n");
    }
    html.push_str("</table>");
    html
}

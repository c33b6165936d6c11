//! The HTML page: plots with their tables.

use super::Result;
use super::plot::{self, Axis, Chart, Line};
use super::series::{self, Points, Story};
use crate::compare::{self, Comparison};
use crate::table;

const STYLE: &str = "body{font-family:sans-serif;max-width:960px;margin:2em auto}\
table{border-collapse:collapse;margin:1em 0}\
td,th{border-bottom:1px solid #ccc;padding:3px 9px;text-align:right}\
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}";

/// Shares with a number on the axis of a distribution.
const SHARES: [(f64, &str); 5] = [
    (0.5, "50%"),
    (0.9, "90%"),
    (0.99, "99%"),
    (0.999, "99.9%"),
    (0.9999, "99.99%"),
];

/// Colours of the ideal queue and the policies, so that neither has one like that of basilbay.
const POLICY_COLOURS: [usize; 6] = [6, 5, 3, 2, 0, 1];

/// Lowest end of the axis of goodput unless a value is lower.
const GOODPUT_FROM: f64 = 0.9;

/// Upper end of the axis of goodput, so that 100% is not on the frame.
const GOODPUT_TO: f64 = 1.02;

/// A page and its plots.
#[derive(Clone, Debug)]
pub struct Page {
    /// The page; contains the plots.
    pub html: String,
    /// File names and texts of the plots.
    pub plots: Vec<(&'static str, String)>,
}

impl Page {
    /// Draws all plots and sets the page.
    pub fn new(deployment: &str, comparison: &Comparison, story: &Story) -> Result<Self> {
        let plots = vec![
            ("policies.svg", plot::draw(&policies(comparison))?),
            ("latency.svg", plot::draw(&latency(story))?),
            ("goodput.svg", plot::draw(&goodput(story))?),
            ("in-flight.svg", plot::draw(&flights(story))?),
        ];
        let tables = [
            rows(&compare::HEADER, &comparison.rows()),
            rows(&PHASES, &phases(story)),
            format!(
                "{}<pre>{}</pre>",
                rows(&table::ACCOUNT, &table::rows(&story.account)),
                escape(&table::breaches(&story.account))
            ),
            targets(story),
        ];
        let title = format!("basilbay-load report: {deployment}");
        let mut html = format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
             <style>{STYLE}</style></head><body>\n<h1>{title}</h1>\n\
             <p>Policies: {:.0} calls/s on average, targets with noisy neighbours. The ideal queue \
             is calculated, without noise and without any delay on the way. Latencies count from \
             the planned time; refused requests have none.</p>\n",
            comparison.rate
        );
        for ((_, svg), table) in plots.iter().zip(tables) {
            html.push_str(&format!("{svg}\n{table}\n"));
        }
        html.push_str("</body></html>\n");
        Ok(Self { html, plots })
    }
}

fn policies(comparison: &Comparison) -> Chart {
    let lines: Vec<Line> = POLICY_COLOURS
        .into_iter()
        .cycle()
        .zip(&comparison.series)
        .map(|(colour, series)| Line {
            name: Some(series.policy.clone()),
            colour,
            points: series::distribution(&series.samples),
        })
        .collect();
    let ticks = SHARES.map(|(share, text)| (series::nines(share), text.to_owned()));
    Chart {
        title: "Latency by policy under noise".to_owned(),
        x: Axis {
            label: "share of the requests (log scale)",
            range: (series::nines(0.5), series::nines(0.9999)),
            ticks: ticks.to_vec(),
        },
        y: Axis::above("latency in ms", &lines),
        lines,
        marks: Vec::new(),
        legend_left: true,
    }
}

fn over_time(story: &Story, title: &str, label: &'static str, lines: Vec<Line>) -> Chart {
    Chart {
        title: title.to_owned(),
        x: Axis::time(story.seconds),
        y: Axis::above(label, &lines),
        lines,
        marks: story.marks(),
        legend_left: false,
    }
}

fn latency(story: &Story) -> Chart {
    let figures = story.figures();
    let line = |name: &str, colour, of: fn(&series::Figure) -> f64| Line {
        name: Some(name.to_owned()),
        colour,
        points: figures
            .iter()
            .filter(|(_, figure)| figure.count > 0)
            .map(|(at, figure)| (*at, of(figure)))
            .collect(),
    };
    let lines = vec![
        line("p50", 0, |figure| figure.p50),
        line("p99", 1, |figure| figure.p99),
    ];
    let title = "Latency by planned time, per 250 ms";
    over_time(story, title, "latency in ms", lines)
}

fn goodput(story: &Story) -> Chart {
    let figures = story.figures().into_iter();
    let points: Points = figures.map(|(at, figure)| (at, figure.goodput)).collect();
    let lowest = points.iter().map(|(_, value)| *value);
    let lowest = lowest.fold(GOODPUT_FROM, f64::min);
    let line = Line {
        name: None,
        colour: 2,
        points,
    };
    let title = "Weighted goodput by planned time, per 250 ms";
    let mut chart = over_time(story, title, "part of the offered weight", vec![line]);
    chart.y.range = (lowest, GOODPUT_TO);
    chart
}

/// Targets of a failure domain share a colour.
fn flights(story: &Story) -> Chart {
    let mut known: Vec<&str> = Vec::new();
    let mut lines = Vec::new();
    for (target, domain) in &story.domains {
        let found = known.iter().position(|known| *known == &**domain);
        let colour = found.unwrap_or(known.len());
        if found.is_none() {
            known.push(domain);
        }
        lines.push(Line {
            name: found.is_none().then(|| domain.to_string()),
            colour,
            points: story.flight(target),
        });
    }
    let title = "Requests in flight by target (mean of 250 ms), coloured by domain";
    over_time(story, title, "requests in flight", lines)
}

const PHASES: [&str; 7] = [
    "phase", "from s", "to s", "requests", "p50 ms", "p99 ms", "weighted",
];

fn phases(story: &Story) -> Vec<Vec<String>> {
    let phases = story.phases().into_iter();
    let rows = phases.map(|(name, time)| {
        let figure = story.figure(&time);
        vec![
            name,
            format!("{:.2}", time.start),
            format!("{:.2}", time.end),
            figure.count.to_string(),
            table::ms(figure.p50),
            table::ms(figure.p99),
            format!("{:.2}%", figure.goodput * 100.0),
        ]
    });
    rows.collect()
}

/// Mean requests in flight by target and phase.
fn targets(story: &Story) -> String {
    let phases = story.phases();
    let mut header = vec!["target", "domain"];
    header.extend(phases.iter().map(|(name, _)| &**name));
    let lines = story.domains.iter().map(|(target, domain)| {
        let mut line = vec![target.to_string(), domain.to_string()];
        let means = phases.iter().map(|(_, time)| story.in_flight(target, time));
        line.extend(means.map(|mean| format!("{mean:.2}")));
        line
    });
    let lines: Vec<_> = lines.collect();
    rows(&header, &lines)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

fn rows(header: &[&str], lines: &[Vec<String>]) -> String {
    let mut html = String::from("<table><tr>");
    for cell in header {
        html.push_str(&format!("<th>{}</th>", escape(cell)));
    }
    html.push_str("</tr>\n");
    for line in lines {
        html.push_str("<tr>");
        for cell in line {
            html.push_str(&format!("<td>{}</td>", escape(cell)));
        }
        html.push_str("</tr>\n");
    }
    html.push_str("</table>");
    html
}

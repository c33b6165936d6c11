//! Renders line charts as SVG text, with the crate `plotters`.

use std::ops::Range;

use anyhow::anyhow;
use plotters::coord::ranged1d::{DefaultFormatting, KeyPointHint};
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use super::Result;
use super::points::Points;

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (900, 400);

/// Factor on the highest value, which leaves space for the legend and the marker labels.
const HEADROOM_FACTOR: f64 = 1.3;

/// Right margin for half of the last tick label.
const RIGHT_MARGIN_PX: u32 = 32;

const FONT: &str = "sans-serif";

/// Palette that colour-blind readers can distinguish (Okabe and Ito).
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
];

/// A line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend; `None` for lines that share the colour of a named line.
    pub name: Option<String>,
    /// Index into the palette.
    pub colour: usize,
    /// Points of the line.
    pub points: Points,
}

/// An axis of a plot.
#[derive(Clone, Debug)]
pub struct Axis {
    /// Label with the unit.
    pub label: &'static str,
    /// Lowest and highest value.
    pub range: (f64, f64),
    /// Values with a tick and their labels.
    pub ticks: Vec<(f64, String)>,
}

/// Data and settings of a plot.
#[derive(Clone, Debug)]
pub struct Chart {
    /// Caption of the plot.
    pub title: String,
    /// Horizontal axis.
    pub x: Axis,
    /// Vertical axis; `plotters` chooses its ticks.
    pub y: Axis,
    /// Lines to draw.
    pub lines: Vec<Line>,
    /// Positions and labels of vertical lines.
    pub markers: Vec<(f64, String)>,
    /// Whether the legend is at the upper left instead of the upper right.
    pub legend_left: bool,
}

impl Axis {
    /// Horizontal time axis with a tick per second.
    pub fn time(seconds: f64) -> Self {
        let ticks = (0..=seconds as u32).map(|second| (f64::from(second), second.to_string()));
        Self {
            label: "time in s",
            range: (0.0, seconds),
            ticks: ticks.collect(),
        }
    }

    /// Vertical axis from zero, with headroom above all lines.
    pub fn from_zero(label: &'static str, lines: &[Line]) -> Self {
        let points = lines.iter().flat_map(|line| &line.points);
        let highest = points.map(|(_, value)| *value).fold(0.0, f64::max);
        Self {
            label,
            range: (0.0, highest.max(f64::MIN_POSITIVE) * HEADROOM_FACTOR),
            ticks: Vec::new(),
        }
    }

    fn tick_label(&self, value: f64) -> String {
        let mut ticks = self.ticks.iter();
        let tick = ticks.find(|(at, _)| (at - value).abs() < 1e-9);
        tick.map_or_else(String::new, |(_, text)| text.clone())
    }
}

/// Linear axis with explicit ticks; the combinator of `plotters` lacks a formatter for floats.
struct TickedAxis {
    inner: RangedCoordf64,
    ticks: Vec<f64>,
}

impl Ranged for TickedAxis {
    type FormatOption = DefaultFormatting;
    type ValueType = f64;

    fn map(&self, value: &f64, limit: (i32, i32)) -> i32 {
        self.inner.map(value, limit)
    }

    fn key_points<Hint: KeyPointHint>(&self, _hint: Hint) -> Vec<f64> {
        self.ticks.clone()
    }

    fn range(&self) -> Range<f64> {
        self.inner.range()
    }
}

fn colour(index: usize) -> RGBColor {
    COLOURS[index % COLOURS.len()]
}

/// Draws a plot as SVG text.
pub fn draw(chart: &Chart) -> Result<String> {
    let mut svg = String::new();
    // `plotters` errors borrow the output buffer, so `render` converts them to text.
    render(chart, &mut svg).map_err(|error| anyhow!("plot '{}': {error}", chart.title))?;
    Ok(svg)
}

fn render(chart: &Chart, svg: &mut String) -> std::result::Result<(), String> {
    let root = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(error_text)?;
    let (left, right) = chart.x.range;
    let (bottom, top) = chart.y.range;
    let x_axis = TickedAxis {
        inner: (left..right).into(),
        ticks: chart.x.ticks.iter().map(|(value, _)| *value).collect(),
    };
    let mut context = ChartBuilder::on(&root)
        .caption(&chart.title, (FONT, 18))
        .margin(10)
        .margin_right(RIGHT_MARGIN_PX)
        .x_label_area_size(45)
        .y_label_area_size(65)
        .build_cartesian_2d(x_axis, bottom..top)
        .map_err(error_text)?;
    context
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(BLACK.mix(0.12))
        .x_label_formatter(&|value| chart.x.tick_label(*value))
        .x_desc(chart.x.label)
        .y_desc(chart.y.label)
        .label_style((FONT, 13))
        .axis_desc_style((FONT, 14))
        .draw()
        .map_err(error_text)?;
    for (at, name) in &chart.markers {
        let line = [(*at, bottom), (*at, top)];
        let style = BLACK.mix(0.6);
        context
            .draw_series(std::iter::once(PathElement::new(line, style)))
            .map_err(error_text)?;
        let position = (*at + (right - left) * 0.005, top);
        let label = Text::new(format!(" {name}"), position, (FONT, 13));
        context
            .draw_series(std::iter::once(label))
            .map_err(error_text)?;
    }
    for line in &chart.lines {
        let style = colour(line.colour).stroke_width(2);
        let drawn = context
            .draw_series(LineSeries::new(line.points.iter().copied(), style))
            .map_err(error_text)?;
        if let Some(name) = &line.name {
            drawn
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
    }
    if chart.lines.iter().any(|line| line.name.is_some()) {
        let position = match chart.legend_left {
            true => SeriesLabelPosition::UpperLeft,
            false => SeriesLabelPosition::UpperRight,
        };
        context
            .configure_series_labels()
            .position(position)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .label_font((FONT, 13))
            .draw()
            .map_err(error_text)?;
    }
    root.present().map_err(error_text)
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

//! Tables without borders.

use tabled::builder::Builder;
use tabled::settings::object::Columns;
use tabled::settings::{Alignment, Padding, Style};

/// Spaces between two columns.
const GAP: usize = 2;

/// Formats rows below a header; the columns in `numbers` are aligned to the right.
pub fn format(header: &[&str], rows: &[Vec<String>], numbers: &[usize]) -> String {
    let mut builder = Builder::default();
    builder.push_record(header.iter().copied());
    for row in rows {
        builder.push_record(row);
    }
    let mut table = builder.build();
    table.with(Style::empty()).with(Padding::new(0, GAP, 0, 0));
    for column in numbers {
        table.modify(Columns::one(*column), Alignment::right());
    }
    let lines: Vec<String> = table
        .to_string()
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect();
    lines.join("\n")
}

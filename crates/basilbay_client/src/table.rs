//! Plain-text tables without borders.

use tabled::builder::Builder;
use tabled::settings::object::Columns;
use tabled::settings::{Alignment, Padding, Style};

/// Spaces between two columns.
const COLUMN_SPACING: usize = 2;

/// Formats rows below a header. The columns with an index in `right_aligned` are right-aligned, all
/// others left-aligned.
pub fn format(header: &[&str], rows: &[Vec<String>], right_aligned: &[usize]) -> String {
    let mut builder = Builder::default();
    builder.push_record(header.iter().copied());
    for row in rows {
        builder.push_record(row);
    }
    let mut table = builder.build();
    table
        .with(Style::empty())
        .with(Padding::new(0, COLUMN_SPACING, 0, 0));
    for column in right_aligned {
        table.modify(Columns::one(*column), Alignment::right());
    }
    let lines: Vec<String> = table
        .to_string()
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect();
    lines.join("\n")
}

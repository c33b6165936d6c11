//! Line-by-line validation of INI text.
//!
//! Comments and invalid lines are removed, the latter with a finding, and the line numbers of the
//! remaining headers and keys are recorded.

use std::sync::Arc;

use crate::finding::{Finding, Report};

/// Text without comments and invalid lines, with the line numbers of the rest.
pub(super) struct Cleaned {
    /// The text, for the INI parser.
    pub(super) text: String,
    /// Line numbers of the section headers, in file order.
    pub(super) headers: Vec<usize>,
    /// Line numbers of the keys, in file order.
    pub(super) keys: Vec<usize>,
}

/// Byte order mark, which some editors write at the start of a file.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Input and state of one pass over the lines of a file.
struct Cleaner<'a> {
    file: &'a Arc<str>,
    /// Name of the current section, for findings; empty before the first header.
    section: Arc<str>,
    /// Whether the last header was invalid; its keys are skipped, since they belong to no known
    /// section.
    is_skipping: bool,
    cleaned: Cleaned,
    report: &'a mut Report,
}

/// Removes comments and invalid lines, and reports the latter.
pub(super) fn clean(file: &Arc<str>, text: &str, report: &mut Report) -> Cleaned {
    let mut cleaner = Cleaner {
        file,
        section: Arc::from(""),
        is_skipping: false,
        cleaned: Cleaned {
            text: String::with_capacity(text.len()),
            headers: Vec::new(),
            keys: Vec::new(),
        },
        report,
    };
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    for (index, line) in text.lines().enumerate() {
        cleaner.clean_line(index + 1, line);
    }
    cleaner.cleaned
}

impl Cleaner<'_> {
    fn clean_line(&mut self, number: usize, line: &str) {
        let line = strip_comment(line).trim();
        if line.is_empty() {
            return;
        }
        if line
            .chars()
            .any(|symbol| symbol.is_control() && symbol != '\t')
        {
            self.add_finding(number, "the line contains a control character");
            return;
        }
        match line.strip_prefix('[') {
            Some(rest) => self.clean_header(number, rest),
            None => self.clean_entry(number, line),
        }
    }

    fn clean_header(&mut self, number: usize, rest: &str) {
        let (name, after) = match rest.split_once(']') {
            Some((name, after)) => (name, after.trim()),
            None => {
                self.add_finding(number, "the closing ] of the section is missing");
                (rest, "")
            }
        };
        let words: Vec<&str> = name.split_whitespace().collect();
        let name = words.join(" ");
        self.section = Arc::from(name.as_str());
        if !after.is_empty() {
            self.add_finding(number, "unexpected text after the closing ] of the section");
        }
        self.is_skipping = name.is_empty() || name.contains('\\');
        if self.is_skipping {
            self.add_finding(
                number,
                "a section name must be non-empty and without backslashes",
            );
            return;
        }
        self.cleaned.headers.push(number);
        self.cleaned.text.push_str(&format!("[{name}]\n"));
    }

    fn clean_entry(&mut self, number: usize, line: &str) {
        let Some((key, value)) = line.split_once(['=', ':']) else {
            self.add_finding(number, "neither a [section] nor key = value");
            return;
        };
        let (key, value) = (key.trim(), value.trim());
        if key.is_empty() || key.contains('\\') {
            self.add_finding(
                number,
                "the key before = must be non-empty and without backslashes",
            );
            return;
        }
        if value.ends_with('\\') {
            self.add_finding(number, "a value cannot be continued on the next line");
            return;
        }
        if self.is_skipping {
            return;
        }
        self.cleaned.keys.push(number);
        self.cleaned.text.push_str(&format!("{key} = {value}\n"));
    }

    fn add_finding(&mut self, line: usize, message: &str) {
        self.report.push(Finding {
            file: self.file.clone(),
            line,
            section: self.section.clone(),
            key: Arc::from(""),
            rule: "syntax",
            message: message.to_owned(),
        });
    }
}

/// Removes a comment, which starts with `#` or `;` at the start of the line or after white space.
fn strip_comment(line: &str) -> &str {
    let mut after_space = true;
    for (index, symbol) in line.char_indices() {
        if after_space && matches!(symbol, '#' | ';') {
            return line.get(..index).unwrap_or(line);
        }
        after_space = symbol.is_whitespace();
    }
    line
}

//! Lines of an INI text: which are usable, and what is wrong with the others.

use std::sync::Arc;

use crate::finding::{Finding, Report};

/// Text without comments and unusable lines, with the places of what is left.
pub(super) struct Cleaned {
    /// The text, for the library.
    pub(super) text: String,
    /// Lines of the section headers in the order of the file.
    pub(super) headers: Vec<usize>,
    /// Lines of the keys in the order of the file.
    pub(super) keys: Vec<usize>,
}

/// Byte order mark, which some editors put at the start of a file.
const BYTE_ORDER_MARK: char = '\u{feff}';

struct Cleaner<'a> {
    file: &'a Arc<str>,
    section: Arc<str>,
    /// Keys below an unusable header are left out, since they belong to no known section.
    skipping: bool,
    cleaned: Cleaned,
    report: &'a mut Report,
}

/// Reports unusable lines and keeps the others.
pub(super) fn clean(file: &Arc<str>, text: &str, report: &mut Report) -> Cleaned {
    let mut cleaner = Cleaner {
        file,
        section: Arc::from(""),
        skipping: false,
        cleaned: Cleaned {
            text: String::with_capacity(text.len()),
            headers: Vec::new(),
            keys: Vec::new(),
        },
        report,
    };
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    for (index, line) in text.lines().enumerate() {
        cleaner.line(index + 1, line);
    }
    cleaner.cleaned
}

impl Cleaner<'_> {
    fn line(&mut self, number: usize, line: &str) {
        let line = without_comment(line).trim();
        if line.is_empty() {
            return;
        }
        if line
            .chars()
            .any(|symbol| symbol.is_control() && symbol != '\t')
        {
            self.add_finding(number, "a control character is in the line");
            return;
        }
        match line.strip_prefix('[') {
            Some(rest) => self.header(number, rest),
            None => self.pair(number, line),
        }
    }

    fn header(&mut self, number: usize, rest: &str) {
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
            self.add_finding(number, "text stands after the closing ] of the section");
        }
        self.skipping = name.is_empty() || name.contains('\\');
        if self.skipping {
            self.add_finding(number, "a section name has words without backslashes");
            return;
        }
        self.cleaned.headers.push(number);
        self.cleaned.text.push_str(&format!("[{name}]\n"));
    }

    fn pair(&mut self, number: usize, line: &str) {
        let Some((key, value)) = line.split_once(['=', ':']) else {
            self.add_finding(number, "neither a [section] nor key = value");
            return;
        };
        let (key, value) = (key.trim(), value.trim());
        if key.is_empty() || key.contains('\\') {
            self.add_finding(number, "before the = stands a key without backslashes");
            return;
        }
        if value.ends_with('\\') {
            self.add_finding(number, "a value cannot be continued on the next line");
            return;
        }
        if self.skipping {
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

/// Cuts a comment: `#` or `;` at the start of the line or after white space.
fn without_comment(line: &str) -> &str {
    let mut after_space = true;
    for (index, symbol) in line.char_indices() {
        if after_space && matches!(symbol, '#' | ';') {
            return line.get(..index).unwrap_or(line);
        }
        after_space = symbol.is_whitespace();
    }
    line
}

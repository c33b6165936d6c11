//! INI text with the line of each section and key.
//!
//! The library parses the text; this module adds the lines, which the library does not keep, and
//! typed getters that turn a bad value into a [`Finding`] and a default.

use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use ini::{Ini, ParseOption};

use crate::finding::{Finding, Report};

/// One key with its value and line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Arc<str>,
    /// The value, trimmed.
    pub value: Arc<str>,
    /// Line of the key, counted from 1.
    pub line: usize,
}

/// One section with its entries in the order of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Name in brackets, empty before the first section.
    pub name: Arc<str>,
    /// Line of the header, counted from 1.
    pub line: usize,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Section {
    /// Finds an entry by key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| &*entry.key == key)
    }

    /// Splits `word id` section names, such as `service paydesk`.
    pub fn split_name(&self) -> (&str, &str) {
        match self.name.split_once(' ') {
            Some((word, id)) => (word, id.trim()),
            None => (&self.name, ""),
        }
    }
}

/// A parsed file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Name of the file, for findings.
    pub file: Arc<str>,
    /// Sections in the order of the file.
    pub sections: Vec<Section>,
}

/// Line of a header or key, as found by the scan.
struct Place {
    section: Arc<str>,
    key: Option<Arc<str>>,
    line: usize,
}

impl Document {
    /// Parses a text; syntax errors and duplicates become findings.
    pub fn parse(file: &str, text: &str, report: &mut Report) -> Self {
        let file = Arc::<str>::from(file);
        let places = scan(text);
        let option = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let mut document = Self {
            file,
            sections: Vec::new(),
        };
        match Ini::load_from_str_opt(text, option) {
            Ok(parsed) => document.fill(&parsed, &places),
            Err(error) => report.push(Finding {
                file: document.file.clone(),
                line: error.line,
                section: Arc::from(""),
                key: Arc::from(""),
                rule: "syntax",
                message: format!("not INI: {}", error.msg),
            }),
        }
        document.find_duplicates(&places, report);
        document
    }

    /// Sections whose name starts with `word`.
    pub fn sections_of<'a>(&'a self, word: &'a str) -> impl Iterator<Item = &'a Section> {
        self.sections
            .iter()
            .filter(move |section| section.split_name().0 == word)
    }

    /// Finds a section by its whole name.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| &*section.name == name)
    }

    fn fill(&mut self, parsed: &Ini, places: &[Place]) {
        for (name, properties) in parsed.iter() {
            let name = name.unwrap_or_default();
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            let entries = properties
                .iter()
                .map(|(key, value)| Entry {
                    key: Arc::from(key),
                    value: Arc::from(value.trim()),
                    line: line_of(places, name, Some(key)),
                })
                .collect();
            self.sections.push(Section {
                name: Arc::from(name),
                line: line_of(places, name, None),
                entries,
            });
        }
    }

    fn find_duplicates(&self, places: &[Place], report: &mut Report) {
        for (index, place) in places.iter().enumerate() {
            let seen_before = places
                .iter()
                .take(index)
                .any(|earlier| earlier.section == place.section && earlier.key == place.key);
            if !seen_before {
                continue;
            }
            report.push(Finding {
                file: self.file.clone(),
                line: place.line,
                section: place.section.clone(),
                key: place.key.clone().unwrap_or_else(|| Arc::from("")),
                rule: "duplicate",
                message: "stated twice".to_owned(),
            });
        }
    }
}

fn line_of(places: &[Place], section: &str, key: Option<&str>) -> usize {
    places
        .iter()
        .find(|place| &*place.section == section && place.key.as_deref() == key)
        .map_or(0, |place| place.line)
}

fn scan(text: &str) -> Vec<Place> {
    let mut section = Arc::<str>::from("");
    let mut places = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('#') || line.starts_with(';') {
            continue;
        }
        if let Some(header) = line.strip_prefix('[') {
            let name = header.split(']').next().unwrap_or_default();
            section = Arc::from(name.trim());
            places.push(Place {
                section: section.clone(),
                key: None,
                line: index + 1,
            });
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            places.push(Place {
                section: section.clone(),
                key: Some(Arc::from(key.trim())),
                line: index + 1,
            });
        }
    }
    places
}

/// Reads typed values from one section and collects findings.
pub struct Reader<'a> {
    file: &'a Arc<str>,
    section: &'a Section,
    report: &'a mut Report,
    known: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Starts to read a section.
    pub fn new(document: &'a Document, section: &'a Section, report: &'a mut Report) -> Self {
        Self {
            file: &document.file,
            section,
            report,
            known: Vec::new(),
        }
    }

    /// Reads a required text.
    pub fn text(&mut self, key: &'static str) -> Arc<str> {
        match self.raw(key) {
            Some(value) => value,
            None => {
                self.missing(key);
                Arc::from("")
            }
        }
    }

    /// Reads an optional text.
    pub fn optional_text(&mut self, key: &'static str) -> Option<Arc<str>> {
        self.raw(key)
    }

    /// Reads a required value, or reports and returns `None`.
    pub fn required<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.raw(key) {
            Some(value) => self.parsed(key, &value),
            None => {
                self.missing(key);
                None
            }
        }
    }

    /// Reads a value, or its default where the key is absent.
    pub fn value<T>(&mut self, key: &'static str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.raw(key) {
            Some(value) => self.parsed(key, &value).unwrap_or(default),
            None => default,
        }
    }

    /// Reads a duration in whole milliseconds.
    pub fn millis(&mut self, key: &'static str, default: Duration) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.value(key, default))
    }

    /// Reads one of a fixed list of words.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)], default: T) -> T {
        let Some(value) = self.raw(key) else {
            return default;
        };
        if let Some((_, choice)) = choices.iter().find(|(word, _)| *word == &*value) {
            return *choice;
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        self.found(
            key,
            "choice",
            format!("'{value}' is not one of {}", words.join(", ")),
        );
        default
    }

    /// Reports a finding at a key of this section.
    pub fn found(&mut self, key: &str, rule: &'static str, message: String) {
        let line = self
            .section
            .entry(key)
            .map_or(self.section.line, |entry| entry.line);
        self.report.push(Finding {
            file: self.file.clone(),
            line,
            section: self.section.name.clone(),
            key: Arc::from(key),
            rule,
            message,
        });
    }

    /// Reports the keys that nobody asked for.
    pub fn finish(mut self) {
        let unknown: Vec<Arc<str>> = self
            .section
            .entries
            .iter()
            .filter(|entry| !self.known.contains(&&*entry.key))
            .map(|entry| entry.key.clone())
            .collect();
        for key in unknown {
            let known = self.known.join(", ");
            self.found(
                &key,
                "unknown-key",
                format!("unknown key; known are {known}"),
            );
        }
    }

    fn raw(&mut self, key: &'static str) -> Option<Arc<str>> {
        self.known.push(key);
        self.section.entry(key).map(|entry| entry.value.clone())
    }

    fn missing(&mut self, key: &'static str) {
        self.found(key, "missing-key", "required key is missing".to_owned());
    }

    fn parsed<T>(&mut self, key: &'static str, value: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.found(key, "value", format!("'{value}' cannot be read: {error}"));
                None
            }
        }
    }
}

//! INI text with the line of each section and key.
//!
//! The library parses the text. It stops at the first error, joins lines that have no `=`, and
//! keeps no lines, so [`line`] first reports every line that is not INI and hands on the others.
//! [`Reader`] has typed getters that turn a bad value into a [`Finding`] and a default.

mod line;
mod reader;

use std::collections::BTreeMap;
use std::sync::Arc;

use ini::{Ini, ParseOption};

pub use self::reader::Reader;
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
    /// Name in brackets, with single spaces; empty before the first section.
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

impl Document {
    /// Parses a text; syntax errors and duplicates become findings.
    pub fn parse(file: &str, text: &str, report: &mut Report) -> Self {
        let mut document = Self {
            file: Arc::from(file),
            sections: Vec::new(),
        };
        let cleaned = line::clean(&document.file, text, report);
        let option = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(&cleaned.text, option) {
            Ok(parsed) => document.fill(&parsed, &cleaned),
            Err(error) => {
                let message = format!("not INI: {}", error.msg);
                report.push(document.finding(error.line, "", "", "syntax", message));
            }
        }
        document.find_duplicates(report);
        document
    }

    /// Parses bytes; bytes that are not UTF-8 are a finding and leave an empty document.
    pub fn parse_bytes(file: &str, bytes: &[u8], report: &mut Report) -> Self {
        let text = decode(file, bytes, report).unwrap_or_default();
        Self::parse(file, text, report)
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

    /// Finds a section by its whole name, or reports that it is missing.
    pub fn required_section(&self, name: &str, report: &mut Report) -> Option<&Section> {
        let section = self.section(name);
        if section.is_none() {
            let message = format!("no [{name}] section");
            report.push(self.finding(0, name, "", "missing-section", message));
        }
        section
    }

    /// Reports sections that are not among the `plain` ones and the ones that are `named` by an
    /// id, as well as names with a missing or superfluous id.
    pub fn check_sections(&self, plain: &[&str], named: &[&str], report: &mut Report) {
        for section in &self.sections {
            let (word, id) = section.split_name();
            let (rule, message) = if section.name.is_empty() {
                let message = "keys before the first section belong to none".to_owned();
                ("key-outside", message)
            } else if plain.contains(&word) {
                if id.is_empty() {
                    continue;
                }
                ("section-id", format!("takes no id; write [{word}]"))
            } else if named.contains(&word) {
                if !id.is_empty() {
                    continue;
                }
                ("section-id", format!("needs an id, as in [{word} ID]"))
            } else {
                let known = [plain, named].concat().join(", ");
                let message = format!("unknown section; known are {known}");
                ("unknown-section", message)
            };
            report.push(self.finding(section.line, &section.name, "", rule, message));
        }
    }

    /// Makes a finding in this file.
    pub fn finding(
        &self,
        line: usize,
        section: &str,
        key: &str,
        rule: &'static str,
        message: String,
    ) -> Finding {
        Finding {
            file: self.file.clone(),
            line,
            section: Arc::from(section),
            key: Arc::from(key),
            rule,
            message,
        }
    }

    fn fill(&mut self, parsed: &Ini, cleaned: &line::Cleaned) {
        let mut headers = cleaned.headers.iter().copied();
        let mut keys = cleaned.keys.iter().copied();
        for (name, properties) in parsed.iter() {
            let line = match name {
                Some(_) => headers.next().unwrap_or(0),
                None => 1,
            };
            let entries: Vec<Entry> = properties
                .iter()
                .map(|(key, value)| Entry {
                    key: Arc::from(key),
                    value: Arc::from(value.trim()),
                    line: keys.next().unwrap_or(0),
                })
                .collect();
            if name.is_none() && entries.is_empty() {
                continue;
            }
            self.sections.push(Section {
                name: Arc::from(name.unwrap_or_default()),
                line,
                entries,
            });
        }
    }

    fn find_duplicates(&self, report: &mut Report) {
        let mut sections = BTreeMap::new();
        for section in &self.sections {
            let first = *sections.entry(&section.name).or_insert(section.line);
            if first != section.line {
                let message = format!("already stated in line {first}");
                let name = &section.name;
                report.push(self.finding(section.line, name, "", "duplicate-section", message));
            }
            self.find_duplicate_keys(section, report);
        }
    }

    fn find_duplicate_keys(&self, section: &Section, report: &mut Report) {
        let mut keys = BTreeMap::new();
        for entry in &section.entries {
            let first = *keys.entry(&entry.key).or_insert(entry.line);
            if first != entry.line {
                let message = format!("already stated in line {first}");
                let (name, key) = (&section.name, &entry.key);
                report.push(self.finding(entry.line, name, key, "duplicate-key", message));
            }
        }
    }
}

/// Reads bytes as UTF-8, or reports the line of the first byte that is not.
pub fn decode<'a>(file: &str, bytes: &'a [u8], report: &mut Report) -> Option<&'a str> {
    match std::str::from_utf8(bytes) {
        Ok(text) => Some(text),
        Err(error) => {
            let before = bytes.get(..error.valid_up_to()).unwrap_or_default();
            let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
            report.push(Finding {
                file: Arc::from(file),
                line,
                section: Arc::from(""),
                key: Arc::from(""),
                rule: "encoding",
                message: "not UTF-8".to_owned(),
            });
            None
        }
    }
}

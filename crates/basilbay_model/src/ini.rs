//! INI documents with the line number of each section and key.
//!
//! `rust-ini` parses the text. It stops at the first error, joins lines without a `=`, and
//! discards line numbers, so [`line`] first reports and removes every invalid line. [`Reader`] has
//! typed getters that turn an invalid value into a [`Finding`] and a default.

mod line;
mod reader;

use std::collections::BTreeMap;
use std::sync::Arc;

use ini::{Ini, ParseOption};

pub use self::reader::Reader;
use crate::finding::{Finding, Report};

/// A key with its value and line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Arc<str>,
    /// The value, trimmed.
    pub value: Arc<str>,
    /// Line of the key, counted from 1.
    pub line: usize,
}

/// A section with its entries in file order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Name in brackets, with single spaces; empty before the first section.
    pub name: Arc<str>,
    /// Line of the header, counted from 1; 1 for the keys before the first section.
    pub line: usize,
    /// Entries in file order.
    pub entries: Vec<Entry>,
}

impl Section {
    /// Finds an entry by key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| &*entry.key == key)
    }

    /// Splits the name into type and id, as in `service paydesk`; the id may be empty.
    pub fn split_name(&self) -> (&str, &str) {
        match self.name.split_once(' ') {
            Some((section_type, id)) => (section_type, id.trim()),
            None => (&self.name, ""),
        }
    }
}

/// A parsed INI file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Name of the file, for findings.
    pub file: Arc<str>,
    /// Sections in file order.
    pub sections: Vec<Section>,
}

impl Document {
    /// Parses a text. Syntax errors and duplicates are reported as findings; invalid lines are left
    /// out.
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
            Ok(parsed) => document.add_sections(&parsed, &cleaned),
            Err(error) => {
                let message = format!("invalid INI: {}", error.msg);
                report.push(document.finding(error.line, "", "", "syntax", message));
            }
        }
        document.check_duplicates(report);
        document
    }

    /// Parses bytes; invalid UTF-8 is reported and yields an empty document.
    pub fn parse_bytes(file: &str, bytes: &[u8], report: &mut Report) -> Self {
        let text = decode(file, bytes, report).unwrap_or_default();
        Self::parse(file, text, report)
    }

    /// Sections of a type: those whose name is `section_type` or `section_type ID`.
    pub fn sections_of_type<'a>(
        &'a self,
        section_type: &'a str,
    ) -> impl Iterator<Item = &'a Section> {
        self.sections
            .iter()
            .filter(move |section| section.split_name().0 == section_type)
    }

    /// Finds a section by its full name.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| &*section.name == name)
    }

    /// Finds a section by its full name, or reports that it is missing.
    pub fn required_section(&self, name: &str, report: &mut Report) -> Option<&Section> {
        let section = self.section(name);
        if section.is_none() {
            let message = format!("no [{name}] section");
            report.push(self.finding(0, name, "", "missing-section", message));
        }
        section
    }

    /// Reports unknown sections, and names with a missing or superfluous id.
    ///
    /// Sections of the types in `plain` have no id, those of the types in `named` have one.
    pub fn check_sections(&self, plain: &[&str], named: &[&str], report: &mut Report) {
        for section in &self.sections {
            let (section_type, id) = section.split_name();
            let (rule, message) = if section.name.is_empty() {
                let message = "keys before the first section belong to no section".to_owned();
                ("key-outside", message)
            } else if plain.contains(&section_type) {
                if id.is_empty() {
                    continue;
                }
                let message = format!("accepts no id; write [{section_type}]");
                ("section-id", message)
            } else if named.contains(&section_type) {
                if !id.is_empty() {
                    continue;
                }
                let message = format!("needs an id, as in [{section_type} ID]");
                ("section-id", message)
            } else {
                let types = [plain, named].concat().join(", ");
                let message = format!("unknown section; known sections: {types}");
                ("unknown-section", message)
            };
            report.push(self.finding(section.line, &section.name, "", rule, message));
        }
    }

    /// Creates a finding in this file.
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

    /// Adds the parsed sections with the line numbers that `cleaned` recorded in the same order.
    fn add_sections(&mut self, parsed: &Ini, cleaned: &line::Cleaned) {
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

    fn check_duplicates(&self, report: &mut Report) {
        let mut sections = BTreeMap::new();
        for section in &self.sections {
            let first = *sections.entry(&section.name).or_insert(section.line);
            if first != section.line {
                let message = format!("already defined in line {first}");
                let name = &section.name;
                report.push(self.finding(section.line, name, "", "duplicate-section", message));
            }
            self.check_duplicate_keys(section, report);
        }
    }

    fn check_duplicate_keys(&self, section: &Section, report: &mut Report) {
        let mut keys = BTreeMap::new();
        for entry in &section.entries {
            let first = *keys.entry(&entry.key).or_insert(entry.line);
            if first != entry.line {
                let message = format!("already set in line {first}");
                let (name, key) = (&section.name, &entry.key);
                report.push(self.finding(entry.line, name, key, "duplicate-key", message));
            }
        }
    }
}

/// Decodes UTF-8; invalid input is reported with the line of the first invalid byte and yields
/// `None`.
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

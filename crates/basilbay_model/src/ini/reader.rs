//! Typed access to the values of one section.
//!
//! A getter returns the value of a key, or the default if the key is absent. It turns an invalid
//! value into a finding and returns the default as well, so that one pass reports all findings.

use std::fmt::Display;
use std::num::{IntErrorKind, ParseIntError};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use super::{Document, Section};
use crate::finding::{Finding, Report};

/// Keywords of [`Reader::flag`].
const FLAGS: [(&str, bool); 2] = [("yes", true), ("no", false)];

/// Reads typed values from one section and collects findings.
pub struct Reader<'a> {
    file: &'a Arc<str>,
    section: &'a Section,
    report: &'a mut Report,
    /// Keys requested so far; [`Self::finish`] reports all others as unknown.
    known_keys: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of a section.
    pub fn new(document: &'a Document, section: &'a Section, report: &'a mut Report) -> Self {
        Self {
            file: &document.file,
            section,
            report,
            known_keys: Vec::new(),
        }
    }

    /// Reads a required text; a missing one is reported and yields an empty text.
    pub fn required_text(&mut self, key: &'static str) -> Arc<str> {
        match self.raw(key) {
            Some(value) => value,
            None => {
                self.report_missing(key);
                Arc::from("")
            }
        }
    }

    /// Reads an optional text; an absent or empty one yields `None`.
    pub fn optional_text(&mut self, key: &'static str) -> Option<Arc<str>> {
        self.raw(key)
    }

    /// Reads a list of items separated by white space; empty if the key is absent.
    pub fn words(&mut self, key: &'static str) -> Vec<Arc<str>> {
        let text = self.raw(key).unwrap_or_else(|| Arc::from(""));
        text.split_whitespace().map(Arc::from).collect()
    }

    /// Reads a required value; a missing or invalid one is reported and yields `None`.
    pub fn required<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.raw(key) {
            Some(value) => self.parse(key, &value),
            None => {
                self.report_missing(key);
                None
            }
        }
    }

    /// Reads an optional value; an absent or invalid one yields `None`.
    pub fn optional<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.raw(key)?;
        self.parse(key, &value)
    }

    /// Reads a value, or returns the default if it is absent or invalid.
    pub fn value<T>(&mut self, key: &'static str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Reads an integer within a range, or returns the default if it is absent or invalid.
    pub fn bounded<T>(&mut self, key: &'static str, default: T, range: RangeInclusive<T>) -> T
    where
        T: FromStr<Err = ParseIntError> + PartialOrd + Display,
    {
        let Some(value) = self.raw(key) else {
            return default;
        };
        self.parse_in_range(key, &value, &range).unwrap_or(default)
    }

    /// Reads a required integer within a range; a missing or invalid one is reported and yields
    /// `None`.
    pub fn required_bounded<T>(&mut self, key: &'static str, range: RangeInclusive<T>) -> Option<T>
    where
        T: FromStr<Err = ParseIntError> + PartialOrd + Display,
    {
        match self.raw(key) {
            Some(value) => self.parse_in_range(key, &value, &range),
            None => {
                self.report_missing(key);
                None
            }
        }
    }

    /// Reads a duration as an integer of milliseconds, without an upper bound.
    pub fn millis(&mut self, key: &'static str, default: Duration) -> Duration {
        self.bounded_millis(key, default, 0..=u64::MAX)
    }

    /// Reads a duration as an integer of milliseconds within a range.
    pub fn bounded_millis(
        &mut self,
        key: &'static str,
        default: Duration,
        range: RangeInclusive<u64>,
    ) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.bounded(key, default, range))
    }

    /// Reads one of a fixed list of keywords, or returns the default if it is absent or invalid.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)], default: T) -> T {
        let Some(value) = self.raw(key) else {
            return default;
        };
        if let Some((_, choice)) = choices.iter().find(|(keyword, _)| *keyword == &*value) {
            return *choice;
        }
        let keywords: Vec<&str> = choices.iter().map(|(keyword, _)| *keyword).collect();
        let message = format!("'{value}' is not one of {}", keywords.join(", "));
        self.add_finding(key, "choice", message);
        default
    }

    /// Reads `yes` as `true` and `no` as `false`.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        self.choice(key, &FLAGS, default)
    }

    /// Whether the section has a key.
    pub fn has(&self, key: &str) -> bool {
        self.section.entry(key).is_some()
    }

    /// Adds a finding at a key of this section, or at the section if the key is absent.
    pub fn add_finding(&mut self, key: &str, rule: &'static str, message: String) {
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

    /// Reports the keys that were never requested as unknown.
    pub fn finish(self) {
        for entry in &self.section.entries {
            if self.known_keys.contains(&&*entry.key) {
                continue;
            }
            self.report.push(Finding {
                file: self.file.clone(),
                line: entry.line,
                section: self.section.name.clone(),
                key: entry.key.clone(),
                rule: "unknown-key",
                message: format!("unknown key; known keys: {}", self.known_keys.join(", ")),
            });
        }
    }

    /// Reads a value as text; `None` if the key is absent, or its value empty, which is reported.
    fn raw(&mut self, key: &'static str) -> Option<Arc<str>> {
        self.known_keys.push(key);
        let value = self.section.entry(key)?.value.clone();
        if value.is_empty() {
            let message = "no value; remove the key to use the default".to_owned();
            self.add_finding(key, "empty-value", message);
            return None;
        }
        Some(value)
    }

    /// Reports a missing key; for an empty value, [`Self::raw`] has added a finding already.
    fn report_missing(&mut self, key: &'static str) {
        if self.has(key) {
            return;
        }
        self.add_finding(key, "missing-key", "required key is missing".to_owned());
    }

    fn parse<T>(&mut self, key: &'static str, value: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.add_finding(key, "value", format!("'{value}' is invalid: {error}"));
                None
            }
        }
    }

    fn parse_in_range<T>(
        &mut self,
        key: &'static str,
        value: &str,
        range: &RangeInclusive<T>,
    ) -> Option<T>
    where
        T: FromStr<Err = ParseIntError> + PartialOrd + Display,
    {
        let (start, end) = (range.start(), range.end());
        match value.parse::<T>() {
            Ok(number) if range.contains(&number) => return Some(number),
            Err(error) if !is_overflow(&error) => {
                let message = format!("'{value}' is not a whole number from {start} to {end}");
                self.add_finding(key, "value", message);
            }
            _ => self.add_finding(key, "range", format!("{value} is not {start} to {end}")),
        }
        None
    }
}

fn is_overflow(error: &ParseIntError) -> bool {
    matches!(
        error.kind(),
        IntErrorKind::PosOverflow | IntErrorKind::NegOverflow
    )
}

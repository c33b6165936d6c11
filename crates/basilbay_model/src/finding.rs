//! Problems in an input, each with its place.
//!
//! Checkers never stop at the first problem: they push findings into a [`Report`] and the caller
//! decides what to do with all of them.

use std::fmt;
use std::sync::Arc;

/// A problem in a file and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Name of the file, as the reader knows it.
    pub file: Arc<str>,
    /// Line, counted from 1; 0 when the whole file is meant.
    pub line: usize,
    /// Section of the file, empty before the first one.
    pub section: Arc<str>,
    /// Key in the section, empty when the section itself is meant.
    pub key: Arc<str>,
    /// Id of the rule that was broken, as listed in the reference page.
    pub rule: &'static str,
    /// What is wrong and what would be right.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(out, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(out, "{}: ", self.key)?;
        }
        write!(out, "{} ({})", self.message, self.rule)
    }
}

/// Findings of one check, in the order of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The findings.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Whether nothing was found.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.findings.push(finding);
    }

    /// Sorts the findings by file and line.
    pub fn sort(&mut self) {
        self.findings.sort();
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(out, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Report {}

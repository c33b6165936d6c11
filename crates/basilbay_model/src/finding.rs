//! Problems in an input file, each with its position.
//!
//! Checkers do not stop at the first problem: they add findings to a [`Report`], and the caller
//! decides how to handle them.

use std::fmt;
use std::sync::Arc;

/// A problem in a file, with its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Name of the file, as passed to the parser.
    pub file: Arc<str>,
    /// Line, counted from 1; 0 for a finding about the file as such.
    pub line: usize,
    /// Section of the file; empty before the first one.
    pub section: Arc<str>,
    /// Key in the section; empty for a finding about the section itself.
    pub key: Arc<str>,
    /// Id of the violated rule, as listed in the configuration reference.
    pub rule: &'static str,
    /// What is wrong, and the expected form.
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

/// Findings of one check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Findings in the order in which they were added, until [`Self::sort`].
    pub findings: Vec<Finding>,
}

impl Report {
    /// Whether there are no findings.
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

//! `basilbay check`: validates configuration files and reports every finding of each file.

use std::path::Path;
use std::sync::Arc;

use basilbay_model::config::Config;

use crate::output::{Code, Output};

/// A configuration file, or the error from reading it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Path of the file, as on the command line.
    pub name: Arc<str>,
    /// Content of the file, or the message of the read error.
    pub bytes: std::result::Result<Vec<u8>, String>,
}

impl Source {
    /// Reads a file; an error is stored in `bytes` and reported by [`Source::parse`].
    pub fn read(path: &Path) -> Self {
        Self {
            name: Arc::from(path.display().to_string()),
            bytes: std::fs::read(path).map_err(|error| error.to_string()),
        }
    }

    /// Parses the file. Writes findings or the read error to the output, sets its code and returns
    /// `None` if there are any.
    pub fn parse(&self, output: &mut Output) -> Option<Config> {
        let bytes = match &self.bytes {
            Ok(bytes) => bytes,
            Err(error) => {
                output.push_error(&format!("basilbay: cannot read {}: {error}", self.name));
                output.code = Code::InvalidInput;
                return None;
            }
        };
        match Config::parse_bytes(&self.name, bytes) {
            Ok(config) => Some(config),
            Err(report) => {
                for finding in &report.findings {
                    output.push_line(&finding.to_string());
                }
                let count = report.findings.len();
                output.push_line(&format!("{}: {}", self.name, pluralize(count, "finding")));
                if output.code == Code::Success {
                    output.code = Code::Failure;
                }
                None
            }
        }
    }
}

/// Checks files and prints a summary of each valid one.
pub fn output(sources: &[Source]) -> Output {
    let mut output = Output::default();
    for source in sources {
        if let Some(config) = source.parse(&mut output) {
            output.push_line(&format!(
                "{}: no findings; {}",
                source.name,
                summary(&config)
            ));
        }
    }
    output
}

fn summary(config: &Config) -> String {
    let kinds = config
        .services
        .iter()
        .map(|service| service.kinds.len())
        .sum();
    format!(
        "version {}, {}, {}, {}",
        config.version,
        pluralize(config.domains.len(), "failure domain"),
        pluralize(config.services.len(), "service"),
        pluralize(kinds, "kind")
    )
}

/// Formats a count with a noun, which gets a plural `s` unless the count is 1.
pub(crate) fn pluralize(count: usize, noun: &str) -> String {
    let plural = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{plural}")
}

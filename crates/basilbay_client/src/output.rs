//! What a verb prints and with which code the program ends.

use std::fmt::Write as _;
use std::io::Write as _;
use std::process::ExitCode;

/// Verdict of a verb, and thereby the exit code.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Code {
    /// Done, and the answer is good.
    #[default]
    Success = 0,
    /// Done, and the answer is bad: findings, daemons that lag, no target.
    Failure = 1,
    /// The command line or a file cannot be read.
    InvalidInput = 2,
    /// The daemon that was named cannot be asked.
    Unreachable = 3,
}

/// Result of a verb.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Verdict.
    pub code: Code,
}

impl Output {
    /// Adds a line for standard output.
    pub fn push_line(&mut self, line: &str) {
        let _ = writeln!(self.stdout, "{line}");
    }

    /// Adds a line for standard error.
    pub fn push_error(&mut self, line: &str) {
        let _ = writeln!(self.stderr, "{line}");
    }

    /// Prints both texts; a reader that went away, as in `basilbay events | head`, is no failure.
    pub fn print(&self) -> ExitCode {
        let _ = std::io::stdout().write_all(self.stdout.as_bytes());
        let _ = std::io::stderr().write_all(self.stderr.as_bytes());
        ExitCode::from(self.code as u8)
    }
}

//! Output of a subcommand: standard output, standard error and exit code.

use std::fmt::Write as _;
use std::io::Write as _;
use std::process::ExitCode;

/// Exit code of a subcommand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Code {
    /// The subcommand completed with a positive result.
    #[default]
    Success = 0,
    /// The subcommand completed with a negative result: findings, lagging daemons, no target or no
    /// such event.
    Failure = 1,
    /// The command line is invalid, or a file cannot be read.
    InvalidInput = 2,
    /// The daemon given by `--daemon` cannot be queried.
    Unreachable = 3,
}

/// Buffered output of a subcommand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Exit code of the process.
    pub code: Code,
}

impl Output {
    /// Appends a line to standard output.
    pub fn push_line(&mut self, line: &str) {
        let _ = writeln!(self.stdout, "{line}");
    }

    /// Appends a line to standard error.
    pub fn push_error(&mut self, line: &str) {
        let _ = writeln!(self.stderr, "{line}");
    }

    /// Writes both streams and returns the exit code. Write errors are ignored, because a reader
    /// may close the pipe early, as in `basilbay events | head`.
    pub fn print(&self) -> ExitCode {
        let _ = std::io::stdout().write_all(self.stdout.as_bytes());
        let _ = std::io::stderr().write_all(self.stderr.as_bytes());
        ExitCode::from(self.code as u8)
    }
}

//! A child process: start, output, signals and termination.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context;
use rustix::process::{Pid, Signal, kill_process};

/// Time between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    is_paused: bool,
}

impl Process {
    /// Starts a program with stdout piped and stderr appended to a log file.
    pub fn start(program: &Path, arguments: &[&str], log: &Path) -> anyhow::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        Ok(Self {
            child,
            is_paused: false,
        })
    }

    /// Starts a program with stdout and stderr appended to a log file.
    pub fn start_logged(program: &Path, arguments: &[&str], log: &Path) -> anyhow::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        Ok(Self {
            child,
            is_paused: false,
        })
    }

    /// Reads the first `count` lines of stdout; works only once, and only if stdout is piped.
    pub fn lines(&mut self, count: usize) -> anyhow::Result<Vec<String>> {
        let stdout = self
            .child
            .stdout
            .take()
            .context("stdout is not piped or was read before")?;
        let lines = BufReader::new(stdout).lines().take(count);
        let lines: Vec<String> = lines.collect::<std::io::Result<_>>()?;
        anyhow::ensure!(
            lines.len() == count,
            "process ended after {} of {count} lines of output",
            lines.len()
        );
        Ok(lines)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process (SIGKILL) and waits for it.
    pub fn kill(&mut self) {
        // Errors are ignored: the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Asks the process to stop and waits; returns false if it had to be killed.
    pub fn stop(&mut self, timeout: Duration) -> bool {
        self.resume();
        self.terminate();
        self.wait_or_kill(timeout)
    }

    /// Waits for the process to end and kills it after the timeout; returns false if it was killed.
    pub fn wait_or_kill(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.is_running() {
            if Instant::now() >= deadline {
                self.kill();
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&mut self) {
        self.is_paused = true;
        self.signal(Signal::STOP);
    }

    /// Resumes the process (SIGCONT) if it is paused.
    pub fn resume(&mut self) {
        if self.is_paused {
            self.is_paused = false;
            self.signal(Signal::CONT);
        }
    }

    fn signal(&mut self, signal: Signal) {
        // The id of a running child cannot be reused: the kernel keeps it until the child is waited
        // for.
        if self.is_running() {
            let _ = kill_process(Pid::from_child(&self.child), signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds a program in the folder of the current executable, or in the parent folder for test
/// binaries.
pub fn find_program(name: &str) -> anyhow::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let folders = executable.ancestors().skip(1).take(2);
    for folder in folders {
        let path = folder.join(name);
        if path.is_file() {
            return Ok(path);
        }
    }
    anyhow::bail!(
        "{name} not found next to {}; build the workspace",
        executable.display()
    )
}

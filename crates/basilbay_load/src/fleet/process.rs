//! One child process: signals, output and its end.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context;
use rustix::process::{Pid, Signal, kill_process};

/// Time between two looks at a process that shall end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    is_paused: bool,
}

impl Process {
    /// Starts a program; its log lines are appended to a file.
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

    /// Starts a program whose output nobody reads.
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

    /// Reads the first lines of the output.
    pub fn lines(&mut self, count: usize) -> anyhow::Result<Vec<String>> {
        let stdout = self.child.stdout.take().context("output is read already")?;
        let lines = BufReader::new(stdout).lines().take(count);
        let lines: Vec<String> = lines.collect::<std::io::Result<_>>()?;
        anyhow::ensure!(lines.len() == count, "the process ended at its start");
        Ok(lines)
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills it (SIGKILL).
    pub fn kill(&mut self) {
        // A process that has ended already needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop (SIGTERM).
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Asks it to stop and waits; false when it had to be killed.
    pub fn stop(&mut self, timeout: Duration) -> bool {
        self.resume();
        self.terminate();
        self.wait_or_kill(timeout)
    }

    /// Waits until it has ended, and kills it after the given time; false when it was killed.
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

    /// Pauses it (SIGSTOP).
    pub fn pause(&mut self) {
        self.is_paused = true;
        self.signal(Signal::STOP);
    }

    /// Resumes it (SIGCONT).
    pub fn resume(&mut self) {
        if self.is_paused {
            self.is_paused = false;
            self.signal(Signal::CONT);
        }
    }

    fn signal(&mut self, signal: Signal) {
        // The id may be reused only after the child was waited for.
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

/// Finds a program beside the current executable, or one folder above it, as for test binaries.
pub fn find_program(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    for folder in folders {
        let path = folder.join(name);
        if path.is_file() {
            return Ok(path);
        }
    }
    anyhow::bail!(
        "{name} is not beside {}; build the workspace",
        own.display()
    )
}

//! The record of a case: one line an event, with the seconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Self> {
        let file = File::create(format!("{folder}/record.txt"))?;
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        })
    }

    /// Writes an event.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3} {text}");
        let _ = file.flush();
        if !text.starts_with("  ") {
            println!("{seconds:9.3} {text}");
        }
    }

    /// Writes a request or a run; it is not printed.
    pub fn detail(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3}   {text}");
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

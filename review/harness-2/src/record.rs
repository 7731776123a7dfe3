//! The record of a case: what was sent, answered and run, with times since its start.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    began: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = Mutex::new(std::fs::File::create(path).expect("the record can be written"));
        Record(Arc::new(Inner { began: Instant::now(), file }))
    }

    /// Returns the seconds since the start.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.0.began).as_secs_f64()
    }

    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.now(), text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.now(), text.as_ref());
        self.line(text);
    }
}

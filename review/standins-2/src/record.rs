//! What was sent, answered and run, as lines of `record.txt`.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of one run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file that the first argument names.
    pub fn create() -> Self {
        let path = std::env::args().nth(1);
        let path = path.unwrap_or_else(|| crate::fail("no record file named"));
        let file = File::create(&path);
        let file = file.unwrap_or_else(|e| crate::fail(&format!("cannot write {path}: {e}")));
        Self {
            began: Instant::now(),
            out: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Seconds since the start.
    pub fn at(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{:9.3} {}", self.at(), text.as_ref());
        let _ = out.flush();
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.at(), text.as_ref());
        self.line(text);
    }
}

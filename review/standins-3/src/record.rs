//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Writes lines with the time since the start.
#[derive(Clone)]
pub(crate) struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins a record in `folder`.
    pub(crate) fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Adds a line.
    pub(crate) fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.began.elapsed().as_secs_f64();
        // A record that can't be written has no other place to say so.
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }

    /// Adds a line, and prints it.
    pub(crate) fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

//! The record of a run: what was sent, answered and run, with times since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can't be written");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let text = format!("{:9.4}  {}\n", self.now(), line.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(text.as_bytes());
        if std::env::var_os("SHOW").is_some() {
            print!("{text}");
        }
    }
}

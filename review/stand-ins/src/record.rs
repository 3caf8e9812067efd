//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// File with one line for each event, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("the record can be created")),
            started_at: Instant::now(),
        }
    }

    pub fn elapsed_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.elapsed_s());
        let mut file = self.file.lock().expect("no writer panics");
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }
}

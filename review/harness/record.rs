//! What a case sent, saw answered and saw run, in `record.txt`.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

use crate::fleet;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn new() -> Self {
        let path = fleet::case_dir().join("record.txt");
        Self {
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
            began: Instant::now(),
        }
    }

    pub fn note(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().expect("no panic while it is held");
        writeln!(file, "{:>3}.{:03} s  {text}", ms / 1000, ms % 1000).expect("record.txt grows");
    }
}

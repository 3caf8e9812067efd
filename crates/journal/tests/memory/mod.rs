//! Files in memory that lose what was not synced and fail when told to.

use std::io;
use std::sync::{Arc, Mutex};

use journal::{Journal, JournalSettings, OpenedJournal, Record, Storage};

#[derive(Debug, Clone)]
struct MemoryFile {
    bytes: Vec<u8>,
    name: String,
    synced_bytes: usize,
}

#[derive(Debug, Default)]
struct Files {
    drawn: u128,
    failing_sync: bool,
    entries: Vec<MemoryFile>,
    room_bytes: Option<usize>,
}

/// Shared, so that a journal can be opened again on the same files.
#[derive(Debug, Clone, Default)]
pub struct MemoryStorage(Arc<Mutex<Files>>);

impl MemoryStorage {
    pub fn open(&self) -> Result<OpenedJournal, journal::Error> {
        self.open_as("a")
    }

    pub fn open_as(&self, instance: &str) -> Result<OpenedJournal, journal::Error> {
        let settings = JournalSettings {
            segment_bytes_max: 400,
            ..JournalSettings::new(instance)
        };
        Journal::open_with_storage(Box::new(self.clone()), settings)
    }

    /// Keeps of the unsynced bytes of each file only the first few.
    pub fn crash(&self, kept_bytes: usize) {
        for file in &mut self.0.lock().unwrap().entries {
            let kept = file.bytes.len().min(file.synced_bytes + kept_bytes);
            file.bytes.truncate(kept);
            file.synced_bytes = kept;
        }
    }

    pub fn fail_syncs(&self) {
        self.0.lock().unwrap().failing_sync = true;
    }

    pub fn fill_disk(&self, room_bytes: usize) {
        self.0.lock().unwrap().room_bytes = Some(room_bytes);
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let files = self.0.lock().unwrap();
        let file = files.entries.iter().find(|file| file.name == name);
        file.unwrap().bytes.clone()
    }

    pub fn set(&self, name: &str, bytes: Vec<u8>) {
        let mut files = self.0.lock().unwrap();
        let file = files.file(name);
        file.synced_bytes = bytes.len();
        file.bytes = bytes;
    }

    pub fn delete(&self, name: &str) {
        let mut files = self.0.lock().unwrap();
        files.entries.retain(|file| file.name != name);
    }

    pub fn names(&self) -> Vec<String> {
        let mut names = self.list().unwrap();
        names.sort();
        names
    }
}

impl Files {
    fn file(&mut self, name: &str) -> &mut MemoryFile {
        let found = self.entries.iter().position(|file| file.name == name);
        let at = found.unwrap_or_else(|| {
            self.entries.push(MemoryFile {
                bytes: Vec::new(),
                name: name.to_owned(),
                synced_bytes: 0,
            });
            self.entries.len() - 1
        });
        &mut self.entries[at]
    }
}

impl Storage for MemoryStorage {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut files = self.0.lock().unwrap();
        let room_bytes = files.room_bytes.unwrap_or(usize::MAX);
        let written = bytes.len().min(room_bytes);
        files.file(file).bytes.extend_from_slice(&bytes[..written]);
        files.room_bytes = files.room_bytes.map(|room| room - written);
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&mut self, file: &str, length_bytes: u64) -> io::Result<()> {
        let mut files = self.0.lock().unwrap();
        let file = files.file(file);
        file.bytes.truncate(usize::try_from(length_bytes).unwrap());
        file.synced_bytes = file.bytes.len();
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let files = self.0.lock().unwrap();
        Ok(files.entries.iter().map(|file| file.name.clone()).collect())
    }

    fn random_id(&mut self) -> io::Result<u128> {
        let mut files = self.0.lock().unwrap();
        files.drawn += 1;
        Ok(files.drawn)
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        let files = self.0.lock().unwrap();
        let found = files.entries.iter().find(|known| known.name == file);
        let found = found.ok_or(io::ErrorKind::NotFound)?;
        Ok(found.bytes.clone())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.delete(file);
        Ok(())
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.set(file, bytes.to_vec());
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut files = self.0.lock().unwrap();
        if files.failing_sync {
            return Err(io::Error::other("the device failed"));
        }
        let file = files.file(file);
        file.synced_bytes = file.bytes.len();
        Ok(())
    }
}

pub fn entry(index: u64, term: u64) -> Record {
    Record::Entry(journal::EntryRecord {
        group: 1,
        index,
        payload: vec![u8::try_from(index % 251).unwrap(); 20],
        term,
    })
}

//! In-memory storage with simulated crashes, failing syncs and a full disk.

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
struct StorageState {
    fails_syncs: bool,
    files: Vec<MemoryFile>,
    free_bytes: Option<usize>,
    generated_ids: u128,
}

/// In-memory [`Storage`]; clones share their files, so that a journal can be opened again.
#[derive(Debug, Clone, Default)]
pub struct MemoryStorage(Arc<Mutex<StorageState>>);

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

    /// Simulates a crash: each file keeps only the first few of its unsynced bytes.
    pub fn crash(&self, unsynced_kept_bytes: usize) {
        for file in &mut self.0.lock().unwrap().files {
            let kept_bytes = file
                .bytes
                .len()
                .min(file.synced_bytes + unsynced_kept_bytes);
            file.bytes.truncate(kept_bytes);
            file.synced_bytes = kept_bytes;
        }
    }

    pub fn fail_syncs(&self) {
        self.0.lock().unwrap().fails_syncs = true;
    }

    pub fn limit_free_space(&self, free_bytes: usize) {
        self.0.lock().unwrap().free_bytes = Some(free_bytes);
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let state = self.0.lock().unwrap();
        let file = state.files.iter().find(|file| file.name == name);
        file.unwrap().bytes.clone()
    }

    pub fn set_bytes(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.0.lock().unwrap();
        let file = state.file(name);
        file.synced_bytes = bytes.len();
        file.bytes = bytes;
    }

    pub fn delete(&self, name: &str) {
        let mut state = self.0.lock().unwrap();
        state.files.retain(|file| file.name != name);
    }

    pub fn sorted_names(&self) -> Vec<String> {
        let mut names = self.list().unwrap();
        names.sort();
        names
    }
}

impl StorageState {
    fn file(&mut self, name: &str) -> &mut MemoryFile {
        let search_result = self.files.iter().position(|file| file.name == name);
        let position = search_result.unwrap_or_else(|| {
            self.files.push(MemoryFile {
                bytes: Vec::new(),
                name: name.to_owned(),
                synced_bytes: 0,
            });
            self.files.len() - 1
        });
        &mut self.files[position]
    }
}

impl Storage for MemoryStorage {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        let free_bytes = state.free_bytes.unwrap_or(usize::MAX);
        let written_bytes = bytes.len().min(free_bytes);
        state
            .file(file)
            .bytes
            .extend_from_slice(&bytes[..written_bytes]);
        state.free_bytes = state.free_bytes.map(|free| free - written_bytes);
        if written_bytes < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let state = self.0.lock().unwrap();
        Ok(state.files.iter().map(|file| file.name.clone()).collect())
    }

    fn random_id(&mut self) -> io::Result<u128> {
        let mut state = self.0.lock().unwrap();
        state.generated_ids += 1;
        Ok(state.generated_ids)
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        let state = self.0.lock().unwrap();
        let found = state.files.iter().find(|known| known.name == file);
        let found = found.ok_or(io::ErrorKind::NotFound)?;
        Ok(found.bytes.clone())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.delete(file);
        Ok(())
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.set_bytes(file, bytes.to_vec());
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.fails_syncs {
            return Err(io::Error::other("the device failed"));
        }
        let file = state.file(file);
        file.synced_bytes = file.bytes.len();
        Ok(())
    }

    fn truncate(&mut self, file: &str, length_bytes: u64) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        let file = state.file(file);
        file.bytes.truncate(usize::try_from(length_bytes).unwrap());
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

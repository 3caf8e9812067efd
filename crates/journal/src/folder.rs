use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use crate::{Error, Storage};

const LOCK_FILE: &str = "lock";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Open file that records are appended to.
#[derive(Debug)]
struct ActiveFile {
    file: File,
    /// Whether the folder's entry of the file is not yet synced.
    is_new: bool,
    name: String,
}

/// Storage in a folder of the file system, locked against other processes.
#[derive(Debug)]
pub struct FolderStorage {
    active_file: Option<ActiveFile>,
    folder: PathBuf,
    _lock: File,
}

impl FolderStorage {
    /// Opens a folder and locks it until dropped; creates the folder if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if another process has locked the folder, or with a file system error.
    pub fn open(folder: &Path) -> Result<Self, Error> {
        let folder_name = folder.display().to_string();
        fs::create_dir_all(folder)
            .map_err(|source| Error::io("create folder", &folder_name, source))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK_FILE))
            .map_err(|source| Error::io("open lock file in", &folder_name, source))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(Error::Locked {
                    folder: folder_name,
                });
            }
            Err(TryLockError::Error(source)) => {
                return Err(Error::io("lock", &folder_name, source));
            }
        }
        let storage = Self {
            active_file: None,
            folder: folder.to_owned(),
            _lock: lock,
        };
        storage
            .remove_temporary_files()
            .map_err(|source| Error::io("remove temporary files in", &folder_name, source))?;
        Ok(storage)
    }

    fn remove_temporary_files(&self) -> io::Result<()> {
        for entry in fs::read_dir(&self.folder)? {
            let path = entry?.path();
            if path.to_string_lossy().ends_with(TEMPORARY_SUFFIX) {
                fs::remove_file(path)?;
            }
        }
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    /// Opens a file for appending, unless it is the active one already.
    fn open_active(&mut self, name: &str) -> io::Result<&mut ActiveFile> {
        if self
            .active_file
            .as_ref()
            .is_none_or(|active| active.name != name)
        {
            let path = self.folder.join(name);
            let is_new = !path.exists();
            let file = OpenOptions::new().append(true).create(true).open(path)?;
            self.active_file = Some(ActiveFile {
                file,
                is_new,
                name: name.to_owned(),
            });
        }
        Ok(self.active_file.as_mut().expect("set above"))
    }
}

impl Storage for FolderStorage {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_active(file)?.file.write_all(bytes)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.retain(|name| name != LOCK_FILE);
        Ok(names)
    }

    fn random_id(&mut self) -> io::Result<u128> {
        let mut bytes = [0; 16];
        File::open("/dev/urandom")?.read_exact(&mut bytes)?;
        Ok(u128::from_le_bytes(bytes))
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(file))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.active_file.take_if(|active| active.name == file);
        fs::remove_file(self.folder.join(file))?;
        self.sync_folder()
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary_path = self.folder.join(format!("{file}{TEMPORARY_SUFFIX}"));
        let mut temporary_file = File::create(&temporary_path)?;
        temporary_file.write_all(bytes)?;
        temporary_file.sync_all()?;
        fs::rename(&temporary_path, self.folder.join(file))?;
        self.sync_folder()
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let active = self.open_active(file)?;
        active.file.sync_data()?;
        if std::mem::take(&mut active.is_new) {
            active.file.sync_all()?;
            self.sync_folder()?;
        }
        Ok(())
    }

    fn truncate(&mut self, file: &str, length_bytes: u64) -> io::Result<()> {
        let path = self.folder.join(file);
        let file = OpenOptions::new().write(true).open(path)?;
        file.set_len(length_bytes)?;
        file.sync_all()
    }
}

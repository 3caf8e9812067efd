use std::fmt::Debug;
use std::io;

/// Files of one data folder.
pub trait Storage: Debug + Send {
    /// Appends to a file, which is made if it does not exist; durable only after a sync.
    ///
    /// # Errors
    ///
    /// Gives the system's error; part of the bytes may have been written.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Shortens a file, durably.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    fn truncate(&mut self, file: &str, length_bytes: u64) -> io::Result<()>;

    /// Names of all files, in any order.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// A random number that no other folder has.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    fn random_id(&mut self) -> io::Result<u128>;

    /// Content of a file.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    fn read(&self, file: &str) -> io::Result<Vec<u8>>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// Replaces a file as a whole, durably: afterwards it holds either the old or the new bytes.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file durable, and its name too.
    ///
    /// # Errors
    ///
    /// Gives the system's error; what the disk holds is unknown then.
    fn sync(&mut self, file: &str) -> io::Result<()>;
}

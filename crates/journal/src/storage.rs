use std::fmt::Debug;
use std::io;

/// Access to the files of one data folder; tests implement it with injected faults.
pub trait Storage: Debug + Send {
    /// Appends to a file, or creates it; the bytes are durable only after [`Storage::sync`].
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; some of the bytes may have been written.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Names of all files, in any order.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Generates a random id for a new data folder.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn random_id(&mut self) -> io::Result<u128>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn read(&self, file: &str) -> io::Result<Vec<u8>>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// Replaces a whole file durably; after a crash it holds either the old or the new bytes.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content of a file and its folder entry durable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; the content on disk is then unknown.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Truncates a file to a length, durably.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn truncate(&mut self, file: &str, length_bytes: u64) -> io::Result<()>;
}

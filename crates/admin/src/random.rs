use std::fmt::Write;
use std::io;

use tokio::fs::File;
use tokio::io::AsyncReadExt;

const RANDOM_DEVICE: &str = "/dev/urandom";

/// Reads `BYTES` random bytes from the operating system, as hexadecimal digits.
pub(crate) async fn random_hex<const BYTES: usize>() -> io::Result<String> {
    let mut bytes = [0; BYTES];
    File::open(RANDOM_DEVICE)
        .await?
        .read_exact(&mut bytes)
        .await?;
    let mut text = String::with_capacity(2 * BYTES);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
    }
    Ok(text)
}

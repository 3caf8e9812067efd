use std::fmt::Write;
use std::io;

use tokio::fs::File;
use tokio::io::AsyncReadExt;

const SOURCE: &str = "/dev/urandom";

/// `BYTES` random bytes of the system as hexadecimal digits.
pub(crate) async fn random_hex<const BYTES: usize>() -> io::Result<String> {
    let mut bytes = [0; BYTES];
    File::open(SOURCE).await?.read_exact(&mut bytes).await?;
    let mut text = String::with_capacity(2 * BYTES);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("strings take any text");
    }
    Ok(text)
}

/// Decodes a percent-encoded path segment.
///
/// Returns `None` if an escape is malformed or the result is not UTF-8.
#[must_use]
pub fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = text.bytes();
    let mut decoded = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let (high, low) = (hex_digit(bytes.next()?)?, hex_digit(bytes.next()?)?);
        decoded.push(high * 16 + low);
    }
    String::from_utf8(decoded).ok()
}

fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}

//! Percent-encoding of path segments and query values.

const HEX: &[u8; 16] = b"0123456789ABCDEF";

/// Decodes a segment; none where an escape is broken or the result is not UTF-8.
pub(crate) fn decode(text: &str) -> Option<String> {
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

/// Encodes everything but unreserved characters.
pub(crate) fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~') {
            encoded.push(char::from(byte));
            continue;
        }
        encoded.push('%');
        encoded.push(char::from(HEX[usize::from(byte >> 4)]));
        encoded.push(char::from(HEX[usize::from(byte & 15)]));
    }
    encoded
}

fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}

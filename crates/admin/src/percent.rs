//! Percent-encoding of path segments and query values; `names::percent_decode` decodes them.

const HEX: &[u8; 16] = b"0123456789ABCDEF";

/// Encodes all bytes except unreserved characters.
pub(crate) fn percent_encode(text: &str) -> String {
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

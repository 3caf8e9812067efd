use crc32fast::Hasher;

/// Format version that this program writes and reads.
pub const FORMAT_VERSION: u8 = 1;

/// Length of a frame's header: magic number, length, checksum and version.
pub const FRAME_HEADER_BYTES: usize = 13;

/// Largest payload of a frame.
pub(crate) const FRAME_PAYLOAD_BYTES_MAX: usize = 64 * 1024 * 1024;

const MAGIC: [u8; 4] = *b"gcJ\xf7";

/// Where a frame stands; part of its checksum.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    pub(crate) offset_bytes: u64,
    pub(crate) stream: u64,
}

/// What stands at a place of a file.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Decoded<'a> {
    /// A whole frame with a valid checksum.
    Frame { payload: &'a [u8], version: u8 },
    /// Anything else.
    Invalid(&'static str),
}

/// Bytes of a frame.
pub(crate) fn encode(place: Place, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("payloads are bounded");
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(place, FORMAT_VERSION, payload).to_le_bytes());
    bytes.push(FORMAT_VERSION);
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads the frame at the start of `bytes`.
pub(crate) fn decode(place: Place, bytes: &[u8]) -> Decoded<'_> {
    let Some((header, rest)) = bytes.split_first_chunk::<FRAME_HEADER_BYTES>() else {
        return Decoded::Invalid("the frame's header is cut off");
    };
    if header[..4] != MAGIC {
        return Decoded::Invalid("no frame begins here");
    }
    let length = number(&header[4..8]) as usize;
    if length > FRAME_PAYLOAD_BYTES_MAX {
        return Decoded::Invalid("the frame's length is impossible");
    }
    let Some(payload) = rest.get(..length) else {
        return Decoded::Invalid("the frame is cut off");
    };
    let version = header[12];
    if number(&header[8..12]) != checksum(place, version, payload) {
        return Decoded::Invalid("the checksum does not match");
    }
    Decoded::Frame { payload, version }
}

/// Whether a valid frame begins anywhere in `bytes` after the first byte.
pub(crate) fn follows(place: Place, bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|skipped| {
        let place = Place {
            offset_bytes: place.offset_bytes + skipped as u64,
            ..place
        };
        matches!(decode(place, &bytes[skipped..]), Decoded::Frame { .. })
    })
}

fn number(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("four bytes"))
}

fn checksum(place: Place, version: u8, payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&place.stream.to_le_bytes());
    hasher.update(&place.offset_bytes.to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(&[version]);
    hasher.update(payload);
    hasher.finalize()
}

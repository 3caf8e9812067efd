use crc32fast::Hasher;

/// Format version of the frames that this crate writes and reads.
pub const FORMAT_VERSION: u8 = 1;

/// Length of a frame header: magic number, payload length, checksum and format version.
pub const FRAME_HEADER_BYTES: usize = 13;

/// Largest payload of a frame.
pub(crate) const FRAME_PAYLOAD_BYTES_MAX: usize = 64 * 1024 * 1024;

const MAGIC: [u8; 4] = *b"gcJ\xf7";

/// Position of a frame, covered by its checksum so that a frame is valid only where it was written.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FramePosition {
    /// Number of a segment, or a number reserved for a snapshot or the identity file.
    pub(crate) file_number: u64,
    pub(crate) offset_bytes: u64,
}

/// Result of decoding a frame.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum DecodedFrame<'a> {
    /// A complete frame with a valid checksum.
    Frame { payload: &'a [u8], version: u8 },
    /// No valid frame, with the reason.
    Invalid(&'static str),
}

/// Encodes a payload as a frame for a position.
pub(crate) fn encode(position: FramePosition, payload: &[u8]) -> Vec<u8> {
    let length_bytes = u32::try_from(payload.len()).expect("payloads are bounded");
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length_bytes.to_le_bytes());
    bytes.extend_from_slice(&checksum(position, FORMAT_VERSION, payload).to_le_bytes());
    bytes.push(FORMAT_VERSION);
    bytes.extend_from_slice(payload);
    bytes
}

/// Decodes the frame at the start of `bytes`.
pub(crate) fn decode(position: FramePosition, bytes: &[u8]) -> DecodedFrame<'_> {
    let Some((header, rest)) = bytes.split_first_chunk::<FRAME_HEADER_BYTES>() else {
        return DecodedFrame::Invalid("the frame header is incomplete");
    };
    if header[..4] != MAGIC {
        return DecodedFrame::Invalid("there is no frame header");
    }
    let length_bytes = read_u32(&header[4..8]) as usize;
    if length_bytes > FRAME_PAYLOAD_BYTES_MAX {
        return DecodedFrame::Invalid("the frame length is above the maximum");
    }
    let Some(payload) = rest.get(..length_bytes) else {
        return DecodedFrame::Invalid("the frame is incomplete");
    };
    let version = header[12];
    if read_u32(&header[8..12]) != checksum(position, version, payload) {
        return DecodedFrame::Invalid("the checksum does not match");
    }
    DecodedFrame::Frame { payload, version }
}

/// Whether a valid frame starts in `bytes` after the first byte.
pub(crate) fn contains_later_frame(position: FramePosition, bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|skipped_bytes| {
        let position = FramePosition {
            offset_bytes: position.offset_bytes + skipped_bytes as u64,
            ..position
        };
        matches!(
            decode(position, &bytes[skipped_bytes..]),
            DecodedFrame::Frame { .. }
        )
    })
}

fn read_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("four bytes"))
}

fn checksum(position: FramePosition, version: u8, payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&position.file_number.to_le_bytes());
    hasher.update(&position.offset_bytes.to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(&[version]);
    hasher.update(payload);
    hasher.finalize()
}

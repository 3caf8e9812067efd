//! Estimates over prompts, made without a tokenizer.

/// Bytes of text that make one token, about.
const TOKEN_BYTES: usize = 4;

/// Bytes of text under one prefix hash.
const BLOCK_BYTES: usize = 256;

/// Most blocks that are hashed.
const BLOCKS_MAX: usize = 256;

/// Start of a 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Factor of a 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Estimated length of a prompt.
pub(crate) fn tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len() / TOKEN_BYTES + 1).unwrap_or(u32::MAX)
}

/// Hashes of the whole blocks of a prompt; each covers all text up to its end.
pub(crate) fn prefix_hashes(prompt: &str) -> Vec<u64> {
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(BLOCKS_MAX)
        .scan(FNV_OFFSET, |hash, block| {
            *hash = block.iter().fold(*hash, |hash, &byte| {
                (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
            });
            Some(*hash)
        })
        .collect()
}

//! Token count and prefix hashes of prompts, without a tokenizer.

/// Average text length of a token.
const BYTES_PER_TOKEN: usize = 4;

/// Text length per prefix hash.
const BLOCK_BYTES: usize = 256;

/// Most blocks that are hashed of one prompt.
const BLOCKS_MAX: usize = 256;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Estimated number of tokens of a prompt.
pub(crate) fn estimate_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

/// Hashes of the whole blocks of a prompt; each hash covers all text up to the end of its block.
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

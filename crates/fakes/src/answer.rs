//! Texts of generated tokens, and the check that an answer is whole and unmixed.
//!
//! Each token names its generation, its prompt and its index, so that a checker sees from the text
//! alone which generation wrote it, for which prompt, and whether tokens are missing or doubled.

use names::GenerationId;
use thiserror::Error;

/// What a text says about itself.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct CheckedAnswer {
    /// Tag of the generation that wrote it.
    pub generation_tag: u32,
    /// Number of tokens.
    pub tokens: u32,
}

/// The first token that is wrong.
#[derive(Debug, Clone, Copy, Eq, Error, PartialEq)]
#[error("token {position} is wrong: {defect:?}")]
pub struct TokenError {
    /// What is wrong.
    pub defect: TokenDefect,
    /// Where it stands, from 0.
    pub position: u32,
}

/// What can be wrong with a token.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum TokenDefect {
    /// Answers another prompt.
    ForeignPrompt,
    /// No engine wrote it.
    Malformed,
    /// From another generation than the tokens before.
    Mixed,
    /// Lost, doubled or reordered.
    OutOfOrder,
}

/// Checks that `text` is the start of one answer to `prompt`, without gaps.
///
/// # Errors
///
/// Names the first token that is wrong.
pub fn check_answer(text: &str, prompt: &str) -> Result<CheckedAnswer, TokenError> {
    let prompt_tag = prompt_tag(prompt);
    let mut generation_tag = None;
    let mut tokens = 0;
    for word in text.split_ascii_whitespace() {
        let fault = |defect| {
            Err(TokenError {
                defect,
                position: tokens,
            })
        };
        let Some((generation, prompt, index)) = parse(word) else {
            return fault(TokenDefect::Malformed);
        };
        if prompt != prompt_tag {
            return fault(TokenDefect::ForeignPrompt);
        }
        if *generation_tag.get_or_insert(generation) != generation {
            return fault(TokenDefect::Mixed);
        }
        if index != tokens {
            return fault(TokenDefect::OutOfOrder);
        }
        tokens += 1;
    }
    Ok(CheckedAnswer {
        generation_tag: generation_tag.unwrap_or(0),
        tokens,
    })
}

/// Tag by which tokens name their generation.
#[must_use]
pub fn generation_tag(generation: GenerationId) -> u32 {
    short(hash_bytes(&generation.0.to_be_bytes()))
}

/// Hash of a prompt or of a part of one (64-bit FNV-1a).
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

pub(crate) fn prompt_tag(prompt: &str) -> u32 {
    short(hash_bytes(prompt.as_bytes()))
}

pub(crate) fn token_text(generation_tag: u32, prompt_tag: u32, index: u32) -> String {
    format!(" {generation_tag:08x}.{prompt_tag:08x}.{index}")
}

fn parse(word: &str) -> Option<(u32, u32, u32)> {
    let (generation, rest) = word.split_once('.')?;
    let (prompt, index) = rest.split_once('.')?;
    let tag = |text| u32::from_str_radix(text, 16).ok();
    Some((tag(generation)?, tag(prompt)?, index.parse().ok()?))
}

fn short(hash: u64) -> u32 {
    let [a, b, c, d, ..] = (hash ^ (hash >> 32)).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

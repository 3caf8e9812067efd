//! Writes and checks the text of generated tokens.
//!
//! Each token names its generation, its prompt and its index. From the text alone, a checker sees
//! which generation wrote a token, for which prompt, and whether tokens are lost or repeated.

use names::GenerationId;
use thiserror::Error;

/// Generation and length of a text that [`check_answer`] found correct.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct CheckedAnswer {
    /// Tag of the generation that wrote the text; 0 for an empty text.
    pub generation_tag: u32,
    /// Number of tokens.
    pub tokens: u32,
}

/// The first incorrect token of a text.
#[derive(Debug, Clone, Copy, Eq, Error, PartialEq)]
#[error("token {position} is wrong: {defect:?}")]
pub struct TokenError {
    /// What is wrong with the token.
    pub defect: TokenDefect,
    /// Position of the token in the text, from 0.
    pub position: u32,
}

/// What is wrong with a token.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum TokenDefect {
    /// It was written for another prompt.
    ForeignPrompt,
    /// It does not have the format of a token.
    Malformed,
    /// It is of another generation than the tokens before it.
    Mixed,
    /// Its index is not its position: a token is lost, repeated or reordered.
    OutOfOrder,
}

/// Checks that `text` is a gapless beginning of one generation's answer to `prompt`.
///
/// # Errors
///
/// Names the first incorrect token.
pub fn check_answer(text: &str, prompt: &str) -> Result<CheckedAnswer, TokenError> {
    let prompt_tag = prompt_tag(prompt);
    let mut generation_tag = None;
    let mut tokens = 0;
    for word in text.split_ascii_whitespace() {
        let error = |defect| {
            Err(TokenError {
                defect,
                position: tokens,
            })
        };
        let Some((generation, prompt, index)) = parse_token(word) else {
            return error(TokenDefect::Malformed);
        };
        if prompt != prompt_tag {
            return error(TokenDefect::ForeignPrompt);
        }
        if *generation_tag.get_or_insert(generation) != generation {
            return error(TokenDefect::Mixed);
        }
        if index != tokens {
            return error(TokenDefect::OutOfOrder);
        }
        tokens += 1;
    }
    Ok(CheckedAnswer {
        generation_tag: generation_tag.unwrap_or(0),
        tokens,
    })
}

/// Tag of a generation in the text of its tokens.
#[must_use]
pub fn generation_tag(generation: GenerationId) -> u32 {
    fold_to_u32(hash_bytes(&generation.0.to_be_bytes()))
}

/// Hash of a prompt or of a part of a prompt (64-bit FNV-1a).
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

pub(crate) fn prompt_tag(prompt: &str) -> u32 {
    fold_to_u32(hash_bytes(prompt.as_bytes()))
}

pub(crate) fn token_text(generation_tag: u32, prompt_tag: u32, index: u32) -> String {
    format!(" {generation_tag:08x}.{prompt_tag:08x}.{index}")
}

fn fold_to_u32(hash: u64) -> u32 {
    let [a, b, c, d, ..] = (hash ^ (hash >> 32)).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Generation tag, prompt tag and index of a token.
fn parse_token(word: &str) -> Option<(u32, u32, u32)> {
    let (generation, rest) = word.split_once('.')?;
    let (prompt, index) = rest.split_once('.')?;
    let tag = |text| u32::from_str_radix(text, 16).ok();
    Some((tag(generation)?, tag(prompt)?, index.parse().ok()?))
}

//! Texts of generated tokens, and the check that an answer is whole and unmixed.
//!
//! Each token names its generation, its prompt and its index, so that a checker sees from the text
//! alone which generation wrote it, for which prompt, and whether tokens are missing or doubled.

use names::GenerationId;
use thiserror::Error;

/// What a whole answer says about itself.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct Answer {
    /// Tag of the generation that wrote it.
    pub generation_tag: u32,
    /// Number of tokens.
    pub tokens: u32,
}

/// Why an answer is not whole.
#[derive(Debug, Clone, Eq, Error, PartialEq)]
pub enum AnswerFault {
    /// A token of another prompt.
    #[error("token {index} answers another prompt")]
    ForeignPrompt {
        /// Position in the text.
        index: u32,
    },
    /// A token that no engine wrote.
    #[error("`{text}` is no token")]
    Malformed {
        /// The text.
        text: String,
    },
    /// Tokens of two generations.
    #[error("token {index} is from another generation than the tokens before")]
    Mixed {
        /// Position in the text.
        index: u32,
    },
    /// A lost, doubled or reordered token.
    #[error("token {found} stands where token {expected} belongs")]
    OutOfOrder {
        /// Index that belongs there.
        expected: u32,
        /// Index that stands there.
        found: u32,
    },
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

/// Text of one token.
#[must_use]
pub fn token_text(generation_tag: u32, prompt: &str, index: u32) -> String {
    token_text_of(generation_tag, prompt_tag(prompt), index)
}

/// Checks that `text` is the start of one answer to `prompt`, without gaps.
///
/// # Errors
///
/// Names the first token that is wrong.
pub fn check(text: &str, prompt: &str) -> Result<Answer, AnswerFault> {
    let prompt = prompt_tag(prompt);
    let mut generation_tag = None;
    let mut tokens = 0;
    for word in text.split_ascii_whitespace() {
        let token = parse(word).ok_or_else(|| AnswerFault::Malformed {
            text: word.to_owned(),
        })?;
        if token.prompt != prompt {
            return Err(AnswerFault::ForeignPrompt { index: tokens });
        }
        if *generation_tag.get_or_insert(token.generation) != token.generation {
            return Err(AnswerFault::Mixed { index: tokens });
        }
        if token.index != tokens {
            return Err(AnswerFault::OutOfOrder {
                expected: tokens,
                found: token.index,
            });
        }
        tokens += 1;
    }
    Ok(Answer {
        generation_tag: generation_tag.unwrap_or(0),
        tokens,
    })
}

pub(crate) fn prompt_tag(prompt: &str) -> u32 {
    short(hash_bytes(prompt.as_bytes()))
}

pub(crate) fn token_text_of(generation_tag: u32, prompt_tag: u32, index: u32) -> String {
    format!(" {generation_tag:08x}.{prompt_tag:08x}.{index}")
}

struct Token {
    generation: u32,
    index: u32,
    prompt: u32,
}

fn parse(word: &str) -> Option<Token> {
    let mut parts = word.split('.');
    let generation = u32::from_str_radix(parts.next()?, 16).ok()?;
    let prompt = u32::from_str_radix(parts.next()?, 16).ok()?;
    let index = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some(Token {
        generation,
        index,
        prompt,
    })
}

fn short(hash: u64) -> u32 {
    let [a, b, c, d, ..] = (hash ^ (hash >> 32)).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

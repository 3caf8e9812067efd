use names::GenerationId;

/// Checks the tokens of one response before they are written to the client.
#[derive(Debug, Default)]
pub struct Delivery {
    generation: Option<GenerationId>,
    next_index: u32,
}

impl Delivery {
    /// Accepts the next tokens of the response.
    ///
    /// # Panics
    ///
    /// A token would reach the client twice, out of order or from a second generation.
    pub fn deliver(&mut self, tokens: TokenRange) {
        let generation = *self.generation.get_or_insert(tokens.generation);
        assert_eq!(
            generation, tokens.generation,
            "a response would mix tokens of two generations"
        );
        assert_eq!(
            self.next_index, tokens.first_index,
            "a token would be repeated, left out or out of order"
        );
        self.next_index += tokens.count;
    }

    /// Returns the number of accepted tokens.
    #[must_use]
    pub fn delivered_tokens(&self) -> u32 {
        self.next_index
    }
}

/// Range of consecutive tokens of one generation.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct TokenRange {
    /// Number of tokens.
    pub count: u32,
    /// Position of the first token, from 0.
    pub first_index: u32,
    /// Generation of the tokens.
    pub generation: GenerationId,
}

use names::GenerationId;

/// Guards the last point before the caller's socket.
#[derive(Debug, Default)]
pub struct Delivery {
    generation: Option<GenerationId>,
    next_index: u32,
}

impl Delivery {
    /// Lets a run of tokens pass.
    ///
    /// # Panics
    ///
    /// A token would reach the caller twice, out of order or from a second generation.
    pub fn deliver(&mut self, run: TokenRange) {
        let generation = *self.generation.get_or_insert(run.generation);
        assert_eq!(
            generation, run.generation,
            "an answer would mix tokens of two generations"
        );
        assert_eq!(
            self.next_index, run.first_index,
            "a token would be repeated, left out or out of order"
        );
        self.next_index += run.count;
    }

    /// Tokens that have passed.
    #[must_use]
    pub fn delivered_tokens(&self) -> u32 {
        self.next_index
    }
}

/// Consecutive tokens of one generation.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct TokenRange {
    /// How many.
    pub count: u32,
    /// Position of the first.
    pub first_index: u32,
    /// The generation.
    pub generation: GenerationId,
}

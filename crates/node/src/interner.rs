/// Assigns dense indices to distinct values; the index of a value never changes.
#[derive(Debug)]
pub(crate) struct Interner<T> {
    /// Values with their indices, sorted by value.
    indices: Vec<(T, u32)>,
}

impl<T: Clone + Ord> Interner<T> {
    pub(crate) fn new() -> Self {
        Self {
            indices: Vec::new(),
        }
    }

    /// Index of a value; a new value gets the next index, beginning at 0.
    pub(crate) fn index(&mut self, value: &T) -> u32 {
        match self.indices.binary_search_by(|(known, _)| known.cmp(value)) {
            Ok(position) => self.indices[position].1,
            Err(position) => {
                let index = u32::try_from(self.indices.len()).expect("fewer than 2^32 values");
                self.indices.insert(position, (value.clone(), index));
                index
            }
        }
    }
}

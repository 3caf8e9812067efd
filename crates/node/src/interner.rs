/// Gives each distinct value a number that it keeps.
#[derive(Debug)]
pub(crate) struct Interner<T> {
    sorted: Vec<(T, u32)>,
}

impl<T: Clone + Ord> Interner<T> {
    pub(crate) fn new() -> Self {
        Self { sorted: Vec::new() }
    }

    /// Number of a value; a new value gets the next number, from 0.
    pub(crate) fn index(&mut self, value: &T) -> u32 {
        match self.sorted.binary_search_by(|(known, _)| known.cmp(value)) {
            Ok(position) => self.sorted[position].1,
            Err(position) => {
                let index = u32::try_from(self.sorted.len()).expect("fewer than 2^32 values");
                self.sorted.insert(position, (value.clone(), index));
                index
            }
        }
    }
}

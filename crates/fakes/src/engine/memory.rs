use std::collections::BTreeMap;

/// Blocks that entered and left the prefix cache.
#[derive(Debug, Default)]
pub struct CacheUpdate {
    /// Hashes of blocks that entered.
    pub added: Vec<u64>,
    /// Hashes of blocks that left.
    pub evicted: Vec<u64>,
}

#[derive(Debug)]
struct Block {
    references: u32,
    released: u64,
}

/// Blocks of key-value memory: private ones, and shared ones found by hash.
#[derive(Debug)]
pub(crate) struct Memory {
    blocks: usize,
    news: CacheUpdate,
    private: usize,
    releases: u64,
    shared: BTreeMap<u64, Block>,
    unreferenced: BTreeMap<u64, u64>,
}

impl Memory {
    pub(crate) fn new(blocks: usize) -> Self {
        Self {
            blocks,
            news: CacheUpdate::default(),
            private: 0,
            releases: 0,
            shared: BTreeMap::new(),
            unreferenced: BTreeMap::new(),
        }
    }

    /// References all hashes and takes private blocks, or changes nothing.
    pub(crate) fn admit(&mut self, hashes: &[u64], private: usize, reserve: usize) -> bool {
        let (mut missing, mut idle) = (0, 0);
        for hash in hashes {
            match self.shared.get(hash) {
                None => missing += 1,
                Some(block) if block.references == 0 => idle += 1,
                Some(_) => {}
            }
        }
        if self.used() + idle + missing + private + reserve > self.blocks {
            return false;
        }
        let absent: Vec<u64> = hashes
            .iter()
            .copied()
            .filter(|hash| !self.reference(*hash))
            .collect();
        for hash in absent {
            self.make_room();
            self.shared.insert(
                hash,
                Block {
                    references: 1,
                    released: 0,
                },
            );
            self.news.added.push(hash);
        }
        for _ in 0..private {
            assert!(self.take_private(), "an admitted sequence finds its blocks");
        }
        true
    }

    /// Counts leading hashes that are cached.
    pub(crate) fn hits(&self, hashes: &[u64]) -> usize {
        hashes
            .iter()
            .take_while(|hash| self.shared.contains_key(hash))
            .count()
    }

    pub(crate) fn release(&mut self, hashes: &[u64], private: usize) {
        assert!(private <= self.private, "no block is released twice");
        self.private -= private;
        for hash in hashes.iter().rev() {
            let block = self
                .shared
                .get_mut(hash)
                .expect("referenced blocks stay cached");
            block.references -= 1;
            if block.references == 0 {
                self.releases += 1;
                block.released = self.releases;
                self.unreferenced.insert(self.releases, *hash);
            }
        }
    }

    pub(crate) fn take_news(&mut self) -> CacheUpdate {
        std::mem::take(&mut self.news)
    }

    pub(crate) fn take_private(&mut self) -> bool {
        if self.used() >= self.blocks {
            return false;
        }
        self.make_room();
        self.private += 1;
        true
    }

    /// Blocks held by sequences.
    pub(crate) fn used(&self) -> usize {
        self.private + self.shared.len() - self.unreferenced.len()
    }

    fn make_room(&mut self) {
        if self.private + self.shared.len() < self.blocks {
            return;
        }
        let (_, hash) = self
            .unreferenced
            .pop_first()
            .expect("an idle block can be evicted");
        self.shared.remove(&hash);
        self.news.evicted.push(hash);
    }

    fn reference(&mut self, hash: u64) -> bool {
        let Some(block) = self.shared.get_mut(&hash) else {
            return false;
        };
        if block.references == 0 {
            self.unreferenced.remove(&block.released);
        }
        block.references += 1;
        true
    }
}

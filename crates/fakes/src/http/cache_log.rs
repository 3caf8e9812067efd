use crate::engine::CacheNews;
use crate::http::CacheReport;

/// Cache news that no instance has taken yet.
#[derive(Debug, Default)]
pub(crate) struct CacheLog {
    first_sequence: u64,
    pending: CacheNews,
}

impl CacheLog {
    /// Adds news and gives all that is pending.
    pub(crate) fn push(&mut self, mut news: CacheNews) -> Option<CacheReport> {
        self.pending.added.append(&mut news.added);
        self.pending.evicted.append(&mut news.evicted);
        if self.pending.added.is_empty() && self.pending.evicted.is_empty() {
            return None;
        }
        Some(CacheReport {
            added: hexadecimal(&self.pending.added),
            evicted: hexadecimal(&self.pending.evicted),
            first_sequence: self.first_sequence,
        })
    }

    /// Forgets what was sent if it was taken.
    pub(crate) fn sent(&mut self, taken: bool) {
        if taken {
            let changes = self.pending.added.len() + self.pending.evicted.len();
            self.first_sequence += changes as u64;
            self.pending = CacheNews::default();
        }
    }
}

fn hexadecimal(hashes: &[u64]) -> Vec<String> {
    hashes.iter().map(|hash| format!("{hash:016x}")).collect()
}

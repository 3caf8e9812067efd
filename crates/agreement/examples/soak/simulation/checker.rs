use agreement::{Entry, Payload, Term};
use names::{InstanceName, LogIndex};

/// What all nodes together have shown; asserts the promises of the protocol.
#[derive(Default)]
pub struct Checker {
    committed: Vec<Entry>,
    leaders: Vec<(Term, InstanceName)>,
}

impl Checker {
    pub fn committed(&self) -> &[Entry] {
        &self.committed
    }

    pub fn last(&self) -> LogIndex {
        LogIndex(self.committed.len() as u64)
    }

    pub fn leaders(&self) -> usize {
        self.leaders.len()
    }

    /// State machine safety: one entry per committed position.
    pub fn on_commit(&mut self, entry: &Entry) {
        let at = usize::try_from(entry.index.0 - 1).unwrap();
        if at == self.committed.len() {
            self.committed.push(entry.clone());
            return;
        }
        assert_eq!(
            self.committed[at], *entry,
            "position {} is committed twice",
            entry.index
        );
    }

    /// Election safety and leader completeness.
    pub fn on_leader(&mut self, term: Term, name: &InstanceName, base: LogIndex, log: &[Entry]) {
        match self.leaders.binary_search_by(|known| known.0.cmp(&term)) {
            Ok(at) => {
                assert_eq!(self.leaders[at].1, *name, "two leaders in term {term}");
                return;
            }
            Err(at) => self.leaders.insert(at, (term, name.clone())),
        }
        let is_latest = self.leaders.last().is_some_and(|last| last.0 == term);
        if !is_latest {
            return;
        }
        for committed in self.committed.iter().filter(|entry| entry.index > base) {
            assert!(
                log.contains(committed),
                "leader {name} of term {term} lacks committed position {}",
                committed.index
            );
        }
    }

    /// State machine content after a position.
    pub fn content(&self, index: LogIndex) -> Vec<u8> {
        let applied = usize::try_from(index.0).unwrap();
        let commands = self.committed[..applied].iter();
        commands
            .filter_map(|entry| match &entry.payload {
                Payload::Command(command) => Some(command.as_slice()),
                _ => None,
            })
            .collect::<Vec<_>>()
            .concat()
    }
}

/// Log matching: logs that share an entry are equal up to it.
pub fn check_log_matching(a: &[Entry], b: &[Entry]) {
    let (Some(first_a), Some(first_b)) = (a.first(), b.first()) else {
        return;
    };
    let first = first_a.index.max(first_b.index);
    let a = a.iter().filter(|entry| entry.index >= first);
    let b = b.iter().filter(|entry| entry.index >= first);
    let pairs: Vec<_> = a.zip(b).collect();
    let last_shared = pairs.iter().rposition(|(a, b)| a.term == b.term);
    for (a, b) in &pairs[..last_shared.map_or(0, |last| last + 1)] {
        assert_eq!(a, b, "logs differ before an entry that they share");
    }
}

use agreement::{Entry, Payload, Term};
use names::{InstanceName, LogIndex};

/// Checks Raft's safety properties across all nodes, and records what it has seen.
#[derive(Default)]
pub struct SafetyChecker {
    committed: Vec<Entry>,
    leaders: Vec<(Term, InstanceName)>,
}

impl SafetyChecker {
    pub fn committed(&self) -> &[Entry] {
        &self.committed
    }

    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.committed.len() as u64)
    }

    pub fn leader_count(&self) -> usize {
        self.leaders.len()
    }

    /// Checks state machine safety: all nodes apply the same entry at an index.
    pub fn check_applied(&mut self, entry: &Entry) {
        let position = usize::try_from(entry.index.0 - 1).unwrap();
        if position == self.committed.len() {
            self.committed.push(entry.clone());
            return;
        }
        assert_eq!(
            self.committed[position], *entry,
            "index {} is committed with different entries",
            entry.index
        );
    }

    /// Checks election safety and leader completeness.
    pub fn check_leader(
        &mut self,
        term: Term,
        name: &InstanceName,
        snapshot_index: LogIndex,
        log: &[Entry],
    ) {
        match self.leaders.binary_search_by(|known| known.0.cmp(&term)) {
            Ok(position) => {
                assert_eq!(
                    self.leaders[position].1, *name,
                    "two leaders in term {term}"
                );
                return;
            }
            Err(position) => self.leaders.insert(position, (term, name.clone())),
        }
        let is_latest = self.leaders.last().is_some_and(|last| last.0 == term);
        if !is_latest {
            return;
        }
        for committed in self
            .committed
            .iter()
            .filter(|entry| entry.index > snapshot_index)
        {
            assert!(
                log.contains(committed),
                "leader {name} of term {term} lacks the committed entry at index {}",
                committed.index
            );
        }
    }

    /// State of the state machine after it applied `index`.
    pub fn state(&self, index: LogIndex) -> Vec<u8> {
        let applied_count = usize::try_from(index.0).unwrap();
        let commands = self.committed[..applied_count].iter();
        commands
            .filter_map(|entry| match &entry.payload {
                Payload::Command(command) => Some(command.as_slice()),
                _ => None,
            })
            .collect::<Vec<_>>()
            .concat()
    }
}

/// Checks log matching: logs that share an entry are equal up to it.
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
        assert_eq!(a, b, "logs differ before a shared entry");
    }
}

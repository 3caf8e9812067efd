use std::collections::VecDeque;

use crate::{Delta, Items, Publication, Revision, View, ViewOutcome};

/// Deltas kept for subscribers that are behind.
const DELTAS_MAX: usize = 4_096;

/// A view that also passes changes on to subscribers of its own.
///
/// It keeps the deltas that it received, a bounded number of them; a subscriber further behind gets
/// a snapshot.
#[derive(Debug, Default)]
pub struct ViewPublisher {
    deltas: VecDeque<Delta>,
    view: View,
}

impl ViewPublisher {
    /// Takes a publication; one that is older than the view changes nothing.
    pub fn apply(&mut self, publication: Publication) -> ViewOutcome {
        let delta = match &publication {
            Publication::Delta(delta) => Some(delta.clone()),
            Publication::Snapshot(_) => None,
        };
        let outcome = self.view.apply(publication);
        if outcome == ViewOutcome::Applied {
            self.keep(delta);
        }
        outcome
    }

    /// What the view holds.
    #[must_use]
    pub fn items(&self) -> &Items {
        self.view.items()
    }

    /// Revision of the view.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.view.revision()
    }

    /// What a subscriber at `revision` needs; none where it is up to date.
    #[must_use]
    pub fn publication_since(&self, revision: Revision) -> Option<Publication> {
        if revision >= self.revision() {
            return None;
        }
        Some(self.delta_since(revision).map_or_else(
            || Publication::Snapshot(self.view.items_snapshot()),
            Publication::Delta,
        ))
    }

    fn delta_since(&self, revision: Revision) -> Option<Delta> {
        let first = self.deltas.partition_point(|delta| delta.to <= revision);
        if self.deltas.get(first)?.from > revision {
            return None;
        }
        let mut changes: Vec<_> = self
            .deltas
            .range(first..)
            .flat_map(|delta| delta.changes.iter().cloned())
            .collect();
        // The latest change of each item stands last; the sort keeps that order.
        changes.sort_by(|a, b| a.item_id.cmp(&b.item_id));
        changes.reverse();
        changes.dedup_by(|a, b| a.item_id == b.item_id);
        changes.reverse();
        Some(Delta {
            changes,
            from: revision,
            to: self.revision(),
        })
    }

    fn keep(&mut self, delta: Option<Delta>) {
        let Some(delta) = delta else {
            self.deltas.clear();
            return;
        };
        self.deltas.push_back(delta);
        if self.deltas.len() > DELTAS_MAX {
            self.deltas.pop_front();
        }
    }
}

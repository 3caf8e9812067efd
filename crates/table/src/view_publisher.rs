use std::collections::VecDeque;

use crate::{Delta, Items, Publication, Revision, View, ViewOutcome};

/// Most deltas kept for subscribers whose revision is older.
const DELTAS_MAX: usize = 4_096;

/// A [`View`] that also publishes its changes to downstream subscribers.
///
/// It keeps the latest deltas that it received. A subscriber whose revision precedes them gets a
/// snapshot.
#[derive(Debug, Default)]
pub struct ViewPublisher {
    deltas: VecDeque<Delta>,
    view: View,
}

impl ViewPublisher {
    /// Applies a publication to the view; see [`View::apply`].
    pub fn apply(&mut self, publication: Publication) -> ViewOutcome {
        let delta = match &publication {
            Publication::Delta(delta) => Some(delta.clone()),
            Publication::Snapshot(_) => None,
        };
        let outcome = self.view.apply(publication);
        if outcome == ViewOutcome::Applied {
            self.update_deltas(delta);
        }
        outcome
    }

    /// Items of the view.
    #[must_use]
    pub fn items(&self) -> &Items {
        self.view.items()
    }

    /// Publication that updates a subscriber at `revision`; `None` if it is up to date.
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

    /// Revision of the view.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.view.revision()
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
        // The sort is stable, so the latest change of each item comes last and is the one to keep.
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

    fn update_deltas(&mut self, delta: Option<Delta>) {
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

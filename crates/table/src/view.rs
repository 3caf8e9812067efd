use crate::{Delta, Items, ItemsSnapshot, Publication, Revision, VersionedItem};

/// What became of a publication.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ViewOutcome {
    /// The view is now at the publication's revision.
    Applied,
    /// The delta starts after the view's revision; nothing changed.
    Gap,
    /// The delta holds content that does not fit its item; nothing changed.
    Mismatch,
    /// The publication leads no further than the view already is; nothing changed.
    Stale,
}

/// Copy of the table that a subscriber keeps.
///
/// Publications may arrive late, twice or out of order; the view never returns to an older revision.
#[derive(Debug, Default)]
pub struct View {
    items: Items,
    revision: Revision,
}

impl View {
    /// Takes a publication.
    ///
    /// # Panics
    ///
    /// Where a delta holds an item older than the view's.
    pub fn apply(&mut self, publication: Publication) -> ViewOutcome {
        let before = self.revision;
        let outcome = match publication {
            Publication::Delta(delta) => self.apply_delta(delta),
            Publication::Snapshot(snapshot) => self.apply_snapshot(snapshot),
        };
        assert!(
            self.revision >= before,
            "the view returned to an older revision"
        );
        outcome
    }

    /// Everything that the view holds.
    #[must_use]
    pub fn items(&self) -> &Items {
        &self.items
    }

    /// Revision of the table that the view holds.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Everything that the view holds, for a subscriber whose revision is too old for deltas.
    #[must_use]
    pub fn items_snapshot(&self) -> ItemsSnapshot {
        ItemsSnapshot {
            items: self.items.clone(),
            revision: self.revision,
        }
    }

    fn apply_delta(&mut self, delta: Delta) -> ViewOutcome {
        if delta.to <= self.revision {
            return ViewOutcome::Stale;
        }
        if delta.from > self.revision {
            return ViewOutcome::Gap;
        }
        if !delta.changes.iter().all(VersionedItem::has_compatible_id) {
            return ViewOutcome::Mismatch;
        }
        for change in delta.changes {
            // A deleted item has no revision of its own; it is as new as the delta.
            let revision = match change.item {
                Some(_) => change.revision,
                None => delta.to,
            };
            self.items.set(change.item_id, revision, change.item);
        }
        self.revision = delta.to;
        ViewOutcome::Applied
    }

    fn apply_snapshot(&mut self, snapshot: ItemsSnapshot) -> ViewOutcome {
        if snapshot.revision <= self.revision {
            return ViewOutcome::Stale;
        }
        self.items = snapshot.items;
        self.revision = snapshot.revision;
        ViewOutcome::Applied
    }
}

use crate::{Delta, Items, ItemsSnapshot, Publication, Revision, VersionedItem};

/// Result of applying a publication to a view.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ViewOutcome {
    /// The view is now at the publication's revision.
    Applied,
    /// The delta starts after the view's revision; nothing changed.
    Gap,
    /// The delta has content of another type than its item id; nothing changed.
    Mismatch,
    /// The publication's revision is not newer than the view's; nothing changed.
    Stale,
}

/// A subscriber's copy of the table.
///
/// Publications may arrive late, twice or out of order; the view's revision never decreases.
#[derive(Debug, Default)]
pub struct View {
    items: Items,
    revision: Revision,
}

impl View {
    /// Applies a publication.
    ///
    /// # Panics
    ///
    /// Panics if a delta has an item with an older revision than the view's.
    pub fn apply(&mut self, publication: Publication) -> ViewOutcome {
        let before = self.revision;
        let outcome = match publication {
            Publication::Delta(delta) => self.apply_delta(delta),
            Publication::Snapshot(snapshot) => self.apply_snapshot(snapshot),
        };
        assert!(
            self.revision >= before,
            "the revision of the view decreased"
        );
        outcome
    }

    /// All items of the view.
    #[must_use]
    pub fn items(&self) -> &Items {
        &self.items
    }

    /// Copy of all items, for a subscriber whose revision is too old for deltas.
    #[must_use]
    pub fn items_snapshot(&self) -> ItemsSnapshot {
        ItemsSnapshot {
            items: self.items.clone(),
            revision: self.revision,
        }
    }

    /// Table revision of the view.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
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
            // A deleted item has no revision, so the delta's revision is used.
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

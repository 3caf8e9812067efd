//! Converts rows of the table into limits for the dispatch core.

use dispatch::{CustomerIndex, KindIndex, RowLimits};
use names::{CustomerName, KindName};
use table::{ItemId, Items, Publication, Revision, Row, RowKey};

use crate::interner::Interner;

const PERCENT: f64 = 100.0;

/// Converts rows into limits, with indices in place of names.
#[derive(Debug)]
pub(super) struct RowLimitsSource {
    customers: Interner<CustomerName>,
    kinds: Interner<KindName>,
    pub(super) revision: Revision,
    /// Rows with a time window, and the Unix time in ms of their next change.
    windowed: Vec<(RowKey, u64)>,
}

impl RowLimitsSource {
    pub(super) fn new() -> Self {
        Self {
            customers: Interner::new(),
            kinds: Interner::new(),
            revision: Revision::ABSENT,
            windowed: Vec::new(),
        }
    }

    pub(super) fn customer_index(&mut self, name: &CustomerName) -> CustomerIndex {
        CustomerIndex(self.customers.index(name))
    }

    pub(super) fn kind_index(&mut self, name: &KindName) -> KindIndex {
        KindIndex(self.kinds.index(name))
    }

    /// Limits of the rows that a publication contains.
    pub(super) fn limits_of_changed_rows(
        &mut self,
        unix_ms: u64,
        items: &Items,
        publication: &Publication,
    ) -> Vec<RowLimits> {
        let keys: Vec<&RowKey> = match publication {
            Publication::Delta(delta) => delta
                .changes
                .iter()
                .filter_map(|change| row_key(&change.item_id))
                .collect(),
            Publication::Snapshot(snapshot) => snapshot.items.rows().map(|(key, ..)| key).collect(),
        };
        keys.into_iter()
            .filter_map(|key| Some(self.limits(unix_ms, key, items.row(key)?.0)))
            .collect()
    }

    /// Limits of the rows whose window has begun or ended.
    pub(super) fn limits_of_due_windows(&mut self, unix_ms: u64, items: &Items) -> Vec<RowLimits> {
        let due_keys: Vec<RowKey> = self
            .windowed
            .iter()
            .filter(|(_, change_ms)| *change_ms <= unix_ms)
            .map(|(key, _)| key.clone())
            .collect();
        due_keys
            .iter()
            .filter_map(|key| Some(self.limits(unix_ms, key, items.row(key)?.0)))
            .collect()
    }

    fn limits(&mut self, unix_ms: u64, key: &RowKey, row: &Row) -> RowLimits {
        self.windowed.retain(|(known, _)| known != key);
        if let Some(change_ms) = row.next_change_ms(unix_ms) {
            self.windowed.push((key.clone(), change_ms));
        }
        let weight_and_priority = row.weight_and_priority_at(unix_ms);
        RowLimits {
            customer: self.customer_index(&key.customer),
            kind: self.kind_index(&key.kind),
            priority: weight_and_priority.priority,
            queued_max: row.queued_max,
            queueing_ms_max: u64::from(row.queueing_ms_max),
            running_max: row.running_max,
            tokens_per_second_max: row.tokens_per_second_max.map(f64::from),
            urgent_share: f64::from(row.urgent_share_percent) / PERCENT,
            weight: f64::from(weight_and_priority.weight),
        }
    }
}

fn row_key(item_id: &ItemId) -> Option<&RowKey> {
    match item_id {
        ItemId::Row(key) => Some(key),
        _ => None,
    }
}

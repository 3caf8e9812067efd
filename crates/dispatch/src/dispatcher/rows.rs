use super::Dispatcher;
use crate::number::{real, whole};
use crate::row::Row;
use crate::work::RowIndex;
use crate::{CustomerIndex, KindIndex, RowLimits};

/// Engine time that one customer's kind of work used.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct RowUsage {
    /// The customer.
    pub customer: CustomerIndex,
    /// Engine time.
    pub engine_us: u64,
    /// The kind of work.
    pub kind: KindIndex,
}

impl Dispatcher {
    /// Counts engine time that other shards gave, so that a weight means the same everywhere.
    pub fn add_remote_usage(&mut self, usage: &[RowUsage]) {
        for used in usage {
            let Some(&row) = self.row_indexes.get(&(used.customer, used.kind)) else {
                continue;
            };
            let weighted_us = self.row(row).weighted_us(used.engine_us);
            self.move_flows(row, i64::try_from(weighted_us).unwrap_or(i64::MAX));
        }
    }

    /// Engine time that this shard gave since the last call, for other shards.
    pub fn take_unreported_usage(&mut self) -> Vec<RowUsage> {
        let used = self.rows.iter_mut().filter(|row| row.used_us > row.told_us);
        used.map(|row| {
            let engine_us = row.used_us - row.told_us;
            row.told_us = row.used_us;
            RowUsage {
                customer: row.customer,
                engine_us,
                kind: row.kind,
            }
        })
        .collect()
    }

    pub(super) fn move_flows(&mut self, row: RowIndex, by_us: i64) {
        let debt_us_max = self.row(row).weighted_us(self.settings.debt_us_max);
        for pool in &mut self.pools {
            pool.queue.charge(row, by_us, debt_us_max);
        }
    }

    /// Opens rows whose time has come.
    pub(super) fn open_rows(&mut self, now_us: u64) {
        while let Some(&(at_us, row)) = self.openings.first()
            && at_us <= now_us
        {
            self.openings.pop_first();
            self.unstick();
            self.refresh_row(now_us, row);
        }
    }

    /// Opens or closes a row's flows as its limits allow now.
    pub(super) fn refresh_row(&mut self, now_us: u64, index: RowIndex) {
        let open_us = self.row(index).open_us(now_us);
        let open = open_us.is_some_and(|at_us| at_us <= now_us);
        for pool in &mut self.pools {
            pool.queue.set_open(index, open);
        }
        if let Some(at_us) = open_us
            && !open
            && self.row(index).queued > 0
        {
            self.openings.insert((at_us, index));
        }
    }

    pub(super) fn row(&self, index: RowIndex) -> &Row {
        &self.rows[index.0 as usize]
    }

    /// The row of a customer and kind, made without limits if it is new.
    pub(super) fn row_index(&mut self, customer: CustomerIndex, kind: KindIndex) -> RowIndex {
        let next = u32::try_from(self.rows.len()).expect("fewer than 2^32 rows");
        let index = *self
            .row_indexes
            .entry((customer, kind))
            .or_insert(RowIndex(next));
        if index.0 == next {
            self.rows.push(Row::new(customer, kind));
        }
        index
    }

    pub(super) fn row_mut(&mut self, index: RowIndex) -> &mut Row {
        &mut self.rows[index.0 as usize]
    }

    pub(super) fn set_limits(&mut self, now_us: u64, limits: &[RowLimits]) {
        for changed in limits {
            let index = self.row_index(changed.customer, changed.kind);
            self.row_mut(index).set_limits(now_us, changed);
            let weight_milli = self.weight_milli(index);
            for pool in &mut self.pools {
                pool.queue.set_weight(index, weight_milli);
            }
            self.refresh_row(now_us, index);
        }
    }

    pub(super) fn weight_milli(&self, index: RowIndex) -> u64 {
        const MILLI: f64 = 1_000.0;
        whole(self.row(index).weight() * MILLI).max(1)
    }

    /// Counts engine time really used beyond, or short of, what was charged.
    pub(super) fn correct(&mut self, index: RowIndex, by_us: i64) {
        let weighted = real(by_us.unsigned_abs()) / self.row(index).weight();
        let magnitude = i64::try_from(whole(weighted)).unwrap_or(i64::MAX);
        self.row_mut(index).correct(by_us);
        self.move_flows(index, magnitude * by_us.signum());
    }
}

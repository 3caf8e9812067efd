use super::Dispatcher;
use crate::number::{to_f64, to_u64};
use crate::request_spec::RowIndex;
use crate::row::Row;
use crate::{CustomerIndex, KindIndex, RowLimits};

/// Engine time that was charged to one customer's kind of work.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct RowUsage {
    /// The customer.
    pub customer: CustomerIndex,
    /// Engine time charged.
    pub engine_us: u64,
    /// The kind of work.
    pub kind: KindIndex,
}

impl Dispatcher {
    /// Charges engine time that was used on other shards, so that weights apply across all shards.
    pub fn add_remote_usage(&mut self, usage: &[RowUsage]) {
        for remote in usage {
            let Some(&row) = self.row_indexes.get(&(remote.customer, remote.kind)) else {
                continue;
            };
            let weighted_us = self.row(row).weighted_us(remote.engine_us);
            self.charge_flows(row, i64::try_from(weighted_us).unwrap_or(i64::MAX));
        }
    }

    /// Engine time that this shard charged since the last call, to report to other shards.
    pub fn take_unreported_usage(&mut self) -> Vec<RowUsage> {
        let unreported = self
            .rows
            .iter_mut()
            .filter(|row| row.used_us > row.reported_us);
        unreported
            .map(|row| {
                let engine_us = row.used_us - row.reported_us;
                row.reported_us = row.used_us;
                RowUsage {
                    customer: row.customer,
                    engine_us,
                    kind: row.kind,
                }
            })
            .collect()
    }

    pub(super) fn charge_flows(&mut self, row: RowIndex, by_us: i64) {
        let debt_us_max = self.row(row).weighted_us(self.settings.debt_us_max);
        for pool in &mut self.pools {
            pool.queue.charge(row, by_us, debt_us_max);
        }
    }

    /// Updates the flows of rows that may run another request by now.
    pub(super) fn update_due_rows(&mut self, now_us: u64) {
        while let Some(&(at_us, row)) = self.row_eligible_times.first()
            && at_us <= now_us
        {
            self.row_eligible_times.pop_first();
            self.unblock_pools();
            self.update_row_flows(now_us, row);
        }
    }

    /// Activates a row's flows if its limits allow another request, or deactivates them.
    pub(super) fn update_row_flows(&mut self, now_us: u64, index: RowIndex) {
        let next_grant_us = self.row(index).next_grant_us(now_us);
        let is_eligible = next_grant_us.is_some_and(|at_us| at_us <= now_us);
        for pool in &mut self.pools {
            pool.queue.set_eligible(index, is_eligible);
        }
        if let Some(at_us) = next_grant_us
            && !is_eligible
            && self.row(index).queued > 0
        {
            self.row_eligible_times.insert((at_us, index));
        }
    }

    pub(super) fn row(&self, index: RowIndex) -> &Row {
        &self.rows[index.0 as usize]
    }

    /// The row of a customer and kind. A new row is created without limits.
    pub(super) fn row_index(&mut self, customer: CustomerIndex, kind: KindIndex) -> RowIndex {
        let next_index = u32::try_from(self.rows.len()).expect("fewer than 2^32 rows");
        let index = *self
            .row_indexes
            .entry((customer, kind))
            .or_insert(RowIndex(next_index));
        if index.0 == next_index {
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
            self.update_row_flows(now_us, index);
        }
    }

    pub(super) fn weight_milli(&self, index: RowIndex) -> u64 {
        const MILLI_PER_UNIT: f64 = 1_000.0;
        to_u64(self.row(index).weight() * MILLI_PER_UNIT).max(1)
    }

    /// Adjusts a row's usage and flows by the difference between used and charged engine time.
    pub(super) fn adjust_usage(&mut self, index: RowIndex, by_us: i64) {
        let weighted_us = to_f64(by_us.unsigned_abs()) / self.row(index).weight();
        let magnitude_us = i64::try_from(to_u64(weighted_us)).unwrap_or(i64::MAX);
        self.row_mut(index).adjust_usage(by_us);
        self.charge_flows(index, magnitude_us * by_us.signum());
    }
}

//! Validation rules for edits.
//!
//! These rules are part of the replicated state machine: builds with different rules must not apply
//! the same log.

use std::cmp::Ordering;
use std::ops::RangeInclusive;

use names::KindName;

use crate::{
    CHANGES_PER_EDIT_MAX, Column, EDIT_BYTES_MAX, Edit, ITEMS_MAX, Item, ItemChange, ItemId, Items,
    PROBLEMS_LISTED_MAX, Problem, ProblemReason, Row, Window,
};

const MODELS_PER_ROW_MAX: usize = 64;
const TIME_ZONE_BYTES_MAX: usize = 64;

/// Allowed values of a numeric column.
pub(crate) fn allowed_range(column: Column) -> RangeInclusive<i64> {
    match column {
        Column::Priority | Column::WindowPriority => -1000..=1000,
        Column::QueueingMsMax => 0..=3_600_000,
        Column::TokensPerSecondMax => 1..=10_000_000,
        Column::UrgentSharePercent => 0..=100,
        Column::Weight | Column::WindowWeight => 1..=1_000_000,
        _ => 0..=1_000_000,
    }
}

pub(crate) fn range_problem(column: Column, value: i64) -> Option<ProblemReason> {
    let range = allowed_range(column);
    (!range.contains(&value)).then(|| ProblemReason::Range {
        max: *range.end(),
        min: *range.start(),
        value,
    })
}

/// Problems that do not depend on the build; safe to use when applying the log.
pub(crate) fn edit_problems(items: &Items, edit: &Edit) -> Vec<Problem> {
    if let Some(problem) = size_problem(items, edit) {
        return vec![problem];
    }
    let mut problems = duplicate_problems(edit);
    for change in &edit.changes {
        let reasons = change_reasons(items, edit, change);
        problems.extend(reasons.into_iter().map(|(column, reason)| Problem {
            column,
            reason,
            row: change.item_id.to_string(),
        }));
        if problems.len() >= PROBLEMS_LISTED_MAX {
            break;
        }
    }
    problems.truncate(PROBLEMS_LISTED_MAX);
    problems
}

/// Problems that depend on the time zone database of this build.
pub(crate) fn time_zone_problems(edit: &Edit) -> Vec<Problem> {
    edit.changes
        .iter()
        .filter_map(|change| {
            let Some(Item::Row(row)) = &change.item else {
                return None;
            };
            let window = row.window.as_ref().filter(|w| !w.is_time_zone_known())?;
            Some(Problem {
                column: Column::WindowTimeZone,
                reason: ProblemReason::UnknownTimeZone {
                    time_zone: window.time_zone.chars().take(TIME_ZONE_BYTES_MAX).collect(),
                },
                row: change.item_id.to_string(),
            })
        })
        .collect()
}

type ColumnReasons = Vec<(Column, ProblemReason)>;

fn change_reasons(items: &Items, edit: &Edit, change: &ItemChange) -> ColumnReasons {
    let Some(item) = &change.item else {
        return deletion_reasons(items, edit, change);
    };
    if !change.item_id.is_compatible_with(item) {
        return vec![(Column::Changes, ProblemReason::Mismatch)];
    }
    let (ItemId::Row(key), Item::Row(row)) = (&change.item_id, item) else {
        return Vec::new();
    };
    let mut reasons = row_reasons(row);
    if !is_kind_declared(items, edit, &key.kind) {
        reasons.push((
            Column::Kind,
            ProblemReason::UnknownKind {
                kind: key.kind.to_string(),
            },
        ));
    }
    reasons
}

fn contradiction_reasons(row: &Row) -> ColumnReasons {
    let contradiction = |column, other, detail: &str| {
        let detail = detail.to_owned();
        (column, ProblemReason::Contradiction { detail, other })
    };
    let mut reasons = Vec::new();
    if row.queued_max > 0 && row.running_max == 0 {
        let detail = "queued requests would never run";
        reasons.push(contradiction(Column::QueuedMax, Column::RunningMax, detail));
    }
    if row.queued_max > 0 && row.queueing_ms_max == 0 {
        let detail = "queued requests would expire at once";
        reasons.push(contradiction(
            Column::QueuedMax,
            Column::QueueingMsMax,
            detail,
        ));
    }
    if row.queued_max == 0 && row.queueing_ms_max > 0 {
        let detail = "no request may be queued";
        reasons.push(contradiction(
            Column::QueueingMsMax,
            Column::QueuedMax,
            detail,
        ));
    }
    reasons
}

fn deletion_reasons(items: &Items, edit: &Edit, change: &ItemChange) -> ColumnReasons {
    let ItemId::Kind(kind) = &change.item_id else {
        return Vec::new();
    };
    let is_deleted = |item_id: &ItemId| {
        edit.changes
            .iter()
            .any(|c| c.item.is_none() && c.item_id == *item_id)
    };
    let rows = items
        .rows()
        .filter(|(key, ..)| key.kind == *kind)
        .filter(|(key, ..)| !is_deleted(&ItemId::Row((*key).clone())))
        .count();
    if rows == 0 {
        return Vec::new();
    }
    vec![(Column::Kind, ProblemReason::InUse { rows: rows as u64 })]
}

fn duplicate_problems(edit: &Edit) -> Vec<Problem> {
    let mut item_ids: Vec<&ItemId> = edit.changes.iter().map(|change| &change.item_id).collect();
    item_ids.sort_unstable();
    item_ids
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| Problem {
            column: Column::Changes,
            reason: ProblemReason::Duplicate,
            row: pair[0].to_string(),
        })
        .collect()
}

fn is_kind_declared(items: &Items, edit: &Edit, kind: &KindName) -> bool {
    let item_id = ItemId::Kind(kind.clone());
    let changed = edit.changes.iter().find(|change| change.item_id == item_id);
    match changed {
        Some(change) => change.item.is_some(),
        None => items.get(&item_id).is_some(),
    }
}

fn models_reasons(row: &Row) -> ColumnReasons {
    let mut reasons = Vec::new();
    if row.models.len() > MODELS_PER_ROW_MAX {
        reasons.push((
            Column::Models,
            ProblemReason::TooMany {
                count: row.models.len() as u64,
                max: MODELS_PER_ROW_MAX as u64,
            },
        ));
    }
    for pair in row.models.windows(2) {
        let name = pair[1].to_string();
        match pair[0].cmp(&pair[1]) {
            Ordering::Equal => {
                reasons.push((Column::Models, ProblemReason::DuplicateName { name }));
            }
            Ordering::Greater => reasons.push((Column::Models, ProblemReason::Unsorted { name })),
            Ordering::Less => (),
        }
    }
    reasons
}

fn row_reasons(row: &Row) -> ColumnReasons {
    let numbers = [
        (Column::Priority, i64::from(row.priority)),
        (Column::QueuedMax, i64::from(row.queued_max)),
        (Column::QueueingMsMax, i64::from(row.queueing_ms_max)),
        (Column::RunningMax, i64::from(row.running_max)),
        (
            Column::UrgentSharePercent,
            i64::from(row.urgent_share_percent),
        ),
        (Column::Weight, i64::from(row.weight)),
    ];
    let tokens = row
        .tokens_per_second_max
        .map(|value| (Column::TokensPerSecondMax, i64::from(value)));
    let mut reasons: ColumnReasons = numbers
        .into_iter()
        .chain(tokens)
        .filter_map(|(column, value)| Some((column, range_problem(column, value)?)))
        .collect();
    reasons.extend(contradiction_reasons(row));
    reasons.extend(models_reasons(row));
    reasons.extend(row.window.iter().flat_map(window_reasons));
    reasons
}

fn size_problem(items: &Items, edit: &Edit) -> Option<Problem> {
    let problem = |reason| {
        Some(Problem {
            column: Column::Changes,
            reason,
            row: "all".to_owned(),
        })
    };
    let changes = edit.changes.len();
    if changes == 0 {
        return problem(ProblemReason::Missing);
    }
    if changes > CHANGES_PER_EDIT_MAX {
        return problem(ProblemReason::TooMany {
            count: changes as u64,
            max: CHANGES_PER_EDIT_MAX as u64,
        });
    }
    let length_bytes = edit.length_bytes();
    if length_bytes > EDIT_BYTES_MAX {
        return problem(ProblemReason::TooLong {
            length_bytes: length_bytes as u64,
            max_bytes: EDIT_BYTES_MAX as u64,
        });
    }
    let is_added =
        |change: &&ItemChange| change.item.is_some() && items.get(&change.item_id).is_none();
    let added = edit.changes.iter().filter(is_added).count();
    if added > 0 && items.len() + added > ITEMS_MAX {
        return problem(ProblemReason::TooMany {
            count: (items.len() + added) as u64,
            max: ITEMS_MAX as u64,
        });
    }
    None
}

fn window_reasons(window: &Window) -> ColumnReasons {
    let numbers = [
        (Column::WindowPriority, i64::from(window.priority)),
        (Column::WindowWeight, i64::from(window.weight)),
    ];
    let mut reasons: ColumnReasons = numbers
        .into_iter()
        .filter_map(|(column, value)| Some((column, range_problem(column, value)?)))
        .collect();
    if window.start == window.end {
        let detail = "the window would have no length".to_owned();
        let other = Column::WindowStart;
        reasons.push((
            Column::WindowEnd,
            ProblemReason::Contradiction { detail, other },
        ));
    }
    if window.time_zone.is_empty() {
        reasons.push((Column::WindowTimeZone, ProblemReason::Missing));
    }
    if window.time_zone.len() > TIME_ZONE_BYTES_MAX {
        reasons.push((
            Column::WindowTimeZone,
            ProblemReason::TooLong {
                length_bytes: window.time_zone.len() as u64,
                max_bytes: TIME_ZONE_BYTES_MAX as u64,
            },
        ));
    }
    reasons
}

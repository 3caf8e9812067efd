use std::fmt::{Display, Write};

use names::{CustomerName, KindName, ModelName};

use crate::edit_rules::{allowed_range, range_problem};
use crate::{Column, LineBase, LocalTime, Problem, ProblemReason, Row, RowKey, Window};

const MODEL_SEPARATOR: char = '|';
const QUOTED_CHARS_MAX: usize = 40;

/// Cells of one row in text form, from a CSV file or a JSON object.
#[derive(Debug, Clone, Default)]
pub struct RowCells {
    cells: Vec<(Column, String)>,
    label: String,
}

impl RowCells {
    /// Creates an empty set of cells; `label` identifies the row in problems.
    #[must_use]
    pub fn new(label: &str) -> Self {
        Self {
            cells: Vec::new(),
            label: label.to_owned(),
        }
    }

    /// Cells of a row, without its base.
    #[must_use]
    pub fn from_row(key: &RowKey, row: &Row) -> Self {
        let mut cells = Self::new(&key.to_string());
        let mut text = String::new();
        for column in Column::CSV {
            text.clear();
            write_cell(&mut text, column, key, row);
            cells.set(column, &text);
        }
        cells
    }

    /// Text of a cell; empty if it is not set.
    #[must_use]
    pub fn get(&self, column: Column) -> &str {
        self.cells
            .iter()
            .find(|(present, _)| *present == column)
            .map_or("", |(_, text)| text)
    }

    /// Sets a cell to `text` without its surrounding white space.
    pub fn set(&mut self, column: Column, text: &str) {
        self.cells.retain(|(present, _)| *present != column);
        self.cells.push((column, text.trim().to_owned()));
    }

    /// Parses the base of the line; `None` if the cell is empty.
    ///
    /// # Errors
    ///
    /// Returns a problem if the text is not a valid base.
    pub fn parse_base(&self) -> Result<Option<LineBase>, Vec<Problem>> {
        let text = self.get(Column::Base);
        if text.is_empty() {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| {
            let text = truncate_for_message(text);
            vec![self.problem(Column::Base, ProblemReason::InvalidLineBase { text })]
        })
    }

    /// Parses the customer and kind of the row.
    ///
    /// # Errors
    ///
    /// Returns a problem for each cell that is not a valid name.
    pub fn parse_key(&self) -> Result<RowKey, Vec<Problem>> {
        let mut parser = CellParser::new(self);
        let customer = parser.name(Column::Customer, CustomerName::new);
        let kind = parser.name(Column::Kind, KindName::new);
        parser.finish(|| {
            Some(RowKey {
                customer: customer?,
                kind: kind?,
            })
        })
    }

    /// Parses the content of the row.
    ///
    /// # Errors
    ///
    /// Returns a problem for each cell that breaks a rule.
    pub fn parse_row(&self) -> Result<Row, Vec<Problem>> {
        let mut parser = CellParser::new(self);
        let models = parser.models();
        let priority = parser.number(Column::Priority);
        let queued_max = parser.number(Column::QueuedMax);
        let queueing_ms_max = parser.number(Column::QueueingMsMax);
        let running_max = parser.number(Column::RunningMax);
        let tokens_per_second_max = parser.optional_number(Column::TokensPerSecondMax);
        let urgent_share_percent = parser.number(Column::UrgentSharePercent);
        let weight = parser.number(Column::Weight);
        let window = parser.window();
        parser.finish(|| {
            Some(Row {
                models,
                priority: priority?,
                queued_max: queued_max?,
                queueing_ms_max: queueing_ms_max?,
                running_max: running_max?,
                tokens_per_second_max,
                urgent_share_percent: urgent_share_percent?,
                weight: weight?,
                window,
            })
        })
    }

    fn problem(&self, column: Column, reason: ProblemReason) -> Problem {
        Problem {
            column,
            reason,
            row: self.label.clone(),
        }
    }
}

/// Appends the text of one cell; nothing for the base or an unset optional value.
pub(crate) fn write_cell(out: &mut String, column: Column, key: &RowKey, row: &Row) {
    let window = row.window.as_ref();
    match column {
        Column::Base | Column::Changes | Column::Key => (),
        Column::Customer => out.push_str(key.customer.as_str()),
        Column::Kind => out.push_str(key.kind.as_str()),
        Column::Models => write_models(out, &row.models),
        Column::Priority => write_value(out, Some(row.priority)),
        Column::QueuedMax => write_value(out, Some(row.queued_max)),
        Column::QueueingMsMax => write_value(out, Some(row.queueing_ms_max)),
        Column::RunningMax => write_value(out, Some(row.running_max)),
        Column::TokensPerSecondMax => write_value(out, row.tokens_per_second_max),
        Column::UrgentSharePercent => write_value(out, Some(row.urgent_share_percent)),
        Column::Weight => write_value(out, Some(row.weight)),
        Column::WindowEnd => write_value(out, window.map(|window| window.end)),
        Column::WindowPriority => write_value(out, window.map(|window| window.priority)),
        Column::WindowStart => write_value(out, window.map(|window| window.start)),
        Column::WindowTimeZone => write_value(out, window.map(|window| &window.time_zone)),
        Column::WindowWeight => write_value(out, window.map(|window| window.weight)),
    }
}

fn write_models(out: &mut String, models: &[ModelName]) {
    for (position, model) in models.iter().enumerate() {
        if position > 0 {
            out.push(MODEL_SEPARATOR);
        }
        out.push_str(model.as_str());
    }
}

fn write_value(out: &mut String, value: Option<impl Display>) {
    if let Some(value) = value {
        write!(out, "{value}").expect("writing to a string does not fail");
    }
}

/// Parses cells and collects the problems of all of them.
struct CellParser<'a> {
    cells: &'a RowCells,
    problems: Vec<Problem>,
}

impl<'a> CellParser<'a> {
    fn new(cells: &'a RowCells) -> Self {
        Self {
            cells,
            problems: Vec::new(),
        }
    }

    fn add_problem<T>(&mut self, column: Column, reason: ProblemReason) -> Option<T> {
        self.problems.push(self.cells.problem(column, reason));
        None
    }

    fn finish<T>(self, value: impl FnOnce() -> Option<T>) -> Result<T, Vec<Problem>> {
        if !self.problems.is_empty() {
            return Err(self.problems);
        }
        Ok(value().expect("a missing value was reported as a problem"))
    }

    fn models(&mut self) -> Vec<ModelName> {
        let text = self.cells.get(Column::Models);
        let names = text.split(MODEL_SEPARATOR).map(str::trim);
        let mut models: Vec<ModelName> = names
            .filter(|name| !name.is_empty())
            .filter_map(|name| match ModelName::new(name) {
                Ok(model) => Some(model),
                Err(error) => self.add_problem(Column::Models, name_reason(&error)),
            })
            .collect();
        models.sort_unstable();
        models
    }

    fn name<T>(
        &mut self,
        column: Column,
        new: impl FnOnce(&str) -> Result<T, names::Error>,
    ) -> Option<T> {
        match new(self.required_text(column)?) {
            Ok(name) => Some(name),
            Err(error) => self.add_problem(column, name_reason(&error)),
        }
    }

    fn number<T: TryFrom<i64>>(&mut self, column: Column) -> Option<T> {
        let text = self.required_text(column)?;
        let Ok(value) = text.parse::<i64>() else {
            let text = truncate_for_message(text);
            return self.add_problem(column, ProblemReason::NotANumber { text });
        };
        if let Some(reason) = range_problem(column, value) {
            return self.add_problem(column, reason);
        }
        let value = T::try_from(value).ok();
        assert!(
            value.is_some(),
            "{column} allows {:?}",
            allowed_range(column)
        );
        value
    }

    fn optional_number<T: TryFrom<i64>>(&mut self, column: Column) -> Option<T> {
        if self.cells.get(column).is_empty() {
            return None;
        }
        self.number(column)
    }

    fn required_text(&mut self, column: Column) -> Option<&'a str> {
        match self.cells.get(column) {
            "" => self.add_problem(column, ProblemReason::Missing),
            text => Some(text),
        }
    }

    fn time(&mut self, column: Column) -> Option<LocalTime> {
        let text = self.required_text(column)?;
        match text.parse() {
            Ok(time) => Some(time),
            Err(_) => self.add_problem(
                column,
                ProblemReason::NotATime {
                    text: truncate_for_message(text),
                },
            ),
        }
    }

    fn window(&mut self) -> Option<Window> {
        let columns = [
            Column::WindowEnd,
            Column::WindowPriority,
            Column::WindowStart,
            Column::WindowTimeZone,
            Column::WindowWeight,
        ];
        if columns
            .iter()
            .all(|&column| self.cells.get(column).is_empty())
        {
            return None;
        }
        let end = self.time(Column::WindowEnd);
        let priority = self.number(Column::WindowPriority);
        let start = self.time(Column::WindowStart);
        let time_zone = self.required_text(Column::WindowTimeZone);
        let weight = self.number(Column::WindowWeight);
        Some(Window {
            end: end?,
            priority: priority?,
            start: start?,
            time_zone: time_zone?.into(),
            weight: weight?,
        })
    }
}

fn name_reason(error: &names::Error) -> ProblemReason {
    ProblemReason::Name {
        detail: error.to_string(),
    }
}

fn truncate_for_message(text: &str) -> String {
    text.chars().take(QUOTED_CHARS_MAX).collect()
}

use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use crate::experiment::columns::{COLUMNS, RunResult};
use crate::experiment::scenario::Scenario;
use crate::experiment::{comparison, plot};

/// Results of one policy in one run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunSummary {
    pub(crate) fault: String,
    pub(crate) load: String,
    pub(crate) load_factor: f64,
    pub(crate) policy: String,
    pub(crate) seed: u64,
    pub(crate) values: Vec<f64>,
}

/// Results of many runs.
#[derive(Debug, Default)]
pub struct Report {
    /// One summary for each policy and run.
    pub summaries: Vec<RunSummary>,
}

impl Report {
    /// Text table of the printed columns, and a comparison with the best baseline.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!("{:<32} {:<15}", "run", "policy");
        for column in COLUMNS.iter().filter(|column| column.is_printed()) {
            let _ = write!(text, " {:>1$}", column.name, column.width());
        }
        text.push('\n');
        for summary in &self.summaries {
            let run = format!("{} #{}", summary.run_name(), summary.seed);
            let _ = write!(text, "{run:<32} {:<15}", summary.policy);
            for (column, value) in COLUMNS.iter().zip(&summary.values) {
                if column.is_printed() {
                    let _ = write!(text, " {value:>0$.1$}", column.width(), column.decimals);
                }
            }
            text.push('\n');
        }
        text + "\n" + &comparison::format_comparison(&self.summaries)
    }

    /// Writes `table.txt`, `summary.csv` and a plot for each load file.
    ///
    /// # Errors
    ///
    /// When a file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), Box<dyn Error>> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("table.txt"), self.table())?;
        let mut csv = csv::Writer::from_path(folder.join("summary.csv"))?;
        let keys = ["load", "load_factor", "fault", "seed", "policy"];
        csv.write_record(
            keys.into_iter()
                .chain(COLUMNS.iter().map(|column| column.name)),
        )?;
        for summary in &self.summaries {
            csv.write_record(summary.record())?;
        }
        csv.flush()?;
        plot::write_plots(&self.summaries, folder)
    }
}

impl RunSummary {
    /// Value of a column by its name; none for an unknown name.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<f64> {
        let position = COLUMNS.iter().position(|column| column.name == name)?;
        Some(self.values[position])
    }

    pub(crate) fn from_result(scenario: &Scenario, result: &RunResult<'_>) -> Self {
        Self {
            fault: scenario.fault_name.clone(),
            load: result.load.name.clone(),
            load_factor: scenario.load_factor,
            policy: result.policy.name().to_owned(),
            seed: scenario.seed,
            values: COLUMNS.iter().map(|column| column.value(result)).collect(),
        }
    }

    /// Load, load factor and fault; equal for all seeds and policies.
    pub(crate) fn run_name(&self) -> String {
        format!("{} x{} {}", self.load, self.load_factor, self.fault)
    }

    fn record(&self) -> Vec<String> {
        let (load_factor, seed) = (self.load_factor.to_string(), self.seed.to_string());
        let keys = [
            self.load.clone(),
            load_factor,
            self.fault.clone(),
            seed,
            self.policy.clone(),
        ];
        let values = self.values.iter().map(|value| format!("{value:.4}"));
        keys.into_iter().chain(values).collect()
    }
}

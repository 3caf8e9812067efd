use std::fs;

use gumdrop::Options;

use crate::environment::ProcessEnvironment;
use crate::error::Error;
use crate::options::{CheckOptions, ServeOptions};
use crate::serve_settings::read_serve_settings;

/// Runs `check`: validates settings and a table file without serving, and reports all problems.
pub(crate) fn run(options: &CheckOptions) -> Result<(), Error> {
    let mut problems = setting_problems(&options.serve)?;
    if let Some(path) = &options.table {
        problems.extend(table_problems(path)?);
    }
    if !problems.is_empty() {
        return Err(Error::problems(&problems));
    }
    println!("no problems found");
    Ok(())
}

fn setting_problems(arguments: &[String]) -> Result<Vec<String>, Error> {
    let options = ServeOptions::parse_args_default(arguments)
        .map_err(|error| Error::usage(&error.to_string()))?;
    let problems = read_serve_settings(&options, &ProcessEnvironment).err();
    let lines = problems.unwrap_or_default();
    Ok(lines.iter().map(ToString::to_string).collect())
}

fn table_problems(path: &str) -> Result<Vec<String>, Error> {
    let text = fs::read_to_string(path)
        .map_err(|error| Error::Failed(format!("cannot read `{path}`: {error}")))?;
    let problems = match table::read_csv(&text) {
        Ok(rows) => rows.err().unwrap_or_default(),
        Err(error) => return Ok(vec![format!("{path}: {error}")]),
    };
    Ok(problems
        .iter()
        .map(|problem| format!("{path}: {problem}"))
        .collect())
}

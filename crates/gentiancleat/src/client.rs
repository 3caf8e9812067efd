//! Commands that talk to a running instance.

use std::fs;

use admin::{AdminClient, KeyHolder, Response, render};
use serde_json::Value;
use tokio::runtime::Builder;

use crate::error::Error;
use crate::options::{ArgumentOptions, ClientOptions, KeyCommand, TableCommand};
use crate::source::{ProcessEnvironment, value};

/// Edits listed by `table history`.
const HISTORY_EDITS: usize = 100;

/// Where a command goes and how its answer is printed.
struct Target {
    client: AdminClient,
    json: bool,
}

/// Starts a planned stop of an instance.
pub(crate) fn drain(options: &ClientOptions) -> Result<(), Error> {
    let target = target(options)?;
    target.print(run(target.client.drain())?, render::fields)
}

/// Lists endpoints.
pub(crate) fn endpoints(options: &ClientOptions) -> Result<(), Error> {
    let target = target(options)?;
    target.print(run(target.client.endpoints())?, render::endpoints)
}

/// Lists instances.
pub(crate) fn instances(options: &ClientOptions) -> Result<(), Error> {
    let target = target(options)?;
    target.print(run(target.client.instances())?, render::instances)
}

/// Makes a key of a customer or operator and prints it once.
pub(crate) fn key(command: Option<KeyCommand>) -> Result<(), Error> {
    match command {
        Some(KeyCommand::Customer(options)) => {
            let [name] = arguments(&options, "key customer NAME")?;
            create_key(&options, &KeyHolder::Customer(name))
        }
        Some(KeyCommand::Operator(options)) => {
            let [name, role] = arguments(&options, "key operator NAME ROLE")?;
            let role = serde_json::from_value(Value::String(role))
                .map_err(|_| Error::usage("ROLE is one of read, edit, operate"))?;
            create_key(&options, &KeyHolder::Operator(name, role))
        }
        None => Err(Error::usage("no command; see gentiancleat key --help")),
    }
}

/// Shows the state of an instance.
pub(crate) fn status(options: &ClientOptions) -> Result<(), Error> {
    let target = target(options)?;
    target.print(run(target.client.status())?, render::fields)
}

/// Shows and changes the table.
pub(crate) fn table(command: Option<TableCommand>) -> Result<(), Error> {
    match command {
        Some(TableCommand::Apply(options)) => apply(&options),
        Some(TableCommand::Diff(options)) => diff(&options),
        Some(TableCommand::History(options)) => {
            let target = target(&options)?;
            target.print(run(target.client.history(HISTORY_EDITS))?, render::history)
        }
        Some(TableCommand::Kind(options)) => {
            let [kind] = arguments(&options, "table kind NAME")?;
            let target = target(&options.client())?;
            target.print(run(target.client.put_kind(&kind))?, render::fields)
        }
        Some(TableCommand::Set(options)) => set(&options),
        Some(TableCommand::Show(options)) => {
            let target = target(&options)?;
            target.print(run(target.client.table_show(None))?, render::rows)
        }
        None => Err(Error::usage("no command; see gentiancleat table --help")),
    }
}

impl Target {
    /// Prints an answer as JSON, or as `text` aligns it.
    fn print(&self, response: Response, text: impl Fn(&Value) -> String) -> Result<(), Error> {
        let document = response.json();
        if !response.is_success() {
            let problem = if self.json {
                response.body
            } else {
                render::problem(&document)
            };
            return Err(Error::Failed(problem.trim_end().to_owned()));
        }
        if self.json {
            println!("{}", response.body);
        } else {
            print!("{}", text(&document));
        }
        Ok(())
    }
}

fn apply(options: &ArgumentOptions) -> Result<(), Error> {
    let csv = read(options, "table apply FILE")?;
    let target = target(&options.client())?;
    let difference = run(target.client.table_diff(&csv))?;
    if difference.is_success() && !target.json {
        print!("{}", difference.body);
    }
    target.print(run(target.client.table_apply(&csv))?, render::fields)
}

fn arguments<const N: usize>(options: &ArgumentOptions, usage: &str) -> Result<[String; N], Error> {
    <[String; N]>::try_from(options.arguments.clone())
        .map_err(|_| Error::usage(&format!("usage: gentiancleat {usage}")))
}

fn diff(options: &ArgumentOptions) -> Result<(), Error> {
    let csv = read(options, "table diff FILE")?;
    let target = target(&options.client())?;
    let difference = run(target.client.table_diff(&csv))?;
    if difference.is_success() {
        print!("{}", difference.body);
        return Ok(());
    }
    target.print(difference, render::fields)
}

fn create_key(options: &ArgumentOptions, holder: &KeyHolder) -> Result<(), Error> {
    let target = target(&options.client())?;
    let (key, response) = run(target.client.create_key(holder))?;
    let made = response.is_success();
    target.print(response, render::fields)?;
    if made {
        println!("key  {key}");
    }
    Ok(())
}

fn read(options: &ArgumentOptions, usage: &str) -> Result<String, Error> {
    let [path] = arguments(options, usage)?;
    fs::read_to_string(&path)
        .map_err(|error| Error::Failed(format!("cannot read `{path}`: {error}")))
}

fn run<T>(call: impl Future<Output = Result<T, admin::Error>>) -> Result<T, Error> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::failed)?;
    runtime.block_on(call).map_err(Error::failed)
}

fn set(options: &ArgumentOptions) -> Result<(), Error> {
    let usage = || Error::usage("usage: gentiancleat table set CUSTOMER KIND COLUMN=VALUE...");
    let [customer, kind, fields @ ..] = options.arguments.as_slice() else {
        return Err(usage());
    };
    let fields: Option<Vec<(String, String)>> = fields
        .iter()
        .map(|field| field.split_once('='))
        .map(|field| field.map(|(column, value)| (column.to_owned(), value.to_owned())))
        .collect();
    let fields = fields.ok_or_else(usage)?;
    let target = target(&options.client())?;
    let set = run(target.client.table_set(customer, kind, &fields))?;
    target.print(set, render::fields)
}

fn target(options: &ClientOptions) -> Result<Target, Error> {
    let environment = ProcessEnvironment;
    let address = value(
        "admin-address",
        options.admin_address.as_ref(),
        &environment,
    )
    .ok_or_else(|| Error::usage("--admin-address (GENTIANCLEAT_ADMIN_ADDRESS) is required"))?;
    let key = value("operator-key", options.operator_key.as_ref(), &environment);
    Ok(Target {
        client: AdminClient::new(&address, key.as_deref()),
        json: options.json,
    })
}

//! Commands that send requests to the admin address of a running instance.

use std::fs;

use admin::{AdminClient, KeyOwner, Response, render};
use serde_json::Value;
use tokio::runtime::Builder;

use crate::environment::{ProcessEnvironment, flag_or_variable};
use crate::error::Error;
use crate::options::{ArgumentOptions, ClientOptions, KeyCommand, TableCommand};

/// Most edits that `table history` lists.
const HISTORY_EDITS_MAX: usize = 100;

/// Admin client and output format of one command.
struct CommandContext {
    client: AdminClient,
    prints_json: bool,
}

/// Runs `drain`: starts a planned stop of the instance.
pub(crate) fn drain(options: &ClientOptions) -> Result<(), Error> {
    let context = command_context(options)?;
    context.print(block_on(context.client.drain())?, render::fields)
}

/// Runs `endpoints`: lists the endpoints.
pub(crate) fn endpoints(options: &ClientOptions) -> Result<(), Error> {
    let context = command_context(options)?;
    context.print(block_on(context.client.endpoints())?, render::endpoints)
}

/// Runs `instances`: lists the instances.
pub(crate) fn instances(options: &ClientOptions) -> Result<(), Error> {
    let context = command_context(options)?;
    context.print(block_on(context.client.instances())?, render::instances)
}

/// Runs `key`: creates a key of a customer or operator and prints it, which is not possible later.
pub(crate) fn key(command: Option<KeyCommand>) -> Result<(), Error> {
    match command {
        Some(KeyCommand::Customer(options)) => {
            let [name] = exact_arguments(&options, "key customer NAME")?;
            create_key(&options, &KeyOwner::Customer(name))
        }
        Some(KeyCommand::Operator(options)) => {
            let [name, role] = exact_arguments(&options, "key operator NAME ROLE")?;
            let role = serde_json::from_value(Value::String(role))
                .map_err(|_| Error::usage("ROLE is one of read, edit, operate"))?;
            create_key(&options, &KeyOwner::Operator(name, role))
        }
        None => Err(Error::usage("no command; see gentiancleat key --help")),
    }
}

/// Runs `status`: shows the state of the instance.
pub(crate) fn status(options: &ClientOptions) -> Result<(), Error> {
    let context = command_context(options)?;
    context.print(block_on(context.client.status())?, render::fields)
}

/// Runs `table`: shows or changes the table.
pub(crate) fn table(command: Option<TableCommand>) -> Result<(), Error> {
    match command {
        Some(TableCommand::Apply(options)) => apply_table(&options),
        Some(TableCommand::Diff(options)) => diff_table(&options),
        Some(TableCommand::History(options)) => {
            let context = command_context(&options)?;
            context.print(
                block_on(context.client.history(HISTORY_EDITS_MAX))?,
                render::history,
            )
        }
        Some(TableCommand::Kind(options)) => {
            let [kind] = exact_arguments(&options, "table kind NAME")?;
            let context = command_context(&options.client())?;
            context.print(block_on(context.client.put_kind(&kind))?, render::fields)
        }
        Some(TableCommand::Set(options)) => set_row(&options),
        Some(TableCommand::Show(options)) => {
            let context = command_context(&options)?;
            context.print(block_on(context.client.table_show(None))?, render::rows)
        }
        None => Err(Error::usage("no command; see gentiancleat table --help")),
    }
}

impl CommandContext {
    /// Prints the response as JSON, or as `render_text` formats it; a problem is returned as the error.
    fn print(
        &self,
        response: Response,
        render_text: impl Fn(&Value) -> String,
    ) -> Result<(), Error> {
        let document = response.json();
        if !response.is_success() {
            let problem = if self.prints_json {
                response.body
            } else {
                render::problem(&document)
            };
            return Err(Error::Failed(problem.trim_end().to_owned()));
        }
        if self.prints_json {
            println!("{}", response.body);
        } else {
            print!("{}", render_text(&document));
        }
        Ok(())
    }
}

fn apply_table(options: &ArgumentOptions) -> Result<(), Error> {
    let csv = read_file_argument(options, "table apply FILE")?;
    let context = command_context(&options.client())?;
    let diff = block_on(context.client.table_diff(&csv))?;
    if diff.is_success() && !context.prints_json {
        print!("{}", diff.body);
    }
    context.print(block_on(context.client.table_apply(&csv))?, render::fields)
}

fn exact_arguments<const N: usize>(
    options: &ArgumentOptions,
    usage: &str,
) -> Result<[String; N], Error> {
    <[String; N]>::try_from(options.arguments.clone())
        .map_err(|_| Error::usage(&format!("usage: gentiancleat {usage}")))
}

fn diff_table(options: &ArgumentOptions) -> Result<(), Error> {
    let csv = read_file_argument(options, "table diff FILE")?;
    let context = command_context(&options.client())?;
    let diff = block_on(context.client.table_diff(&csv))?;
    if diff.is_success() {
        print!("{}", diff.body);
        return Ok(());
    }
    context.print(diff, render::fields)
}

fn create_key(options: &ArgumentOptions, owner: &KeyOwner) -> Result<(), Error> {
    let context = command_context(&options.client())?;
    let (key, response) = block_on(context.client.create_key(owner))?;
    let is_created = response.is_success();
    context.print(response, render::fields)?;
    if is_created {
        println!("key  {key}");
    }
    Ok(())
}

fn read_file_argument(options: &ArgumentOptions, usage: &str) -> Result<String, Error> {
    let [path] = exact_arguments(options, usage)?;
    fs::read_to_string(&path)
        .map_err(|error| Error::Failed(format!("cannot read `{path}`: {error}")))
}

fn block_on<T>(response: impl Future<Output = Result<T, admin::Error>>) -> Result<T, Error> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::failed)?;
    runtime.block_on(response).map_err(Error::failed)
}

fn set_row(options: &ArgumentOptions) -> Result<(), Error> {
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
    let context = command_context(&options.client())?;
    let response = block_on(context.client.table_set(customer, kind, &fields))?;
    context.print(response, render::fields)
}

fn command_context(options: &ClientOptions) -> Result<CommandContext, Error> {
    let environment = ProcessEnvironment;
    let address = flag_or_variable(
        "admin-address",
        options.admin_address.as_ref(),
        &environment,
    )
    .ok_or_else(|| Error::usage("--admin-address (GENTIANCLEAT_ADMIN_ADDRESS) is required"))?;
    let key = flag_or_variable("operator-key", options.operator_key.as_ref(), &environment);
    Ok(CommandContext {
        client: AdminClient::new(&address, key.as_deref()),
        prints_json: options.json,
    })
}

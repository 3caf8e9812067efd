//! Commands and flags of the command line.

use std::net::SocketAddr;

use gumdrop::Options;

/// Top-level flags and the command.
#[derive(Debug, Options)]
pub(crate) struct TopOptions {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(help = "print the version", short = "V")]
    pub(crate) version: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// Command of the program.
#[derive(Debug, Options)]
#[expect(
    clippy::large_enum_variant,
    reason = "one value exists per process, and the derive does not accept boxed options"
)]
pub(crate) enum Command {
    #[options(help = "check settings and a table file without serving")]
    Check(CheckOptions),
    #[options(help = "stop an instance gracefully")]
    Drain(ClientOptions),
    #[options(help = "list endpoints")]
    Endpoints(ClientOptions),
    #[options(help = "list instances and voters")]
    Instances(ClientOptions),
    #[options(help = "create a key for a customer or operator")]
    Key(KeyTopOptions),
    #[options(help = "run an instance on the users' platform, by its settings file")]
    Platform(PlatformOptions),
    #[options(help = "run an instance")]
    Serve(ServeOptions),
    #[options(help = "show the state of an instance")]
    Status(ClientOptions),
    #[options(help = "show and change the table")]
    Table(TableOptions),
}

/// Flags of `check`.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(help = "also check this table file", meta = "FILE", no_short)]
    pub(crate) table: Option<String>,
    #[options(free, help = "flags of serve to be checked, after --")]
    pub(crate) serve: Vec<String>,
}

/// Flags of commands that send requests to a running instance.
#[derive(Debug, Default, Options)]
pub(crate) struct ClientOptions {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(help = "admin address of an instance", meta = "IP:PORT", no_short)]
    pub(crate) admin_address: Option<String>,
    #[options(help = "print JSON instead of aligned text", no_short)]
    pub(crate) json: bool,
    #[options(help = "operator's key", meta = "KEY", no_short)]
    pub(crate) operator_key: Option<String>,
}

/// Flags of `key`.
#[derive(Debug, Options)]
pub(crate) struct KeyTopOptions {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<KeyCommand>,
}

/// Command of `key`, which names the owner of the new key.
#[derive(Debug, Options)]
pub(crate) enum KeyCommand {
    #[options(help = "key of a customer: NAME")]
    Customer(ArgumentOptions),
    #[options(help = "key of an operator: NAME ROLE, with ROLE read, edit or operate")]
    Operator(ArgumentOptions),
}

/// Flags and positional arguments of commands that send requests to a running instance.
#[derive(Debug, Default, Options)]
pub(crate) struct ArgumentOptions {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(help = "admin address of an instance", meta = "IP:PORT", no_short)]
    pub(crate) admin_address: Option<String>,
    #[options(free, help = "arguments of the command")]
    pub(crate) arguments: Vec<String>,
    #[options(help = "print JSON instead of aligned text", no_short)]
    pub(crate) json: bool,
    #[options(help = "operator's key", meta = "KEY", no_short)]
    pub(crate) operator_key: Option<String>,
}

/// Flags of `platform`.
#[derive(Debug, Default, Options)]
pub(crate) struct PlatformOptions {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(
        help = "where to listen for other instances, if not at the machine's address",
        meta = "IP:PORT",
        no_short
    )]
    pub(crate) inner_listen: Option<SocketAddr>,
    #[options(help = "lowest severity to log", meta = "LEVEL", no_short)]
    pub(crate) log_level: Option<String>,
    #[options(help = "maximum of log lines per second", meta = "LINES", no_short)]
    pub(crate) log_lines_per_second: Option<u32>,
    #[options(help = "port of the metrics, at /metrics", meta = "PORT", no_short)]
    pub(crate) metrics_port: Option<u16>,
}

/// Flags of `serve`.
#[derive(Debug, Default, Options)]
pub(crate) struct ServeOptions {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(help = "where operators connect", meta = "IP:PORT", no_short)]
    pub(crate) admin_address: Option<String>,
    #[options(help = "where clients connect", meta = "IP:PORT", no_short)]
    pub(crate) caller_address: Option<String>,
    #[options(help = "folder of the replicated state", meta = "PATH", no_short)]
    pub(crate) data: Option<String>,
    #[options(help = "data centre of the instance", meta = "NAME", no_short)]
    pub(crate) data_centre: Option<String>,
    #[options(
        help = "time for the load balancer to notice a drain",
        meta = "MS",
        no_short
    )]
    pub(crate) drain_wait_ms: Option<String>,
    #[options(
        help = "where endpoints announce themselves",
        meta = "IP:PORT",
        no_short
    )]
    pub(crate) endpoint_address: Option<String>,
    #[options(help = "secret shared by all instances", meta = "SECRET", no_short)]
    pub(crate) fleet_key: Option<String>,
    #[options(help = "where other instances connect", meta = "IP:PORT", no_short)]
    pub(crate) inner_address: Option<String>,
    #[options(
        help = "where other instances connect, if not to the inner address",
        meta = "IP:PORT",
        no_short
    )]
    pub(crate) inner_advertised: Option<String>,
    #[options(help = "serve without any keys: yes or no", meta = "YES", no_short)]
    pub(crate) insecure: Option<String>,
    #[options(
        help = "error, warning, info, debug or trace",
        meta = "LEVEL",
        no_short
    )]
    pub(crate) log_level: Option<String>,
    #[options(help = "name of the instance", meta = "NAME", no_short)]
    pub(crate) name: Option<String>,
    #[options(
        help = "key of an operator who may do everything",
        meta = "KEY",
        no_short
    )]
    pub(crate) operator_key: Option<String>,
    #[options(
        help = "other instances, comma separated",
        meta = "NAME=IP:PORT",
        no_short
    )]
    pub(crate) peers: Option<String>,
    #[options(help = "region of the instance", meta = "NAME", no_short)]
    pub(crate) region: Option<String>,
    #[options(
        help = "control, dispatch, entry, comma separated",
        meta = "ROLES",
        no_short
    )]
    pub(crate) roles: Option<String>,
    #[options(help = "shards per region and model", meta = "N", no_short)]
    pub(crate) shards: Option<String>,
    #[options(help = "first voters, comma separated", meta = "NAMES", no_short)]
    pub(crate) voters: Option<String>,
}

/// Flags of `table`.
#[derive(Debug, Options)]
pub(crate) struct TableOptions {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<TableCommand>,
}

/// Command of `table`.
#[derive(Debug, Options)]
pub(crate) enum TableCommand {
    #[options(help = "make the table equal to a CSV file: FILE")]
    Apply(ArgumentOptions),
    #[options(help = "show how a CSV file differs from the table: FILE")]
    Diff(ArgumentOptions),
    #[options(help = "show who changed what and when")]
    History(ClientOptions),
    #[options(help = "add a kind of work: NAME")]
    Kind(ArgumentOptions),
    #[options(help = "change columns of one row: CUSTOMER KIND COLUMN=VALUE...")]
    Set(ArgumentOptions),
    #[options(help = "show all rows")]
    Show(ClientOptions),
}

impl ArgumentOptions {
    pub(crate) fn client(&self) -> ClientOptions {
        ClientOptions {
            admin_address: self.admin_address.clone(),
            help: self.help,
            json: self.json,
            operator_key: self.operator_key.clone(),
        }
    }
}

//! Checks the settings of `serve` and names every problem at once.

use std::fmt::Display;
use std::path::PathBuf;
use std::str::FromStr;

use names::InstanceName;
use node::{Access, Peer, Settings};
use protocol::FleetKey;
use session::Role;
use telemetry::{LOG_LINES_PER_SECOND_DEFAULT, LogLevel, logger};

use crate::options::ServeOptions;
use crate::problem::Problem;
use crate::source::{Environment, value};

const DEFAULT_DRAIN_WAIT_MS: u64 = 5_000;
const DEFAULT_LOG_LEVEL: &str = "info";
const DEFAULT_ROLES: &str = "control,dispatch,entry";
const DEFAULT_SHARDS: u16 = 1;
const FLEET_KEY_BYTES_MIN: usize = 16;
const INSECURE_FLEET_KEY: &str = "insecure";
const OPERATOR_KEY_BYTES_MIN: usize = 16;

/// Settings of `serve`, or every problem with them.
///
/// # Errors
///
/// Returns all problems, in the order of the flags.
pub(crate) fn settings(
    options: &ServeOptions,
    environment: &dyn Environment,
) -> Result<Settings, Vec<Problem>> {
    let mut reader = Reader {
        environment,
        problems: Vec::new(),
    };
    let settings = reader.settings(options);
    match settings {
        Some(settings) if reader.problems.is_empty() => Ok(settings),
        _ => Err(reader.problems),
    }
}

struct Reader<'a> {
    environment: &'a dyn Environment,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn access(&mut self, options: &ServeOptions) -> Option<(Access, FleetKey)> {
        let insecure = self.insecure(options)?;
        let fleet_key = self.value("fleet-key", options.fleet_key.as_ref());
        let operator_key = self.value("operator-key", options.operator_key.as_ref());
        if insecure {
            let secret = fleet_key.unwrap_or_else(|| INSECURE_FLEET_KEY.to_owned());
            return Some((Access::Insecure, FleetKey::new(secret.as_bytes())));
        }
        let fleet_key = self.secret("fleet-key", fleet_key, FLEET_KEY_BYTES_MIN);
        let operator_key = self.secret("operator-key", operator_key, OPERATOR_KEY_BYTES_MIN);
        let operator_key = operator_key?;
        Some((
            Access::Keys { operator_key },
            FleetKey::new(fleet_key?.as_bytes()),
        ))
    }

    fn fail<T>(&mut self, flag: &'static str, text: impl Into<String>) -> Option<T> {
        self.problems.push(Problem::new(flag, text));
        None
    }

    fn given<T>(&mut self, flag: &'static str, given: Option<&String>) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.value(flag, given)?;
        self.parsed(flag, &text)
    }

    fn insecure(&mut self, options: &ServeOptions) -> Option<bool> {
        match self.value("insecure", options.insecure.as_ref()).as_deref() {
            None | Some("no") => Some(false),
            Some("yes") => Some(true),
            Some(other) => self.fail("insecure", format!("`{other}` is neither yes nor no")),
        }
    }

    fn list<T>(&mut self, flag: &'static str, text: Option<String>) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        text.unwrap_or_default()
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .filter_map(|item| self.parsed(flag, item))
            .collect()
    }

    fn optional<T>(&mut self, flag: &'static str, given: Option<&String>, default: T) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match self.value(flag, given) {
            Some(text) => self.parsed(flag, &text),
            None => Some(default),
        }
    }

    fn parsed<T>(&mut self, flag: &'static str, text: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => self.fail(flag, format!("`{text}`: {error}")),
        }
    }

    fn peers(&mut self, options: &ServeOptions) -> Vec<Peer> {
        let text = self
            .value("peers", options.peers.as_ref())
            .unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .filter_map(|item| self.peer(item))
            .collect()
    }

    fn peer(&mut self, item: &str) -> Option<Peer> {
        let Some((name, address)) = item.split_once('=') else {
            return self.fail("peers", format!("`{item}` is not NAME=IP:PORT"));
        };
        let name = self.parsed("peers", name);
        let address = self.parsed("peers", address);
        Some(Peer {
            address: address?,
            name: name?,
        })
    }

    fn required<T>(&mut self, flag: &'static str, given: Option<&String>) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match self.value(flag, given) {
            Some(text) => self.parsed(flag, &text),
            None => self.fail(flag, "is required"),
        }
    }

    fn roles(&mut self, options: &ServeOptions) -> Vec<Role> {
        let text = self
            .value("roles", options.roles.as_ref())
            .unwrap_or_else(|| DEFAULT_ROLES.to_owned());
        let mut roles: Vec<Role> = text
            .split(',')
            .map(str::trim)
            .filter_map(|item| match item {
                "control" => Some(Role::Control),
                "dispatch" => Some(Role::Dispatch),
                "entry" => Some(Role::Entry),
                other => self.fail(
                    "roles",
                    format!("`{other}` is not one of control, dispatch, entry"),
                ),
            })
            .collect();
        roles.sort_unstable();
        roles.dedup();
        roles
    }

    fn secret(&mut self, flag: &'static str, text: Option<String>, min: usize) -> Option<String> {
        match text {
            Some(secret) if secret.len() >= min => Some(secret),
            Some(_) => self.fail(flag, format!("is shorter than {min} bytes")),
            None => self.fail(flag, "is required unless --insecure yes is set"),
        }
    }

    fn settings(&mut self, options: &ServeOptions) -> Option<Settings> {
        let access = self.access(options);
        let admin_address = self.required("admin-address", options.admin_address.as_ref());
        let caller_address = self.required("caller-address", options.caller_address.as_ref());
        let data = self.value("data", options.data.as_ref()).map(PathBuf::from);
        let data_centre = self.required("data-centre", options.data_centre.as_ref());
        let drain_wait_ms = self.optional(
            "drain-wait-ms",
            options.drain_wait_ms.as_ref(),
            DEFAULT_DRAIN_WAIT_MS,
        );
        let endpoint_address = self.required("endpoint-address", options.endpoint_address.as_ref());
        let inner_address = self.required("inner-address", options.inner_address.as_ref());
        let inner_advertised = self.given("inner-advertised", options.inner_advertised.as_ref());
        let level = self.log_level(options);
        let name: Option<InstanceName> = self.required("name", options.name.as_ref());
        let peers = self.peers(options);
        let region = self.required("region", options.region.as_ref());
        let mut roles = self.roles(options);
        let shards = self.optional("shards", options.shards.as_ref(), DEFAULT_SHARDS);
        let voters = self.value("voters", options.voters.as_ref());
        let voters: Vec<InstanceName> = self.list("voters", voters);

        if data.is_none() {
            roles.retain(|role| *role != Role::Control);
        }
        let name = name?;
        self.check_voters(&name, data.is_some(), &voters, &peers);
        if shards == Some(0) {
            return self.fail("shards", "is zero");
        }
        let (access, fleet_key) = access?;
        Some(Settings {
            access,
            admin_address: admin_address?,
            client_address: caller_address?,
            data_centre: data_centre?,
            data_folder: data,
            drain_wait_ms: drain_wait_ms?,
            endpoint_address: endpoint_address?,
            fleet_key,
            inner_address: inner_address?,
            inner_advertised,
            log: logger(level?, LOG_LINES_PER_SECOND_DEFAULT),
            name,
            peers,
            region: region?,
            roles,
            shards_per_offer: shards?,
            voters,
        })
    }

    fn check_voters(
        &mut self,
        name: &InstanceName,
        has_data: bool,
        voters: &[InstanceName],
        peers: &[Peer],
    ) {
        if voters.is_empty() {
            self.fail::<()>("voters", "names no voter");
        }
        if voters.contains(name) && !has_data {
            self.fail::<()>("data", format!("is required because `{name}` is a voter"));
        }
        let unknown = voters
            .iter()
            .filter(|voter| *voter != name && peers.iter().all(|peer| peer.name != **voter));
        for voter in unknown {
            self.fail::<()>("peers", format!("has no address of the voter `{voter}`"));
        }
    }

    fn log_level(&mut self, options: &ServeOptions) -> Option<LogLevel> {
        let text = self
            .value("log-level", options.log_level.as_ref())
            .unwrap_or_else(|| DEFAULT_LOG_LEVEL.to_owned());
        self.parsed("log-level", &text)
    }

    fn value(&self, flag: &str, given: Option<&String>) -> Option<String> {
        value(flag, given, self.environment)
    }
}

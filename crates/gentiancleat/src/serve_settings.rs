//! Reads the settings of `serve` from flags and environment variables, and reports all problems.

use std::fmt::Display;
use std::path::PathBuf;
use std::str::FromStr;

use names::InstanceName;
use node::{Access, Peer, Settings};
use protocol::FleetKey;
use session::Role;
use telemetry::{LOG_LINES_PER_SECOND_DEFAULT, LogLevel, logger};

use crate::environment::{Environment, flag_or_variable};
use crate::options::ServeOptions;
use crate::setting_problem::SettingProblem;

const DRAIN_WAIT_MS_DEFAULT: u64 = 5_000;
const FLEET_KEY_BYTES_MIN: usize = 16;
const FLEET_KEY_INSECURE: &str = "insecure";
const LOG_LEVEL_DEFAULT: &str = "info";
const OPERATOR_KEY_BYTES_MIN: usize = 16;
const ROLES_DEFAULT: &str = "control,dispatch,entry";
const SHARDS_DEFAULT: u16 = 1;

/// Reads and validates the settings of `serve`.
///
/// # Errors
///
/// Returns all problems.
pub(crate) fn read_serve_settings(
    options: &ServeOptions,
    environment: &dyn Environment,
) -> Result<Settings, Vec<SettingProblem>> {
    let mut reader = SettingsReader {
        environment,
        problems: Vec::new(),
    };
    let settings = reader.settings(options);
    match settings {
        Some(settings) if reader.problems.is_empty() => Ok(settings),
        _ => Err(reader.problems),
    }
}

/// Reads flags and their environment variables, and collects problems on the way.
struct SettingsReader<'a> {
    environment: &'a dyn Environment,
    problems: Vec<SettingProblem>,
}

impl SettingsReader<'_> {
    fn access(&mut self, options: &ServeOptions) -> Option<(Access, FleetKey)> {
        let is_insecure = self.is_insecure(options)?;
        let fleet_key = self.flag_or_variable("fleet-key", options.fleet_key.as_ref());
        let operator_key = self.flag_or_variable("operator-key", options.operator_key.as_ref());
        if is_insecure {
            let secret = fleet_key.unwrap_or_else(|| FLEET_KEY_INSECURE.to_owned());
            return Some((Access::Insecure, FleetKey::new(secret.as_bytes())));
        }
        let fleet_key = self.require_secret("fleet-key", fleet_key, FLEET_KEY_BYTES_MIN);
        let operator_key =
            self.require_secret("operator-key", operator_key, OPERATOR_KEY_BYTES_MIN);
        let operator_key = operator_key?;
        Some((
            Access::Keys { operator_key },
            FleetKey::new(fleet_key?.as_bytes()),
        ))
    }

    /// Records a problem and returns `None`.
    fn add_problem<T>(&mut self, flag: &'static str, text: impl Into<String>) -> Option<T> {
        self.problems.push(SettingProblem::new(flag, text));
        None
    }

    fn parse_if_set<T>(&mut self, flag: &'static str, flag_value: Option<&String>) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.flag_or_variable(flag, flag_value)?;
        self.parse(flag, &text)
    }

    fn is_insecure(&mut self, options: &ServeOptions) -> Option<bool> {
        match self
            .flag_or_variable("insecure", options.insecure.as_ref())
            .as_deref()
        {
            None | Some("no") => Some(false),
            Some("yes") => Some(true),
            Some(other) => self.add_problem("insecure", format!("`{other}` is neither yes nor no")),
        }
    }

    fn parse_list<T>(&mut self, flag: &'static str, text: Option<String>) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        text.unwrap_or_default()
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .filter_map(|item| self.parse(flag, item))
            .collect()
    }

    fn parse_or_default<T>(
        &mut self,
        flag: &'static str,
        flag_value: Option<&String>,
        default: T,
    ) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match self.flag_or_variable(flag, flag_value) {
            Some(text) => self.parse(flag, &text),
            None => Some(default),
        }
    }

    fn parse<T>(&mut self, flag: &'static str, text: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => self.add_problem(flag, format!("`{text}`: {error}")),
        }
    }

    fn peers(&mut self, options: &ServeOptions) -> Vec<Peer> {
        let text = self
            .flag_or_variable("peers", options.peers.as_ref())
            .unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .filter_map(|item| self.peer(item))
            .collect()
    }

    fn peer(&mut self, item: &str) -> Option<Peer> {
        let Some((name, address)) = item.split_once('=') else {
            return self.add_problem("peers", format!("`{item}` is not NAME=IP:PORT"));
        };
        let name = self.parse("peers", name);
        let address = self.parse("peers", address);
        Some(Peer {
            address: address?,
            name: name?,
        })
    }

    fn parse_required<T>(&mut self, flag: &'static str, flag_value: Option<&String>) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match self.flag_or_variable(flag, flag_value) {
            Some(text) => self.parse(flag, &text),
            None => self.add_problem(flag, "is required"),
        }
    }

    fn roles(&mut self, options: &ServeOptions) -> Vec<Role> {
        let text = self
            .flag_or_variable("roles", options.roles.as_ref())
            .unwrap_or_else(|| ROLES_DEFAULT.to_owned());
        let mut roles: Vec<Role> = text
            .split(',')
            .map(str::trim)
            .filter_map(|item| match item {
                "control" => Some(Role::Control),
                "dispatch" => Some(Role::Dispatch),
                "entry" => Some(Role::Entry),
                other => self.add_problem(
                    "roles",
                    format!("`{other}` is not one of control, dispatch, entry"),
                ),
            })
            .collect();
        roles.sort_unstable();
        roles.dedup();
        roles
    }

    fn require_secret(
        &mut self,
        flag: &'static str,
        text: Option<String>,
        bytes_min: usize,
    ) -> Option<String> {
        match text {
            Some(secret) if secret.len() >= bytes_min => Some(secret),
            Some(_) => self.add_problem(flag, format!("is shorter than {bytes_min} bytes")),
            None => self.add_problem(flag, "is required unless --insecure yes is set"),
        }
    }

    fn settings(&mut self, options: &ServeOptions) -> Option<Settings> {
        let access = self.access(options);
        let admin_address = self.parse_required("admin-address", options.admin_address.as_ref());
        let client_address = self.parse_required("caller-address", options.caller_address.as_ref());
        let data_folder = self
            .flag_or_variable("data", options.data.as_ref())
            .map(PathBuf::from);
        let data_centre = self.parse_required("data-centre", options.data_centre.as_ref());
        let drain_wait_ms = self.parse_or_default(
            "drain-wait-ms",
            options.drain_wait_ms.as_ref(),
            DRAIN_WAIT_MS_DEFAULT,
        );
        let endpoint_address =
            self.parse_required("endpoint-address", options.endpoint_address.as_ref());
        let inner_address = self.parse_required("inner-address", options.inner_address.as_ref());
        let inner_advertised =
            self.parse_if_set("inner-advertised", options.inner_advertised.as_ref());
        let level = self.log_level(options);
        let name: Option<InstanceName> = self.parse_required("name", options.name.as_ref());
        let peers = self.peers(options);
        let region = self.parse_required("region", options.region.as_ref());
        let mut roles = self.roles(options);
        let shards_per_offer =
            self.parse_or_default("shards", options.shards.as_ref(), SHARDS_DEFAULT);
        let voters = self.flag_or_variable("voters", options.voters.as_ref());
        let voters: Vec<InstanceName> = self.parse_list("voters", voters);

        if data_folder.is_none() {
            roles.retain(|role| *role != Role::Control);
        }
        let name = name?;
        self.check_voters(&name, data_folder.is_some(), &voters, &peers);
        if shards_per_offer == Some(0) {
            return self.add_problem("shards", "is zero");
        }
        let (access, fleet_key) = access?;
        Some(Settings {
            access,
            admin_address: admin_address?,
            client_address: client_address?,
            data_centre: data_centre?,
            data_folder,
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
            shards_per_offer: shards_per_offer?,
            voters,
        })
    }

    fn check_voters(
        &mut self,
        name: &InstanceName,
        has_data_folder: bool,
        voters: &[InstanceName],
        peers: &[Peer],
    ) {
        if voters.is_empty() {
            self.add_problem::<()>("voters", "names no voter");
        }
        if voters.contains(name) && !has_data_folder {
            self.add_problem::<()>("data", format!("is required because `{name}` is a voter"));
        }
        let without_address = voters
            .iter()
            .filter(|voter| *voter != name && peers.iter().all(|peer| peer.name != **voter));
        for voter in without_address {
            self.add_problem::<()>("peers", format!("has no address of the voter `{voter}`"));
        }
    }

    fn log_level(&mut self, options: &ServeOptions) -> Option<LogLevel> {
        let text = self
            .flag_or_variable("log-level", options.log_level.as_ref())
            .unwrap_or_else(|| LOG_LEVEL_DEFAULT.to_owned());
        self.parse("log-level", &text)
    }

    fn flag_or_variable(&self, flag: &str, flag_value: Option<&String>) -> Option<String> {
        flag_or_variable(flag, flag_value, self.environment)
    }
}

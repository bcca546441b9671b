//! The command line and the TOML configuration of an instance.

use crate::store::Limits;
use clap::Parser;
use micapier::fleet::config::{FleetConfig, FleetConfigError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{fs, io};

/// The command line; what it names wins over the file.
#[derive(Debug, Parser)]
#[command(
    name = "listd",
    version,
    about = "The list service: upstreams and sidecars, with revisions and watches"
)]
pub struct Args {
    /// The TOML configuration.
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Where to listen for HTTP, as `IP:PORT`.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// The store's file.
    #[arg(long)]
    pub data: Option<PathBuf>,
    /// This instance's id among the peers of the file.
    #[arg(long)]
    pub id: Option<u64>,
}

/// The file's form. Every field has a default, so an empty file is a whole configuration.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    pub listen: SocketAddr,
    pub data: PathBuf,
    /// Revisions of tombstones kept for watchers that are behind: some minutes of a busy fleet's changes.
    pub retain: u64,
    /// How long an entry stays after its lease lapsed, in ms: a paused owner or a late beat is not a dead one.
    pub grace_ms: u64,
    /// The most entries, tombstones included: 300 sidecars and 200 upstreams many times over.
    pub max_entries: usize,
    /// Connections served at once, those that are kept for the other instances included; a client beyond is refused.
    pub max_connections: usize,
    /// This instance's id among `peers`.
    pub id: u64,
    /// Every instance's address by id, as this one reaches it, this one's too; empty for one instance alone.
    pub peers: BTreeMap<String, SocketAddr>,
    /// The control plane: on where it names a site.
    pub fleet: FleetConfig,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            listen: SocketAddr::from(([127, 0, 0, 1], 8500)),
            data: PathBuf::from("listd.redb"),
            retain: 1_000,
            grace_ms: 5_000,
            max_entries: 10_000,
            max_connections: 2_048,
            id: 1,
            peers: BTreeMap::new(),
            fleet: FleetConfig::default(),
        }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("reading {0}: {1}")]
    Read(PathBuf, io::Error),
    #[error("{0}: {1}")]
    Toml(PathBuf, toml::de::Error),
    #[error("peers: {0}")]
    Peers(String),
    #[error(transparent)]
    Fleet(#[from] FleetConfigError),
}

impl Config {
    /// The file named on the command line, or the defaults, with the command line over them.
    ///
    /// # Errors
    /// Where the file can't be read, holds what is not a configuration, or a field of it is out of bounds.
    pub fn load(args: &Args) -> Result<Config, ConfigError> {
        let mut config = match &args.config {
            None => Config::default(),
            Some(path) => {
                let text = fs::read_to_string(path).map_err(|e| ConfigError::Read(path.clone(), e))?;
                toml::from_str(&text).map_err(|e| ConfigError::Toml(path.clone(), e))?
            }
        };
        if let Some(listen) = args.listen {
            config.listen = listen;
        }
        if let Some(data) = &args.data {
            config.data = data.clone();
        }
        if let Some(id) = args.id {
            config.id = id;
        }
        config.fleet.check()?;
        Ok(config)
    }

    /// Every instance's address by id; this one alone where no peers are named.
    ///
    /// # Errors
    /// [`ConfigError::Peers`] where an id is no number or this instance is not among them.
    pub fn members(&self) -> Result<BTreeMap<u64, SocketAddr>, ConfigError> {
        if self.peers.is_empty() {
            return Ok(BTreeMap::from([(self.id, self.listen)]));
        }
        let mut members = BTreeMap::new();
        for (id, addr) in &self.peers {
            let id = id.parse().map_err(|_| ConfigError::Peers(format!("{id:?} is no id")))?;
            members.insert(id, *addr);
        }
        if !members.contains_key(&self.id) {
            return Err(ConfigError::Peers(format!("{} is not among them", self.id)));
        }
        Ok(members)
    }

    pub fn limits(&self) -> Limits {
        Limits { retain: self.retain, grace_ms: self.grace_ms, max_entries: self.max_entries }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use micapier::fleet::config::FleetConfig;

    const EXAMPLE: &str = include_str!("../../../deploy/examples/listd.toml");

    #[test]
    fn the_example_is_a_configuration_also_with_the_fleets_table() {
        let plain: Config = toml::from_str(EXAMPLE).expect("a configuration");
        let members = plain.members().expect("peers");
        assert_eq!(
            (members.len(), plain.listen, plain.limits()),
            (3, Config::default().listen, Config::default().limits())
        );
        // A setting to be taken in begins right after its mark, a remark after a space.
        let setting =
            |line: &'static str| line.strip_prefix('#').filter(|rest| !rest.starts_with(' ')).unwrap_or(line);
        let text: Vec<&str> = EXAMPLE.lines().map(setting).collect();
        let mut table: toml::Table = toml::from_str(&text.join("\n")).expect("TOML");
        let fleet = table.remove("fleet").expect("a table of the fleet");
        let fleet: FleetConfig = fleet.try_into().expect("the fleet's form");
        assert_eq!((fleet.check(), fleet.is_on(), fleet.contracts.len()), (Ok(()), true, 1));
        assert_eq!(fleet.ramp_ms, FleetConfig::default().ramp_ms);
    }
}

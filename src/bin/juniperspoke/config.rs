//! What a sidecar is told at its start: the environment and its JSON into typed values.

use micapier::api::Settings;
use micapier::names::flat_name;
use micapier::settings::{self, SettingError, Surroundings};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use std::{env, fs, io};

/// The most descriptors, and megabytes of memory, where the configuration names no limit.
const SOCKETS: usize = 1_024;
const MEMORY_MB: f64 = 32.0;
/// The time between two reports to the fleet's control plane, where the configuration names none, and its bounds:
/// a report counts for 3 s, and more than ten a second tell nothing new.
const REPORT_MS: u64 = 1_000;
const REPORTS_MS: std::ops::RangeInclusive<u64> = 100..=1_500;

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("BALANCER_CONFIG is not set")]
    NoFile,
    #[error("reading {0}: {1}")]
    Read(String, io::Error),
    #[error("the configuration is no JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{key}: cannot read {text:?}")]
    Value { key: &'static str, text: String },
    #[error(transparent)]
    Setting(#[from] SettingError),
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The instances of a replicated list service, where the configuration names them; empty for the
    /// platform's one discovery.
    pub discovery_peers: Vec<SocketAddr>,
    /// Where operators call; `None` where there is no door for them.
    pub control: Option<SocketAddr>,
    /// The fleet's control plane; `None` where the sidecar is not part of one.
    pub fleet: Option<FleetCalls>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may hold.
    pub memory: usize,
    /// The list as this sidecar last had it, in discovery's form.
    pub known: Value,
    pub settings: Settings,
    pub surroundings: Surroundings,
}

/// Where reports go and plans come from.
pub struct FleetCalls {
    /// The instances of the service; one at least.
    pub peers: Vec<SocketAddr>,
    /// The time between two reports.
    pub every: Duration,
}

impl Config {
    pub fn from_env() -> Result<Config, ConfigError> {
        Config::read(&file()?, |key| env::var(key).ok())
    }

    /// The environment wins over the JSON where both name a value.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let json: Value = serde_json::from_str(text)?;
        let text = |key: &str, var: &str| {
            env(var).or_else(|| json[key].as_str().map(String::from)).unwrap_or_default()
        };
        let addr = |key, var: &str| parse_addr(key, text(key, var));
        let seed = json["seed"].as_str().unwrap_or_default();
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| ConfigError::Value { key: "seed", text: seed.to_owned() })?;
        let discovery_peers = match json["discovery_peers"].as_array() {
            None => Vec::new(),
            Some(peers) => parse_addrs("discovery_peers", peers)?,
        };
        let mut flat = String::new();
        flatten("", &json["settings"], &mut flat);
        Ok(Config {
            name: text("name", "BALANCER_NAME"),
            listen: addr("listen", "BALANCER_LISTEN")?,
            discovery: addr("discovery", "BALANCER_DISCOVERY")?,
            fleet: fleet(&json["fleet"], &discovery_peers)?,
            discovery_peers,
            control: match (env("BALANCER_CONTROL"), &json["control"]) {
                (None, Value::Null) => None,
                (Some(text), _) => Some(parse_addr("control", text)?),
                (None, Value::String(text)) => Some(parse_addr("control", text.clone())?),
                (None, other) => Some(parse_addr("control", other.to_string())?),
            },
            seed,
            sockets: json["limits"]["sockets"].as_u64().map_or(SOCKETS, |n| n as usize),
            memory: (json["limits"]["memory_mb"].as_f64().unwrap_or(MEMORY_MB) * 1e6) as usize,
            known: json["known"].clone(),
            settings: settings::parse(&flat)?,
            surroundings: settings::surroundings(&flat)?,
        })
    }
}

/// A sidecar's name as a part of a file's. Guards against a name that is none, and against another sidecar's files
/// where the folder is shared.
pub fn file_name(sidecar: &str) -> String {
    sidecar.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect()
}

fn file() -> Result<String, ConfigError> {
    let path = env::var("BALANCER_CONFIG").map_err(|_| ConfigError::NoFile)?;
    fs::read_to_string(&path).map_err(|e| ConfigError::Read(path, e))
}

fn parse_addr(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value { key, text })
}

fn parse_addrs(key: &'static str, peers: &[Value]) -> Result<Vec<SocketAddr>, ConfigError> {
    let addr = |peer: &Value| parse_addr(key, peer.as_str().unwrap_or_default().to_owned());
    peers.iter().map(addr).collect()
}

/// The list service's instances are those of the control plane if it names none.
fn fleet(json: &Value, discovery_peers: &[SocketAddr]) -> Result<Option<FleetCalls>, ConfigError> {
    let wrong = || ConfigError::Value { key: "fleet", text: json.to_string() };
    if json.is_null() {
        return Ok(None);
    }
    let peers = match &json["peers"] {
        Value::Null => discovery_peers.to_vec(),
        peers => parse_addrs("fleet.peers", peers.as_array().ok_or_else(wrong)?)?,
    };
    let every = match &json["report_ms"] {
        Value::Null => REPORT_MS,
        every => every.as_u64().filter(|every| REPORTS_MS.contains(every)).ok_or_else(wrong)?,
    };
    if !json.is_object() || peers.is_empty() {
        return Err(wrong());
    }
    Ok(Some(FleetCalls { peers, every: Duration::from_millis(every) }))
}

/// Where discovery is by the file as it is now. The environment, which is from the start, no longer counts.
pub fn discovery_now() -> Result<SocketAddr, ConfigError> {
    let json: Value = serde_json::from_str(&file()?)?;
    parse_addr("discovery", json["discovery"].as_str().unwrap_or_default().to_owned())
}

/// Nested settings into the `path=value` lines that the simulator's first message has.
fn flatten(path: &str, value: &Value, out: &mut String) {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    let plain = |value: &Value| match value {
        Value::String(text) => flat_name(text),
        other => other.to_string(),
    };
    match value {
        Value::Null => {}
        Value::Object(map) => map.iter().for_each(|(key, value)| flatten(&below(key), value, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            *out += &format!("{}={}\n", below("count"), items.len());
            items.iter().enumerate().for_each(|(i, item)| flatten(&below(&i.to_string()), item, out));
        }
        Value::Array(items) => {
            *out += &format!("{path}={}\n", items.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        value => *out += &format!("{path}={}\n", plain(value)),
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;

    pub const JSON: &str = r#"{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
        "limits":{"sockets":300},"settings":{"areas":["a b","c"],"zone":1,"discovery":"pushed","orgs":[{"name":"t u"},{"share":1}],
        "policyLimits":{"cancel":true,"connectTimeout":70},"report":{"fields":["depth","concurrent"],"how":"on_probe"},
        "requestClasses":[{"name":"pay","aim":290.0,"idempotency":"fragile"}]}}"#;

    #[test]
    fn nested_settings_are_read_by_the_adapters_reader() {
        let config = Config::read(JSON, |_| None).expect("readable");
        assert_eq!((config.seed, config.sockets, config.settings.zone), (0x8c1f_30d2_7a5b_e964, 300, 1));
        assert_eq!(config.settings.classes[0].aim, Duration::from_millis(290));
        assert_eq!(config.surroundings.zones, ["a_b", "c"]);
        assert_eq!(config.surroundings.classes, ["pay"]);
        assert_eq!(config.surroundings.tenants, ["t_u", ""]);
        assert!(config.fleet.is_none());
        let with = |fleet: &str| {
            Config::read(&JSON.replacen("{\"name\"", &format!("{fleet},\"name\""), 1), |_| None)
        };
        let fleet =
            with(r#"{"discovery_peers":["127.0.0.1:7"],"fleet":{"report_ms":500}"#).expect("readable").fleet;
        let fleet = fleet.expect("on");
        assert_eq!((fleet.peers[0].port(), fleet.every), (7, Duration::from_millis(500)));
        assert_eq!(config.surroundings.connect_timeout, Duration::from_millis(70));
        assert_eq!(config.surroundings.held_name.as_deref(), Some("concurrent"));
    }

    #[test]
    fn the_environment_wins_and_bad_values_are_named() {
        let env = |key: &str| (key == "BALANCER_LISTEN").then(|| "127.0.0.2:1".to_owned());
        let config = Config::read(JSON, env).expect("readable");
        assert_eq!((config.listen.to_string().as_str(), config.control), ("127.0.0.2:1", None));
        let with_door = JSON.replacen("{\"name\"", "{\"control\":\"127.0.0.1:12000\",\"name\"", 1);
        let door = |env: Option<&str>| {
            let env = env.map(String::from);
            Config::read(&with_door, |key| env.clone().filter(|_| key == "BALANCER_CONTROL"))
        };
        let port = |config: Result<Config, _>| config.expect("readable").control.expect("a door").port();
        assert_eq!((port(door(None)), port(door(Some("127.0.0.1:12001")))), (12_000, 12_001));
        assert!(door(Some("")).is_err(), "an empty address is none");
        for (from, to, said) in [
            ("127.0.0.1:8500", "nowhere", "discovery: cannot read \"nowhere\""),
            ("8c1f", "zz", "seed: cannot read"),
            ("290.0", "\"soon\"", "requestClasses.0.aim"),
            ("{\"name\"", "{\"control\":\"door\",\"name\"", "control: cannot read \"door\""),
            ("{\"name\"", "{\"control\":12000,\"name\"", "control: cannot read \"12000\""),
            ("{\"name\"", "{\"discovery_peers\":[\"x\"],\"name\"", "discovery_peers: cannot read \"x\""),
            ("{\"name\"", "{\"fleet\":{},\"name\"", "fleet: cannot read"),
            ("{\"name\"", "{\"fleet\":{\"peers\":[\"x\"]},\"name\"", "fleet.peers: cannot read"),
            ("{\"name\"", "{", "no JSON"),
        ] {
            let error = Config::read(&JSON.replacen(from, to, 1), |_| None).err().expect("an error");
            assert!(error.to_string().contains(said), "{error}");
        }
    }
}

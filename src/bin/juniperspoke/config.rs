//! What a sidecar is told at its start: the environment and its JSON into typed values.

use crate::list::server_id;
use micapier::api::Settings;
use micapier::names::flat_name;
use micapier::settings::{self, SettingError, Surroundings};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use std::{env, fs, io};

/// The most descriptors, and megabytes of memory, where the configuration names no limit.
const SOCKETS: usize = 1_024;
const MEMORY_MB: f64 = 32.0;
/// So much of a sidecar's name is part of a file's.
const NAME: usize = 64;
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

/// The JSON's form. The platform says more than is read here. Guards against a value of another type: it counts as
/// missing, and where it is needed the error names its key.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Document {
    #[serde(deserialize_with = "lenient")]
    name: String,
    #[serde(deserialize_with = "lenient")]
    listen: String,
    #[serde(deserialize_with = "lenient")]
    discovery: String,
    #[serde(deserialize_with = "lenient")]
    discovery_peers: Vec<Value>,
    control: Option<Value>,
    fleet: Option<Value>,
    /// In hexadecimal.
    #[serde(deserialize_with = "lenient")]
    seed: String,
    #[serde(deserialize_with = "lenient")]
    limits: Limits,
    known: Value,
    /// Nested by the platform's names; [`settings`] reads what it knows of them.
    settings: Value,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    #[serde(deserialize_with = "lenient")]
    sockets: Option<usize>,
    #[serde(deserialize_with = "lenient")]
    memory_mb: Option<f64>,
}

fn lenient<'de, T: Default + DeserializeOwned, D: Deserializer<'de>>(from: D) -> Result<T, D::Error> {
    Ok(serde_json::from_value(Value::deserialize(from)?).unwrap_or_default())
}

impl Document {
    fn read(text: &str) -> Result<Document, ConfigError> {
        // By way of a value, where the last of two values of a key wins.
        Ok(serde_json::from_value(serde_json::from_str(text)?)?)
    }
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
        let json = Document::read(text)?;
        let addr = |key, text: String, var: &str| parse_addr(key, env(var).unwrap_or(text));
        let discovery_peers = parse_addrs("discovery_peers", json.discovery_peers)?;
        let seed = u64::from_str_radix(&json.seed, 16);
        let memory = json.limits.memory_mb.unwrap_or(MEMORY_MB);
        if memory <= 0.0 {
            return Err(ConfigError::Value { key: "limits.memory_mb", text: memory.to_string() });
        }
        let mut flat = String::new();
        flatten("", &json.settings, &mut flat);
        Ok(Config {
            name: env("BALANCER_NAME").unwrap_or(json.name),
            listen: addr("listen", json.listen, "BALANCER_LISTEN")?,
            discovery: addr("discovery", json.discovery, "BALANCER_DISCOVERY")?,
            fleet: json.fleet.map(|fleet| fleet_calls(fleet, &discovery_peers)).transpose()?,
            discovery_peers,
            control: env("BALANCER_CONTROL")
                .or(json.control.map(as_text))
                .map(|text| parse_addr("control", text))
                .transpose()?,
            seed: seed.map_err(|_| ConfigError::Value { key: "seed", text: json.seed })?,
            sockets: json.limits.sockets.unwrap_or(SOCKETS),
            memory: (memory * 1e6) as usize,
            known: json.known,
            settings: settings::parse(&flat)?,
            surroundings: settings::surroundings(&flat)?,
        })
    }
}

/// A sidecar's name as a part of a file's. Guards against a name that is none, and against another sidecar's files
/// where the folder is shared: a name that has to be changed is told from others by its hash.
pub fn file_name(sidecar: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    let name: String = sidecar.chars().map(plain).take(NAME).collect();
    if name == sidecar { name } else { format!("{name}-{:x}", server_id(sidecar).0) }
}

fn file() -> Result<String, ConfigError> {
    let path = env::var("BALANCER_CONFIG").map_err(|_| ConfigError::NoFile)?;
    fs::read_to_string(&path).map_err(|e| ConfigError::Read(path, e))
}

fn parse_addr(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value { key, text })
}

/// A value as text, without the marks around a text.
fn as_text(value: Value) -> String {
    match value {
        Value::String(text) => text,
        other => other.to_string(),
    }
}

fn parse_addrs(key: &'static str, peers: Vec<Value>) -> Result<Vec<SocketAddr>, ConfigError> {
    peers.into_iter().map(|peer| parse_addr(key, as_text(peer))).collect()
}

/// The part of the JSON that makes the sidecar one of a fleet.
#[derive(Default, Deserialize)]
#[serde(default)]
struct FleetDocument {
    peers: Option<Vec<Value>>,
    report_ms: Option<u64>,
}

/// The list service's instances are those of the control plane if it names none.
fn fleet_calls(json: Value, discovery_peers: &[SocketAddr]) -> Result<FleetCalls, ConfigError> {
    let wrong = || ConfigError::Value { key: "fleet", text: json.to_string() };
    let fleet: FleetDocument = serde_json::from_value(json.clone()).map_err(|_| wrong())?;
    let peers = match fleet.peers {
        None => discovery_peers.to_vec(),
        Some(peers) => parse_addrs("fleet.peers", peers)?,
    };
    let every = fleet.report_ms.unwrap_or(REPORT_MS);
    if !json.is_object() || peers.is_empty() || !REPORTS_MS.contains(&every) {
        return Err(wrong());
    }
    Ok(FleetCalls { peers, every: Duration::from_millis(every) })
}

/// Where discovery is by the file as it is now. The environment, which is from the start, no longer counts.
pub fn discovery_now() -> Result<SocketAddr, ConfigError> {
    parse_addr("discovery", Document::read(&file()?)?.discovery)
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
        // Of two that are spelt alike neither is told from the other, so neither is named.
        let more =
            JSON.replace("{\"share\":1}", r#"{"name":"t,u"},{"name":"t"},{"name":"T"},{"name":"t u "}"#);
        let tenants = Config::read(&more, |_| None).expect("readable").surroundings.tenants;
        assert_eq!(tenants, ["", "", "t", "T", "t_u_"]);
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
    fn no_two_sidecars_share_a_file() {
        assert_eq!(file_name("n3"), "n3");
        let long = "n".repeat(300);
        let names = ["n-1", "n_1", "n.1", "N-1", "n 1", "", "../n1", &long, &long[1..]];
        let files: std::collections::HashSet<String> = names.map(file_name).into();
        assert!(files.len() == names.len() && files.iter().all(|file| file.len() < 100), "{files:?}");
        assert!(!files.iter().any(|file| file.contains(['/', '.'])), "{files:?}");
    }

    #[test]
    fn the_example_is_a_configuration() {
        let example = include_str!("../../../deploy/examples/sidecar.json");
        let config = Config::read(example, |_| None).expect("readable");
        assert_eq!((config.discovery_peers.len(), config.settings.classes.len()), (1, 2));
        assert!(crate::list::read(&config.known, &config.surroundings).is_ok());
    }

    #[test]
    fn what_is_unknown_or_of_another_type_stops_nothing() {
        let more = "{\"more\":{\"a\":[]},\"known\":7,\"discovery_peers\":3,\"name\":\"n1\",\"name\"";
        let odd = JSON.replacen("{\"name\"", more, 1);
        let odd = odd.replacen("{\"sockets\":300}", "{\"sockets\":0.5,\"memory_mb\":8}", 1);
        let config = Config::read(&odd, |_| None).expect("readable");
        assert_eq!((config.name.as_str(), config.sockets, config.memory), ("n3", SOCKETS, 8_000_000));
        assert_eq!((config.known, config.discovery_peers), (Value::from(7), Vec::new()));
        let unlimited = JSON.replacen("{\"sockets\":300}", "true", 1);
        assert_eq!(Config::read(&unlimited, |_| None).expect("readable").memory, 32_000_000);
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

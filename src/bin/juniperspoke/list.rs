//! The list of upstreams in discovery's form, read into what the driver takes.

use micapier::api::{Availability, Listed, ServerId, UNNAMED};
use micapier::names::flat_name;
use micapier::settings::Surroundings;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// What a list lacks.
#[derive(Debug, thiserror::Error)]
#[error("the list has no {0}")]
pub struct ListError(pub &'static str);

/// Upstreams by the ids that discovery names.
pub type Names = BTreeSet<String>;

/// One answer of discovery.
pub struct News {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<(Listed, SocketAddr)>,
}

/// An id is the same at every sidecar, and so is its number: all sort the list alike.
pub fn server_id(name: &str) -> ServerId {
    // FNV-1a.
    ServerId(
        name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        }),
    )
}

/// Reads a list in discovery's form. Guards against a line that can't be read: it is left out, the rest counts.
/// Where there is no rest of a whole list, nothing does; among changes it would be told again with each watch.
pub fn read(list: &Value, names: &Surroundings) -> Result<News, ListError> {
    let revision = whole_number(&list["revision"]).ok_or(ListError("revision"))?;
    let complete = list["complete"].as_bool().ok_or(ListError("complete"))?;
    let members = list["members"].as_array().ok_or(ListError("members"))?;
    let read = members.iter().filter_map(|member| {
        let line = line(member, names);
        if line.is_none() {
            tracing::warn!("skipped a line of the list: {member}");
        }
        line
    });
    let read: Vec<_> = read.collect();
    if complete && read.is_empty() && !members.is_empty() {
        return Err(ListError("line that can be read"));
    }
    Ok(News { revision, complete, members: read })
}

/// JSON has one kind of numbers: 41.0 is 41. Those that a float can't tell from their neighbours are none.
fn whole_number(value: &Value) -> Option<u64> {
    let whole = |float: &f64| (0.0..9e15).contains(float) && float.fract() == 0.0;
    value.as_u64().or_else(|| value.as_f64().filter(whole).map(|float| float as u64))
}

fn line(member: &Value, names: &Surroundings) -> Option<(Listed, SocketAddr)> {
    let place = |of: &[String], key: &str| {
        let name = flat_name(member[key].as_str().unwrap_or_default());
        of.iter().position(|other| *other == name)
    };
    let availability = match member["phase"].as_str()? {
        "Ready" => Availability::Ready,
        "Terminating" => Availability::Draining,
        "Gone" => Availability::Gone,
        _ => return None,
    };
    // Unix time is the driver's clock as well; 0 is long ago.
    let since = member["up_since_ms"].as_f64().filter(|&ms| ms > 0.0);
    let listed = Listed {
        server: server_id(member["id"].as_str()?),
        availability,
        cell: whole_number(&member["cell"]).and_then(|cell| u16::try_from(cell).ok())?,
        // A zone or kind that the settings don't name is nobody's.
        zone: place(&names.zones, "locality").and_then(|at| u16::try_from(at).ok()).unwrap_or(UNNAMED),
        kind: place(&names.kinds, "flavor").and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX),
        weight: member["size"].as_f64().unwrap_or(1.0),
        started: since.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok()),
    };
    Some((listed, member["host_port"].as_str()?.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use crate::config::{Config, tests::JSON};
    use proptest::prelude::*;
    use serde_json::{Value, json};

    /// Values that a key may have in place of its own.
    fn odd() -> impl Strategy<Value = Value> {
        prop_oneof![
            Just(Value::Null),
            any::<bool>().prop_map(Value::from),
            any::<i64>().prop_map(Value::from),
            any::<f64>().prop_map(Value::from),
            ".{0,9}".prop_map(Value::from),
            Just(json!([{}, [7], "x"])),
            Just(json!({"count": 70_000, "a": [{"b": null}]})),
        ]
    }

    /// Puts the value in place of one of all those below, counted from the first.
    fn put(at: &mut usize, into: &mut Value, value: &Value) {
        if *at == 0 {
            *into = value.clone();
        }
        *at = at.wrapping_sub(1);
        match into {
            Value::Array(items) => items.iter_mut().for_each(|item| put(at, item, value)),
            Value::Object(map) => map.values_mut().for_each(|item| put(at, item, value)),
            _ => {}
        }
    }

    #[test]
    fn a_whole_list_without_a_readable_line_is_none_and_changes_without_one_are_passed_over() {
        let names = Config::read(JSON, |_| None).expect("readable").surroundings;
        let list = |complete| json!({"revision": 2, "complete": complete, "members": [{"id": "s"}]});
        assert!(super::read(&list(true), &names).is_err());
        let news = super::read(&list(false), &names).expect("changes");
        assert!(news.revision == 2 && news.members.is_empty());
    }

    proptest! {
        #[test]
        fn no_bytes_and_no_value_in_place_of_another_make_a_reader_panic(
            bytes in prop::collection::vec(any::<u8>(), 0..200),
            cut in 0..900_usize,
            places in prop::array::uniform2(0..50_usize),
            value in odd(),
        ) {
            let _ = Config::read(&String::from_utf8_lossy(&bytes), |_| None);
            let _ = Config::read(JSON.get(..cut).unwrap_or(JSON), |_| None);
            let whole = Config::read(JSON, |_| None).expect("readable");
            let mut config: Value = serde_json::from_str(JSON).expect("JSON");
            let line = json!({"id": "s", "host_port": "[::1]:9", "locality": "a b", "flavor": "m", "cell": 0,
                "phase": "Ready", "size": 1.0, "up_since_ms": 7});
            let mut list = json!({"revision": 1, "complete": true, "members": [line, line]});
            for mut at in places {
                put(&mut at.clone(), &mut config, &value);
                put(&mut at, &mut list, &value);
            }
            // What can be read is of use: none of its times overflows a clock's reading.
            if let Ok(config) = Config::read(&config.to_string(), |_| None) {
                let class = &config.settings.classes[0];
                let times = [class.aim, class.deadline, config.settings.keep_alive, config.settings.tick * 4];
                prop_assert!(times.iter().all(|&time| std::time::Instant::now().checked_add(time).is_some()));
                prop_assert!(config.memory > 0);
            }
            let of = list["members"].as_array().map_or(0, Vec::len);
            if let Ok(news) = super::read(&list, &whole.surroundings) {
                let empty = news.members.is_empty();
                prop_assert!(news.members.len() <= of && (of == 0 || !empty || !news.complete));
            }
        }
    }
}

use super::*;

const AT: Place = Place { term: 1, index: 1 };
const LIMITS: Limits = Limits { retain: 3, grace_ms: 1_000, max_entries: 4 };

fn member(id: &str, phase: Phase) -> Member {
    Member {
        id: id.to_owned(),
        host_port: "127.0.0.1:9000".to_owned(),
        locality: "a".to_owned(),
        flavor: "m2".to_owned(),
        cell: 1,
        phase,
        size: 1.0,
        up_since_ms: 0,
    }
}

fn put(store: &mut Store, id: &str, ttl_ms: Option<u64>, now_ms: u64) -> Outcome {
    let command = Command::Put { member: member(id, Phase::Ready), ttl_ms, now_ms };
    store.apply(&command, AT).expect("a good entry").outcome
}

fn ids(answer: &Answer<'_>) -> Vec<(String, Phase)> {
    answer.members.iter().map(|member| (member.id.clone(), member.phase)).collect()
}

#[test]
fn a_watch_learns_what_changed_and_a_heartbeat_wakes_nobody() {
    let mut store = Store::new(LIMITS);
    assert_eq!(put(&mut store, "a", Some(500), 0), Outcome { revision: 1, changed: true, fleet: None });
    put(&mut store, "b", None, 0);
    assert_eq!(
        put(&mut store, "b", None, 10),
        Outcome { revision: 2, changed: false, fleet: None },
        "the same line again"
    );
    let beat = store.apply(&Command::Beat { id: "a".into(), now_ms: 400 }, AT).expect("a lease");
    assert!(!beat.outcome.changed && beat.outcome.revision == 2);
    store.apply(&Command::Delete { id: "a".into() }, AT).expect("there");
    let answer = store.since(1).expect("not from the future");
    assert_eq!((answer.revision, answer.complete), (3, false));
    assert_eq!(ids(&answer), [("a".to_owned(), Phase::Gone), ("b".to_owned(), Phase::Ready)]);
    assert_eq!(ids(&store.whole()), [("b".to_owned(), Phase::Ready)], "no tombstone in the whole list");
    assert_eq!(store.since(4), Err(StoreError::Future { asked: 4, current: 3 }));
}

#[test]
fn a_lapsed_lease_removes_its_entry_only_after_the_grace() {
    let mut store = Store::new(LIMITS);
    put(&mut store, "a", Some(500), 0);
    store.apply(&Command::Beat { id: "a".into(), now_ms: 300 }, AT).expect("a lease");
    // The lease lapses at 800 and the grace ends at 1,800.
    assert!(!store.due(1_800));
    assert!(!store.apply(&Command::Expire { now_ms: 1_800 }, AT).expect("always").outcome.changed);
    assert!(store.due(1_801));
    let expired = store.apply(&Command::Expire { now_ms: 1_801 }, AT).expect("always");
    assert_eq!((expired.outcome.revision, expired.written), (2, vec!["a".to_owned()]));
    assert_eq!(store.apply(&Command::Beat { id: "a".into(), now_ms: 1_900 }, AT), Err(StoreError::Unknown));
    // After a restart or a new leader, whose clock is another, every lease begins anew.
    put(&mut store, "b", Some(500), 2_000);
    store.apply(&Command::RenewAll { now_ms: 10 }, AT).expect("always");
    assert!(!store.due(1_510) && store.due(1_511));
}

#[test]
fn a_watcher_behind_the_compacted_revisions_gets_the_whole_list() {
    let mut store = Store::new(Limits { max_entries: 10, ..LIMITS });
    put(&mut store, "a", None, 0);
    put(&mut store, "b", None, 0);
    store.apply(&Command::Delete { id: "a".into() }, AT).expect("there");
    assert_eq!(ids(&store.since(2).expect("kept")), [("a".to_owned(), Phase::Gone)]);
    let mut last = None;
    for n in 0..3 {
        last = Some(store.apply(
            &Command::Put { member: member(&format!("c{n}"), Phase::Ready), ttl_ms: None, now_ms: 0 },
            AT,
        ));
    }
    // At revision 6 with 3 retained, the tombstone of revision 3 is dropped and the horizon is 3.
    assert_eq!(last.map(|applied| applied.map(|applied| applied.dropped)), Some(Ok(vec!["a".to_owned()])));
    let behind = store.since(2).expect("not from the future");
    assert!(behind.complete, "what left before the horizon can't be told as a change");
    assert_eq!(ids(&behind).len(), 4);
    assert!(!store.since(3).expect("at the horizon").complete);
}

#[test]
fn what_is_refused_changes_nothing() {
    let mut store = Store::new(LIMITS);
    put(&mut store, "a", None, 0);
    let before = store.clone();
    let bad = |edit: fn(&mut Member)| {
        let mut member = member("x", Phase::Ready);
        edit(&mut member);
        Command::Put { member, ttl_ms: None, now_ms: 0 }
    };
    for (command, error) in [
        (bad(|m| m.id.clear()), StoreError::Malformed(Field::Id)),
        (bad(|m| m.id = "a/b".into()), StoreError::Malformed(Field::Id)),
        (bad(|m| m.host_port = "nowhere".into()), StoreError::Malformed(Field::HostPort)),
        (bad(|m| m.phase = Phase::Gone), StoreError::Malformed(Field::Phase)),
        (bad(|m| m.size = f64::NAN), StoreError::Malformed(Field::Size)),
        (
            Command::Put { member: member("x", Phase::Ready), ttl_ms: Some(5), now_ms: 0 },
            StoreError::Malformed(Field::Ttl),
        ),
        (Command::Beat { id: "a".into(), now_ms: 0 }, StoreError::Unknown),
        (Command::Delete { id: "z".into() }, StoreError::Unknown),
    ] {
        assert_eq!(store.apply(&command, AT), Err(error));
    }
    for n in 0..3 {
        put(&mut store, &format!("f{n}"), None, 0);
    }
    let full = Command::Put { member: member("g", Phase::Ready), ttl_ms: None, now_ms: 0 };
    assert_eq!(store.apply(&full, AT), Err(StoreError::Full(4)));
    assert_eq!(before.revision(), 1);
    assert_eq!(store.revision(), 4, "only the three good puts counted");
}

#[test]
fn a_store_of_before_the_control_plane_can_be_read() {
    let mut store = Store::new(LIMITS);
    put(&mut store, "a", None, 0);
    let mut before = serde_json::to_value(&store).expect("JSON");
    before.as_object_mut().and_then(|fields| fields.remove("fleet")).expect("a field");
    assert_eq!(serde_json::from_value::<Store>(before).ok(), Some(store));
    assert_eq!(serde_json::from_str::<FleetState>("{}").ok(), Some(FleetState::default()));
}

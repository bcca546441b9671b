//! Clients with long bodies leave while one of three upstreams has vanished.

#[path = "../stage.rs"]
mod stage;

use stage::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 12;
const BODY: usize = 200_000;
const BUDGET: f64 = 2.0;
/// A client closes so long after its last byte.
const STAYS: Duration = Duration::from_millis(10);
/// No attempt may begin later than 0.1 s after the close; 50 ms more on sockets.
const AFTER_CLOSE: Duration = Duration::from_millis(150);

/// When an attempt for a request began, and when all of it had come.
type Attempts = Arc<Mutex<HashMap<String, (Instant, Option<Instant>)>>>;

fn good(which: usize, attempts: Attempts, record: Record) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    serve(listener, move |stream| {
        let mut to = stream.try_clone().unwrap();
        let mut from = BufReader::new(stream);
        while let Some(mut seen) = Seen::read_head(&mut from) {
            let (id, begun) = (seen.id(), Instant::now());
            record.note(format!("upstream s-{which}: an attempt for {id} begins"));
            attempts.lock().unwrap().insert(id.clone(), (begun, None));
            if seen.read_body(&mut from).is_none() {
                return record.note(format!("upstream s-{which}: the attempt for {id} breaks off"));
            }
            record.note(format!("upstream s-{which}: runs {id}, {} bytes", seen.body));
            attempts.lock().unwrap().insert(id, (begun, Some(Instant::now())));
            if !write_ok(&mut to, "done") {
                return;
            }
        }
    });
    line(&format!("s-{which}"), addr, "Ready")
}

/// Of a machine that has vanished: new connections never come up. Nobody accepts, and the queue is full.
fn vanished() -> (String, TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let mut queue = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&addr, ms(150)) {
        queue.push(stream);
    }
    (line("s-0", addr, "Ready"), listener, queue)
}

fn main() {
    let mut stage = Stage::new("2");
    let record = stage.record.clone();
    let attempts = Attempts::default();
    let mut members =
        vec![good(1, attempts.clone(), record.clone()), good(2, attempts.clone(), record.clone())];
    let gone = trouble().then(vanished);
    members
        .push(gone.as_ref().map_or_else(|| good(0, attempts.clone(), record.clone()), |gone| gone.0.clone()));
    let discovery = Discovery::start(1, &members, record.clone(), write_list);
    let listen = free();
    stage.start(&config(listen, discovery.addr, &list(1, &members), "pushed"), listen);
    thread::sleep(ms(500));

    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                let mut stream = TcpStream::connect(listen).ok()?;
                let id = new_id();
                let mut text = head("vydani-listu", &id, BUDGET, BODY).into_bytes();
                text.resize(text.len() + BODY, b'x');
                stream.write_all(&text).ok()?;
                record.note(format!("client {id}: all written"));
                if !trouble() {
                    let answer = read_answer(&mut stream, Instant::now() + ms(2_500));
                    record.note(format!("client {id}: {:?}", answer.map(|(status, _)| status)));
                    return None;
                }
                thread::sleep(STAYS);
                let closed = Instant::now();
                drop(stream);
                record.note(format!("client {id}: has closed"));
                Some((id, closed))
            })
        })
        .collect();
    let left: Vec<_> = clients.into_iter().filter_map(|client| client.join().unwrap()).collect();
    thread::sleep(ms(3_000));
    let attempts = attempts.lock().unwrap().clone();
    if attempts.is_empty() || trouble() && left.is_empty() {
        stage.could_not_run("no attempt was made, or no client has left");
    }
    let mut broken = Vec::new();
    for (id, closed) in left {
        let Some((begun, ran)) = attempts.get(&id) else { continue };
        if *begun > closed + AFTER_CLOSE {
            let after = (*begun - closed).as_secs_f64();
            let ran = if ran.is_some() { "was run" } else { "was not run" };
            broken.push(format!(
                "an attempt for {id} began {after:.3} s after its client had closed, and {ran}"
            ));
        }
    }
    stage.verdict(&broken);
}

//! One answer in five never ends: a byte comes every 0.2 s.

#[path = "../stage.rs"]
mod stage;

use stage::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const BUDGET: f64 = 0.8;
/// Later than this after its time a request is lost; 50 ms more on sockets.
const LATE: f64 = 0.55;
/// Between two bytes of an answer that never ends.
const PAUSE: Duration = Duration::from_millis(200);
/// One answer in so many is spoilt.
const SPOILT: usize = 5;
const REQUESTS: usize = 40;
const WATCHED: Duration = Duration::from_millis(8_000);

fn main() {
    let mut stage = Stage::new("5");
    let record = stage.record.clone();
    let count = Arc::new(AtomicUsize::new(0));
    let addrs: Vec<SocketAddr> = (0..3)
        .map(|which| {
            let (count, record) = (count.clone(), record.clone());
            upstream(move |seen, to| {
                record.note(format!("upstream s-{which}: runs {}", seen.id()));
                if !trouble() || count.fetch_add(1, Ordering::Relaxed) % SPOILT != 0 {
                    return write_ok(to, "done");
                }
                record.note(format!("upstream s-{which}: its answer to {} never ends", seen.id()));
                let mut is_open =
                    to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_ok();
                while is_open {
                    is_open = to.write_all(b"1\r\nx\r\n").is_ok();
                    thread::sleep(PAUSE);
                }
                false
            })
        })
        .collect();
    let members: Vec<_> =
        addrs.iter().enumerate().map(|(which, addr)| line(&format!("s-{which}"), *addr, "Ready")).collect();
    let discovery = Discovery::start(1, &members, record.clone(), write_list);
    let listen = free();
    stage.start(&config(listen, discovery.addr, &list(1, &members), "pushed"), listen);
    thread::sleep(ms(1_000));

    let clients: Vec<_> = (0..REQUESTS)
        .map(|_| {
            thread::sleep(ms(100));
            let record = record.clone();
            thread::spawn(move || {
                let mut stream = TcpStream::connect(listen).ok()?;
                let id = new_id();
                stream.write_all(head("vyhledani", &id, BUDGET, 0).as_bytes()).ok()?;
                let written = Instant::now();
                let answer = read_answer(&mut stream, written + WATCHED);
                let took = written.elapsed().as_secs_f64();
                let what = answer.map_or_else(|why| why, |(status, _)| format!("answered {status}"));
                record.note(format!("client {id}: {what}, after {took:.3} s"));
                Some((id, took, what))
            })
        })
        .collect();
    let mut broken = Vec::new();
    for (id, took, what) in clients.into_iter().filter_map(|client| client.join().unwrap()) {
        if took > BUDGET + LATE {
            broken.push(format!("request {id} of {BUDGET} s: {what}, after {took:.2} s"));
        }
    }
    stage.verdict(&broken);
}

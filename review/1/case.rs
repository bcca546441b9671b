//! A planned restart while clients write long bodies and half of the upstreams hang.

#[path = "../stage.rs"]
mod stage;

use stage::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline of the settings, and the earliest SIGKILL after SIGTERM by it (0.7 s more).
const DEADLINE: f64 = 2.0;
const SIGKILL_AFTER: Duration = Duration::from_millis(2_750);
/// What comes later than this after SIGTERM is lost if SIGKILL finds it unanswered.
const OWED_AFTER: Duration = Duration::from_millis(700);
const CLIENTS: usize = 12;
/// Bodies of 192 kB, at 64 kB a second: half of one has gone out at SIGTERM.
const PIECE: usize = 6_400;
const PIECES: usize = 30;
const PAUSE: Duration = Duration::from_millis(100);
const SIGTERM_AFTER: Duration = Duration::from_millis(1_500);

struct Outcome {
    id: String,
    written: Instant,
    answered: Result<Instant, String>,
}

fn client(listen: std::net::SocketAddr, record: Record) -> Result<Outcome, String> {
    let mut stream = TcpStream::connect(listen).map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let id = new_id();
    let text = head("vydani-listu", &id, DEADLINE, PIECE * PIECES);
    stream.write_all(text.as_bytes()).map_err(|error| error.to_string())?;
    record.note(format!("client {id}: head written, budget {DEADLINE} s"));
    let begun = Instant::now();
    for at in 0..PIECES {
        thread::sleep((begun + PAUSE * at as u32).saturating_duration_since(Instant::now()));
        stream.write_all(&[b'x'; PIECE]).map_err(|error| format!("{id}: body not taken: {error}"))?;
    }
    let written = Instant::now();
    record.note(format!("client {id}: last byte written"));
    let by = written + Duration::from_secs_f64(DEADLINE + 0.5);
    let answered = read_answer(&mut stream, by).map(|(status, _)| {
        record.note(format!("client {id}: answered {status}"));
        Instant::now()
    });
    if let Err(why) = &answered {
        record.note(format!("client {id}: {why}"));
    }
    Ok(Outcome { id, written, answered })
}

fn main() {
    let mut stage = Stage::new("1");
    let record = stage.record.clone();
    let hangs = Arc::new(AtomicBool::new(false));
    let addrs: Vec<_> = (0..2)
        .map(|which| {
            let (hangs, record) = (hangs.clone(), record.clone());
            upstream(move |seen, to| {
                record.note(format!("upstream {which}: has {} of {} bytes", seen.id(), seen.body));
                thread::sleep(ms(100));
                while which == 0 && hangs.load(Ordering::Relaxed) {
                    thread::sleep(ms(50));
                }
                record.note(format!("upstream {which}: ran {}", seen.id()));
                write_ok(to, "done")
            })
        })
        .collect();
    let members: Vec<_> =
        addrs.iter().enumerate().map(|(which, addr)| line(&format!("s-{which}"), *addr, "Ready")).collect();
    let discovery = Discovery::start(1, &members, record.clone(), write_list);
    let listen = free();
    let pid = stage.start(&config(listen, discovery.addr, &list(1, &members), "pushed"), listen);
    thread::sleep(ms(1_500));

    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || client(listen, record))
        })
        .collect();
    thread::sleep(SIGTERM_AFTER);
    let (mut sigterm, mut sigkill) = (None, None);
    if trouble() {
        hangs.store(true, Ordering::Relaxed);
        record.note("upstream 0 hangs");
        sigterm = Some(Instant::now());
        stage.signal(pid, "TERM");
        thread::sleep(SIGKILL_AFTER);
        stage.signal(pid, "KILL");
        sigkill = Some(Instant::now());
    }
    let mut broken = Vec::new();
    let mut owed = 0;
    for client in clients {
        let Outcome { id, written, answered } = match client.join().unwrap() {
            Ok(outcome) => outcome,
            Err(why) => {
                record.note(format!("not taken: {why}"));
                if sigterm.is_none() {
                    broken.push(why);
                }
                continue;
            }
        };
        // Judged: what came later than 0.7 s after SIGTERM and before SIGKILL; without them, all.
        let is_owed =
            sigterm.is_none_or(|at| written > at + OWED_AFTER) && sigkill.is_none_or(|at| written < at);
        if !is_owed {
            continue;
        }
        owed += 1;
        if let Err(why) = answered {
            let came = sigterm.map_or(String::new(), |at| {
                format!(", came {:.2} s after SIGTERM", (written - at).as_secs_f64())
            });
            broken.push(format!("request {id}{came}: {why}"));
        }
    }
    record.note(format!("{owed} requests were owed an answer"));
    if owed == 0 {
        stage.could_not_run("no request came whole");
    }
    stage.verdict(&broken);
}

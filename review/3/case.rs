//! Upstreams become slow while they take long bodies whose clients write all of them at once.

#[path = "../stage.rs"]
mod stage;

use stage::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const MB: usize = 1_000_000;
/// Of each body an upstream takes so much fast, with a short pause after each step; then it is slow, and takes 64 kB a
/// second.
const TAKEN: usize = 12 * MB;
const STEP: usize = 2 * MB;
const STEP_PAUSE: Duration = Duration::from_millis(30);
const SLOW_PIECE: usize = 6_400;
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// The longest body.
const LONGEST: usize = 32 * MB;
const CLIENTS: usize = 36;
/// The class's deadline.
const BUDGET: f64 = 2.0;
/// Later than this after its time a request is lost; 50 ms more on sockets.
const LATE: f64 = 0.55;
/// An answer is waited for so long after the last byte.
const WATCHED: Duration = Duration::from_millis(6_000);
/// A body that is not written whole by then is given up: it is not judged.
const WRITTEN_IN: Duration = Duration::from_millis(4_000);

fn upstream_of(which: usize, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    serve(listener, move |stream| {
        let mut to = stream.try_clone().unwrap();
        let mut from = BufReader::with_capacity(64 * 1024, stream);
        while let Some(seen) = Seen::read_head(&mut from) {
            let length: usize = seen.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut bytes = vec![0; 256 * 1024];
            let (mut read, mut noted, mut steps) = (0, false, 0);
            while read < length {
                let mut most = bytes.len();
                if read >= TAKEN && trouble() {
                    if !std::mem::replace(&mut noted, true) {
                        record.note(format!(
                            "upstream s-{which}: slow, has {read} of {length} bytes of {}",
                            seen.id()
                        ));
                    }
                    thread::sleep(SLOW_PAUSE);
                    most = SLOW_PIECE;
                }
                if read / STEP > steps && trouble() {
                    steps = read / STEP;
                    thread::sleep(STEP_PAUSE);
                }
                match from.read(&mut bytes[..most]) {
                    Ok(0) | Err(_) => {
                        let id = seen.id();
                        return record.note(format!(
                            "upstream s-{which}: given up, has {read} of {length} bytes of {id}"
                        ));
                    }
                    Ok(count) => read += count,
                }
            }
            record.note(format!("upstream s-{which}: runs {}, {length} bytes", seen.id()));
            if !write_ok(&mut to, "done") {
                return;
            }
        }
    });
    addr
}

struct Asked {
    id: String,
    length: usize,
    /// How much was written, and when all of it was.
    written: usize,
    whole_at: Option<Instant>,
    answer: Result<u16, String>,
    answered_at: Instant,
}

fn ask(listen: SocketAddr, length: usize, record: Record) -> Option<Asked> {
    let mut stream = TcpStream::connect(listen).ok()?;
    let id = new_id();
    stream.write_all(head("vydani-listu", &id, BUDGET, length).as_bytes()).ok()?;
    let mut reader = stream.try_clone().ok()?;
    let reading = thread::spawn(move || {
        let answer = read_answer(&mut reader, Instant::now() + WRITTEN_IN + WATCHED);
        (answer.map(|(status, _)| status), Instant::now())
    });
    let (begun, piece) = (Instant::now(), vec![b'x'; 64 * 1024]);
    let _ = stream.set_write_timeout(Some(ms(200)));
    let (mut written, mut whole_at) = (0, None);
    while written < length && begun.elapsed() < WRITTEN_IN && !reading.is_finished() {
        let here = piece.len().min(length - written);
        written += stream.write(&piece[..here]).unwrap_or(0);
    }
    if written == length {
        whole_at = Some(Instant::now());
        record.note(format!(
            "client {id}: all of {length} bytes written, in {:.3} s",
            begun.elapsed().as_secs_f64()
        ));
        let by = Instant::now() + WATCHED;
        while Instant::now() < by && !reading.is_finished() {
            thread::sleep(ms(10));
        }
    } else {
        record.note(format!("client {id}: {written} of {length} bytes written, given up"));
    }
    if !reading.is_finished() {
        record.note(format!("client {id}: no answer as it closes"));
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    drop(stream);
    let (answer, answered_at) = reading.join().ok()?;
    match &answer {
        Ok(status) => record.note(format!("client {id}: answered {status}")),
        Err(why) => record.note(format!("client {id}: {why}")),
    }
    Some(Asked { id, length, written, whole_at, answer, answered_at })
}

fn ask_all(listen: SocketAddr, lengths: Vec<usize>, record: &Record) -> Vec<Asked> {
    let asked: Vec<_> = lengths
        .into_iter()
        .map(|length| {
            let record = record.clone();
            thread::sleep(ms(120));
            thread::spawn(move || ask(listen, length, record))
        })
        .collect();
    asked.into_iter().filter_map(|asked| asked.join().unwrap()).collect()
}

fn main() {
    let mut stage = Stage::new("3");
    let record = stage.record.clone();
    let members: Vec<_> = (0..10)
        .map(|which| line(&format!("s-{which}"), upstream_of(which, record.clone()), "Ready"))
        .collect();
    let discovery = Discovery::start(1, &members, record.clone(), write_list);
    // How much of a body can be written while an upstream is slow: that is the machine's. A sidecar of its own, so that
    // the other has not met slow upstreams yet.
    let start = |stage: &mut Stage| {
        let listen = free();
        stage.start(&config(listen, discovery.addr, &list(1, &members), "pushed"), listen);
        thread::sleep(ms(500));
        listen
    };
    let first = ask_all(start(&mut stage), vec![LONGEST; 8], &record);
    let mut fits: Vec<usize> =
        first.iter().filter(|asked| asked.whole_at.is_none()).map(|asked| asked.written).collect();
    fits.sort_unstable();
    let least = fits.first().map_or(LONGEST, |least| least - MB / 4);
    // Some fit far more.
    let most = fits.get(fits.len() / 2).map_or(LONGEST, |middle| (middle + MB).min(LONGEST));
    record.note(format!("{least} to {most} bytes of a body can be written at once"));
    let lengths = (0..CLIENTS).map(|at| least + (most - least) / CLIENTS * at).collect();
    let second = ask_all(start(&mut stage), lengths, &record);

    let mut broken = Vec::new();
    let mut owed = 0;
    for Asked { id, length, whole_at, answer, answered_at, .. } in first.into_iter().chain(second) {
        // Only what was written whole, and before its answer.
        let Some(whole_at) = whole_at.filter(|at| *at < answered_at) else { continue };
        owed += 1;
        let took = (answered_at - whole_at).as_secs_f64();
        if took > BUDGET + LATE {
            let what =
                answer.map_or_else(|_| "not answered".to_owned(), |status| format!("answered {status}"));
            broken.push(format!(
                "request {id} of {length} bytes: {what}, {took:.2} s after its last byte was written"
            ));
        }
    }
    record.note(format!("{owed} requests were owed an answer"));
    if owed == 0 {
        stage.could_not_run("no request came whole");
    }
    stage.verdict(&broken);
}

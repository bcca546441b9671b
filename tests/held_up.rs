//! A process that is held up while answers come: what has come by then is passed on, and no end of an answer overtakes
//! its beginning. The real program; each crossing is forced by the order of events.

mod world;

use nix::sys::signal::Signal;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use world::*;

/// The longest time that a process may be held up.
const HOLD_UP: Duration = Duration::from_millis(150);

/// How long the client of an answer that is late waits, and when that is over.
const BUDGET: Duration = Duration::from_millis(400);
const OVER: Duration = Duration::from_millis(450);

/// The forms of an answer that is passed on as it comes: the end of its head, and what is around its pieces.
struct Form {
    head: &'static str,
    chunked: bool,
}

const FORMS: [Form; 3] = [
    Form { head: "Content-Length: 100000\r\n\r\n", chunked: false },
    Form { head: "\r\n", chunked: false },
    Form { head: "Transfer-Encoding: chunked\r\n\r\n", chunked: true },
];

impl Form {
    fn begin(&self) -> String {
        format!("HTTP/1.1 200 OK\r\n{}", self.head)
    }

    fn piece(&self, text: &str) -> String {
        if self.chunked { format!("{:x}\r\n{text}\r\n", text.len()) } else { text.to_owned() }
    }
}

/// A sidecar whose upstream has just been sent a request, on a connection that its client keeps.
struct Asked {
    _upstream: Upstream,
    sidecar: Sidecar,
    client: TcpStream,
    answering: TcpStream,
    since: Instant,
}

impl Asked {
    /// Waits until the client's time is over.
    fn wait_for_its_end(&self) {
        std::thread::sleep(OVER.saturating_sub(self.since.elapsed()));
    }
}

fn accept_request(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().expect("a connection");
    assert!(stream.read(&mut [0; 4_096]).expect("a request") > 0);
    stream
}

fn asked(budget: f64) -> Asked {
    let (upstream, listener) = Upstream::unattended();
    let sidecar = Sidecar::start(&[&upstream]);
    let mut client = sidecar.connect();
    let mut ask = |budget| {
        client.write_all(call("pay", budget).text().as_bytes()).expect("written");
        accept_request(&listener)
    };
    let mut first = ask(20.0);
    first.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").expect("written");
    assert_eq!(Answer::read(&mut client).status, 200);
    drop(first);
    let last = call("pay", budget).header("Connection", "close");
    client.write_all(last.text().as_bytes()).expect("written");
    let answering = accept_request(&listener);
    Asked { _upstream: upstream, sidecar, client, answering, since: Instant::now() }
}

/// What the client was told is the beginning of the upstream's answer, or an answer that says that it failed.
#[track_caller]
fn assert_answered(said: &str) {
    let begun = said.starts_with("HTTP/1.1 200") && !said.ends_with("\r\n0\r\n\r\n");
    assert!(begun || said.starts_with("HTTP/1.1 502"), "{said:?}");
}

/// Incident 318501: an answer that broke just after it had begun to be passed on took its beginning along.
#[test]
fn an_answer_that_breaks_while_the_process_is_held_up_does_not_end_a_connection_without_a_word() {
    for form in &FORMS {
        // All of it comes meanwhile, or the process has read its beginning and would hold it for a moment.
        for (begin, pieces) in [("", 1), ("", 5), ("begun", 1), ("begun", 5)] {
            let mut asked = asked(20.0);
            if !begin.is_empty() {
                asked.answering.write_all((form.begin() + &form.piece(begin)).as_bytes()).expect("written");
                assert_ne!(asked.sidecar.ready(), 0);
            }
            asked.sidecar.pause();
            if begin.is_empty() {
                asked.answering.write_all(form.begin().as_bytes()).expect("written");
            }
            let text = form.piece(&"half".repeat(500)).repeat(pieces);
            asked.answering.write_all(text.as_bytes()).expect("written");
            reset(asked.answering);
            std::thread::sleep(HOLD_UP);
            asked.sidecar.signal(Signal::SIGCONT);
            assert_answered(&all_of(asked.client));
        }
    }
}

/// Incident 318501: the same, where its upstream does not end it and its client's time is over.
#[test]
fn an_answer_that_is_late_as_the_process_goes_on_does_not_end_a_connection_without_a_word() {
    for form in &FORMS[1..] {
        let mut asked = asked(BUDGET.as_secs_f64());
        let begin = form.begin() + &form.piece("begun");
        asked.answering.write_all(begin.as_bytes()).expect("written");
        assert_ne!(asked.sidecar.ready(), 0);
        asked.sidecar.pause();
        asked.answering.write_all(form.piece("half").repeat(5).as_bytes()).expect("written");
        asked.wait_for_its_end();
        asked.sidecar.signal(Signal::SIGCONT);
        assert_answered(&all_of(asked.client));
    }
}

/// Incident 318501: an answer that was whole in the socket was cut unread.
#[test]
fn an_answer_that_is_whole_as_the_process_goes_on_is_passed_on_whole() {
    let form = &FORMS[2];
    let mut asked = asked(BUDGET.as_secs_f64());
    asked.answering.write_all((form.begin() + &form.piece("begun")).as_bytes()).expect("written");
    assert!(asked.client.peek(&mut [0]).expect("its start") > 0);
    asked.sidecar.pause();
    let rest = form.piece("half").repeat(5) + "0\r\n\r\n";
    asked.answering.write_all(rest.as_bytes()).expect("written");
    asked.wait_for_its_end();
    asked.sidecar.signal(Signal::SIGCONT);
    let said = Answer::try_read(&mut asked.client).expect("a whole answer");
    assert_eq!(said.whole(), (200, ("begun".to_owned() + &"half".repeat(5)).as_str()));
}

/// Guards against attempts for a client that has long gone: one that closes with its request looks like one that has only
/// ended its sending.
#[test]
fn no_attempt_begins_for_a_client_that_left_while_the_process_was_held_up() {
    let (upstream, sidecar) = served(|_| {});
    sidecar.pause();
    drop(sidecar.send(&call("pay", 20.0)));
    std::thread::sleep(HOLD_UP);
    sidecar.signal(Signal::SIGCONT);
    sidecar.serves(1, 5.0);
    assert_eq!(upstream.requests().len(), 1, "that of the other client");
}

//! Where heads of requests begin and end in what a client sends, and which of them name both a length and chunked
//! framing: the HTTP library drops the length of those, and with it the means to refuse them.

use hyper::HeaderMap;
use hyper::header::TRANSFER_ENCODING;
use std::collections::VecDeque;

/// So much of a line is looked at; the names and values that matter are shorter.
const LINE: usize = 128;

#[derive(Clone, Copy, PartialEq)]
enum At {
    /// Between requests: nothing of a head has come.
    Start,
    Head,
    /// So many bytes of a body of known length are left.
    Body(u64),
    Size,
    /// So many bytes of a chunk, and of the line end after it, are left.
    Chunk(u64),
    Trailers,
    /// What can't be read the library refuses too, and closes.
    Lost,
}

/// Why a request's body is not what its client meant, once the HTTP library has read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingFault {
    /// Another reader may end it elsewhere.
    LengthAndChunked,
    /// The marks of the inner chunks are left in it.
    ChunkedTwice,
    /// It is left coded, and without the header that says so.
    UnknownCoding,
}

impl FramingFault {
    /// What is wrong with a head; the HTTP library has hidden from it whether it is twofold.
    pub fn of(headers: &HeaderMap, is_twofold: bool) -> Option<FramingFault> {
        if is_twofold {
            return Some(FramingFault::LengthAndChunked);
        }
        let is_chunked = |coding: &[u8]| coding.eq_ignore_ascii_case(b"chunked");
        if !transfer_codings(headers).all(is_chunked) {
            return Some(FramingFault::UnknownCoding);
        }
        transfer_codings(headers).nth(1).map(|_| FramingFault::ChunkedTwice)
    }
}

/// The transfer codings that a head names, on one line or several.
fn transfer_codings(headers: &HeaderMap) -> impl Iterator<Item = &[u8]> {
    let lines = headers.get_all(TRANSFER_ENCODING).iter();
    let codings = lines.flat_map(|line| line.as_bytes().split(|&byte| byte == b','));
    codings.map(<[u8]>::trim_ascii).filter(|coding| !coding.is_empty())
}

/// Follows one connection.
pub struct Framing {
    at: At,
    /// The start of the present line, and whether it goes on.
    line: Vec<u8>,
    cut: bool,
    length: Option<u64>,
    chunked: bool,
    twofold: bool,
    /// For each head read whole and not yet asked for: does it name two framings?
    verdicts: VecDeque<bool>,
    /// Heads read whole.
    heads: u64,
    /// Nothing is read any more beyond the request that is being read.
    closing: bool,
}

impl Framing {
    pub fn new() -> Framing {
        Framing {
            at: At::Start,
            line: Vec::new(),
            cut: false,
            length: None,
            chunked: false,
            twofold: false,
            verdicts: VecDeque::new(),
            heads: 0,
            closing: false,
        }
    }

    /// Has a head begun and not ended?
    pub fn in_head(&self) -> bool {
        self.at == At::Head
    }

    /// Has anything of a request been read that has not been asked for yet?
    pub fn has_next(&self) -> bool {
        self.in_head() || !self.verdicts.is_empty()
    }

    /// How many heads have been read whole.
    pub fn heads(&self) -> u64 {
        self.heads
    }

    /// Does the next head, in the order in which they came, name two framings?
    pub fn next_is_twofold(&mut self) -> bool {
        self.verdicts.pop_front().unwrap_or(false)
    }

    /// From now on nothing is read beyond the request that is being read.
    pub fn close(&mut self) {
        self.closing = true;
    }

    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// How much may be read at once. Guards, once it closes, against reading what would be dropped.
    pub fn room(&self) -> usize {
        match self.at {
            _ if !self.closing => usize::MAX,
            At::Body(left) | At::Chunk(left) => usize::try_from(left).unwrap_or(usize::MAX),
            _ => 1,
        }
    }

    /// Takes in what has been read.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while let Some((&first, rest)) = bytes.split_first() {
            match self.at {
                At::Body(left) | At::Chunk(left) => {
                    let here = left.min(bytes.len() as u64);
                    bytes = &bytes[here as usize..];
                    self.at = match (self.at, left - here) {
                        (At::Body(_), 0) => At::Start,
                        (_, 0) => At::Size,
                        (At::Body(_), left) => At::Body(left),
                        (_, left) => At::Chunk(left),
                    };
                }
                At::Lost => return,
                _ => {
                    bytes = rest;
                    if first == b'\n' {
                        let mut line = std::mem::take(&mut self.line);
                        self.line_ended(line.strip_suffix(b"\r").unwrap_or(&line));
                        // The next line has the same buffer.
                        line.clear();
                        self.line = line;
                        self.cut = false;
                    } else if self.line.len() < LINE {
                        self.line.push(first);
                    } else {
                        self.cut = true;
                    }
                    if self.at == At::Start && !self.line.is_empty() && first != b'\r' {
                        self.at = At::Head;
                    }
                }
            }
        }
    }

    fn line_ended(&mut self, line: &[u8]) {
        match self.at {
            At::Head if line.is_empty() => self.head_ended(),
            At::Head => self.header(line),
            At::Size => {
                let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
                let size = std::str::from_utf8(&line[..digits]).ok();
                self.at = match size.and_then(|text| u64::from_str_radix(text, 16).ok()) {
                    Some(0) => At::Trailers,
                    Some(size) => At::Chunk(size.saturating_add(2)),
                    None => At::Lost,
                };
            }
            At::Trailers if line.is_empty() => self.at = At::Start,
            _ => {}
        }
    }

    fn header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|&byte| byte == b':') else { return };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            self.twofold |= self.chunked || self.cut;
            self.length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok()).or(Some(0));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.twofold |= self.length.is_some() || self.cut;
            self.chunked = true;
        }
    }

    fn head_ended(&mut self) {
        self.heads += 1;
        self.verdicts.push_back(std::mem::take(&mut self.twofold));
        self.at = match (std::mem::take(&mut self.chunked), self.length.take()) {
            (true, _) => At::Size,
            (false, Some(length)) if length > 0 => At::Body(length),
            _ => At::Start,
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAIN: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const SIZED: &str =
        "POST / HTTP/1.1\r\ncontent-LENGTH: 40\r\n\r\nTransfer-Encoding: chunked\r\n\r\nGET / HTTP";
    const CHUNKED: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
        1C;ext=\"a\"\r\nContent-Length: 5\r\n\r\nPOST / \r\n0\r\nContent-Length: 5\r\n\r\n";
    const BOTH: &str = "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    const BOTH_TURNED: &str = "POST / HTTP/1.1\nTransfer-Encoding: chunked\nContent-Length: 5\n\n0\r\n\r\n";

    #[test]
    fn two_framings_are_found_and_no_body_is_taken_for_a_head() {
        let order = [PLAIN, SIZED, BOTH, CHUNKED, "\r\n", BOTH_TURNED, PLAIN, CHUNKED, SIZED];
        let text = order.concat();
        // However it is cut into pieces.
        for piece in [1, 2, 3, 7, 64, text.len()] {
            let mut framing = Framing::new();
            text.as_bytes().chunks(piece).for_each(|bytes| framing.read(bytes));
            let found: Vec<bool> = framing.verdicts.iter().copied().collect();
            assert_eq!(found, [false, false, true, false, true, false, false, false], "pieces of {piece}");
            assert!(framing.at == At::Start && !framing.in_head());
        }
    }

    #[test]
    fn a_body_is_sound_if_chunked_is_its_only_coding() {
        let (unknown, twice) = (Some(FramingFault::UnknownCoding), Some(FramingFault::ChunkedTwice));
        for (lines, fault) in [
            (&[][..], None),
            (&["chunked"], None),
            (&[" , Chunked,"], None),
            (&["gzip, chunked"], unknown),
            (&["gzip", "chunked"], unknown),
            (&["identity,chunked"], unknown),
            (&["chunked, gzip, chunked"], unknown),
            (&["chunked;level=1, chunked"], unknown),
            (&["chunked, chunked"], twice),
            (&["chunked", "CHUNKED"], twice),
        ] {
            let mut headers = HeaderMap::new();
            for line in lines {
                headers.append(TRANSFER_ENCODING, line.parse().expect("a value"));
            }
            assert_eq!(FramingFault::of(&headers, false), fault, "{lines:?}");
            assert_eq!(FramingFault::of(&headers, true), Some(FramingFault::LengthAndChunked), "{lines:?}");
        }
    }

    #[test]
    fn a_head_is_in_progress_from_its_first_byte_to_its_last() {
        let mut framing = Framing::new();
        for (text, in_head) in [("\r\n", false), ("G", true), ("ET / HTTP/1.1\r\n", true), ("\r\n", false)] {
            framing.read(text.as_bytes());
            assert_eq!(framing.in_head(), in_head, "{text:?}");
        }
        assert!(framing.has_next(), "read, and not asked for");
        framing.next_is_twofold();
        assert!(!framing.has_next());
    }

    #[test]
    fn a_framing_header_too_long_to_be_read_is_refused() {
        let mut framing = Framing::new();
        let pad = " ".repeat(LINE);
        framing.read(format!("POST / HTTP/1.1\r\nContent-Length:{pad}5\r\n\r\n").as_bytes());
        assert!(framing.next_is_twofold());
    }
}

//! What the system knows of a TCP connection: Linux's `TCP_INFO`, which no crate in use asks for.

use std::io;
use std::mem::{offset_of, size_of, zeroed};
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// States of a connection, as `include/net/tcp_states.h` of Linux numbers them.
const TIME_WAIT: u8 = 6;
const CLOSE: u8 = 7;
const CLOSE_WAIT: u8 = 8;
const LAST_ACK: u8 = 9;
const CLOSING: u8 = 11;

/// What the other side has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEnd {
    Nothing,
    /// Its sending, at least: a close looks alike.
    Sending,
    /// All, by a reset, or both sides have closed.
    All,
}

/// What is asked for here.
#[derive(Clone, Copy, Debug)]
pub struct TcpInfo {
    pub peer_end: PeerEnd,
    /// Since bytes last came.
    pub since_bytes: Duration,
    /// Since anything last came, the other side's end included.
    pub since_segment: Duration,
}

/// Bytes that have come on this connection, whether they have been read or not.
pub fn bytes_received(socket: &impl AsFd) -> io::Result<u64> {
    let (info, known) = get(socket)?;
    if known < offset_of!(libc::tcp_info, tcpi_bytes_received) + size_of::<u64>() {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(info.tcpi_bytes_received)
}

/// Asks the system.
pub fn query(socket: &impl AsFd) -> io::Result<TcpInfo> {
    let (info, _) = get(socket)?;
    let peer_end = match info.tcpi_state {
        0 => return Err(io::ErrorKind::Unsupported.into()),
        CLOSE => PeerEnd::All,
        CLOSE_WAIT | LAST_ACK | CLOSING | TIME_WAIT => PeerEnd::Sending,
        _ => PeerEnd::Nothing,
    };
    let ms = |ms: u32| Duration::from_millis(ms.into());
    let (since_bytes, since_segment) = (ms(info.tcpi_last_data_recv), ms(info.tcpi_last_ack_recv));
    Ok(TcpInfo { peer_end, since_bytes, since_segment })
}

/// What the system tells, and how many bytes of that it knows.
#[allow(unsafe_code)]
fn get(socket: &impl AsFd) -> io::Result<(libc::tcp_info, usize)> {
    // SAFETY: it consists of integers alone, for which zeros are valid.
    let mut info: libc::tcp_info = unsafe { zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as it is borrowed, and both pointers are to locals of the sizes that are
    // named; the system writes no more than `length` bytes.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // An older system may know less.
    let needed = offset_of!(libc::tcp_info, tcpi_last_ack_recv) + size_of::<u32>();
    let known = length as usize;
    if known < needed {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok((info, known))
}

#[cfg(test)]
mod tests {
    use super::*;
    use socket2::SockRef;
    use std::io::Write;
    use std::net::{Shutdown, TcpListener, TcpStream};
    use std::thread::sleep;

    /// The system counts in ticks of its own, of 10 ms at most.
    const TICK: Duration = Duration::from_millis(10);
    const WAIT: Duration = Duration::from_millis(120);

    fn pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("accepted");
        (client, listener.accept().expect("one").0)
    }

    #[test]
    fn bytes_and_the_end_behind_them_have_an_age_each() {
        let (mut client, ours) = pair();
        client.write_all(b"request").expect("written");
        sleep(WAIT);
        client.shutdown(Shutdown::Write).expect("shut");
        let info = query(&ours).expect("known");
        assert_eq!(info.peer_end, PeerEnd::Sending);
        assert!(info.since_bytes + TICK >= WAIT, "{info:?}");
        assert!(info.since_segment < info.since_bytes, "{info:?}");
        sleep(WAIT);
        let info = query(&ours).expect("known");
        assert!(info.since_segment + TICK >= WAIT, "{info:?}");
    }

    #[test]
    fn bytes_that_have_come_are_counted_before_they_are_read() {
        let (mut client, ours) = pair();
        client.write_all(&[0; 1_000]).expect("written");
        assert_eq!(bytes_received(&ours).expect("known"), 1_000);
    }

    #[test]
    fn a_reset_is_told_from_an_end_of_sending() {
        let (client, ours) = pair();
        assert_eq!(query(&ours).expect("known").peer_end, PeerEnd::Nothing);
        SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
        drop(client);
        assert_eq!(query(&ours).expect("known").peer_end, PeerEnd::All);
    }

    #[test]
    fn what_is_no_tcp_connection_tells_nothing() {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        assert!(query(&socket).is_err());
    }
}

//! Crowds of callers that send what a test specifies and keep their connections open.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, Socket, Type};

/// Time without progress after which a crowd has sent all that the process takes.
const QUIET: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of connections that a crowd opens between two rounds of sending.
const OPENED_AT_ONCE: usize = 32;

/// What one caller of a crowd sends.
#[derive(Debug, Clone)]
pub struct CrowdMessage {
    /// Bytes of this caller.
    pub head: Vec<u8>,
    /// Bytes that callers share.
    pub rest: Arc<[u8]>,
    /// Address from which the caller connects; none lets the system choose it.
    pub from: Option<IpAddr>,
}

impl CrowdMessage {
    /// Returns the bytes that are left after the first `sent` ones.
    fn left(&self, sent: usize) -> &[u8] {
        match sent.checked_sub(self.head.len()) {
            Some(sent) => &self.rest[sent..],
            None => &self.head[sent..],
        }
    }
}

#[derive(Debug)]
struct Member {
    message: CrowdMessage,
    sent: usize,
    /// None once the connection was closed.
    stream: Option<TcpStream>,
    received: Vec<u8>,
}

/// Callers with one connection each, driven by the thread that owns the crowd.
#[derive(Debug)]
pub struct Crowd {
    members: Vec<Member>,
    reads: bool,
}

impl Crowd {
    /// Connects a caller for each message and sends as much as the process at `address` takes. Callers whose
    /// connections the process closes don't return.
    pub fn send(address: SocketAddr, messages: Vec<CrowdMessage>) -> Self {
        Self { members: Vec::new(), reads: true }.run(address, messages)
    }

    /// Like [`Self::send`], with callers that read nothing.
    pub fn send_without_reading(address: SocketAddr, messages: Vec<CrowdMessage>) -> Self {
        Self { members: Vec::new(), reads: false }.run(address, messages)
    }

    fn run(mut self, address: SocketAddr, messages: Vec<CrowdMessage>) -> Self {
        for message in messages {
            let stream = connect(address, message.from).ok();
            self.members.push(Member { message, sent: 0, stream, received: Vec::new() });
            if self.members.len().is_multiple_of(OPENED_AT_ONCE) {
                self.step();
            }
        }
        let mut quiet_since = Instant::now();
        while quiet_since.elapsed() < QUIET {
            match self.step() {
                true => quiet_since = Instant::now(),
                false => thread::sleep(POLL_INTERVAL),
            }
        }
        self
    }

    /// Sends and reads on all connections once. Returns whether bytes were sent or received.
    pub fn step(&mut self) -> bool {
        let mut moved = false;
        for member in &mut self.members {
            moved |= member.step(self.reads);
        }
        moved
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.members.iter().filter(|member| member.stream.is_some()).count()
    }

    /// Returns what each caller received, in the order of their messages.
    pub fn received(&self) -> impl Iterator<Item = &[u8]> {
        self.members.iter().map(|member| &*member.received)
    }

    /// Closes all connections.
    pub fn close(self) {
        drop(self);
    }
}

impl Member {
    /// Sends and, if the caller reads, receives once. Returns whether bytes were sent or received.
    fn step(&mut self, reads: bool) -> bool {
        let (sent, is_writable) = self.send();
        // An answer may have arrived before the connection was closed.
        let (received, is_readable) = if reads { self.receive() } else { (false, true) };
        if !is_writable || !is_readable {
            self.stream = None;
        }
        sent || received
    }

    /// Returns whether bytes were sent, and whether the connection is still open.
    fn send(&mut self) -> (bool, bool) {
        let Some(stream) = &mut self.stream else { return (false, true) };
        let mut moved = false;
        loop {
            let left = self.message.left(self.sent);
            if left.is_empty() {
                return (moved, true);
            }
            match stream.write(left) {
                Ok(sent) => {
                    self.sent += sent;
                    moved = true;
                }
                Err(err) => return (moved, err.kind() == ErrorKind::WouldBlock),
            }
        }
    }

    /// Returns whether bytes were received, and whether the connection is still open.
    fn receive(&mut self) -> (bool, bool) {
        let Some(stream) = &mut self.stream else { return (false, true) };
        let mut moved = false;
        let mut buf = [0; 4 * 1024];
        loop {
            match stream.read(&mut buf) {
                Ok(0) => return (moved, false),
                Ok(length) => {
                    self.received.extend_from_slice(&buf[..length]);
                    moved = true;
                }
                Err(err) => return (moved, err.kind() == ErrorKind::WouldBlock),
            }
        }
    }
}

fn connect(address: SocketAddr, from: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    if let Some(ip) = from {
        socket.bind(&SocketAddr::new(ip, 0).into())?;
    }
    socket.connect(&address.into())?;
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

//! A stand-in for a gateway that exchanges digests and records with others.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use persimmon_decide::forward::{ChangeNotice, Digest, StoreDelta};

/// Interval between two digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(50);
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(20);
/// Number of pieces of an answer that trickles, and the pause between them.
const PIECES: usize = 16;
const PIECE_PAUSE: Duration = Duration::from_millis(120);

/// How the stand-in answers peers that fetch records.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Source {
    /// It sends its records.
    Sound,
    /// It sends its records in small pieces.
    Trickles,
    /// It accepts connections and sends nothing.
    Silent,
    /// It sends half of its records and nothing more.
    StopsInTheMiddle,
    /// It sends half of its records and closes the connection.
    ClosesInTheMiddle,
    /// It sends what isn't records.
    Garbage,
}

/// What the stand-in answers.
#[derive(Debug)]
pub(crate) struct Script {
    pub(crate) source: Source,
    /// Body for peers that know patches.
    pub(crate) changes: Vec<u8>,
    /// Body for all others.
    pub(crate) records: Vec<u8>,
}

#[derive(Debug)]
struct Shared {
    script: Script,
    has_ended: AtomicBool,
    claimed: AtomicU64,
    notices: AtomicUsize,
    highest_position: AtomicU64,
    requests: Mutex<Vec<String>>,
}

/// A gateway of the test's own making, which sends digests and answers as its script says.
#[derive(Debug)]
pub(crate) struct RecordPeer {
    socket: UdpSocket,
    gateways: Vec<SocketAddr>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl RecordPeer {
    /// Minimum time that an answer takes which trickles.
    pub(crate) const TRICKLED: Duration = Duration::from_millis(PIECES as u64 * 120);

    /// Starts the stand-in at an address, with a position of zero.
    pub(crate) fn start(
        address: SocketAddr,
        gateways: Vec<SocketAddr>,
        reads_notices: bool,
        script: Script,
    ) -> Self {
        let socket = UdpSocket::bind(address).unwrap();
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let shared = Arc::new(Shared {
            script,
            has_ended: AtomicBool::new(false),
            claimed: AtomicU64::new(0),
            notices: AtomicUsize::new(0),
            highest_position: AtomicU64::new(0),
            requests: Mutex::default(),
        });
        let (sending, sender) = (shared.clone(), socket.try_clone().unwrap());
        let (receiving, receiver) = (shared.clone(), socket.try_clone().unwrap());
        let (serving, targets) = (shared.clone(), gateways.clone());
        let threads = vec![
            thread::spawn(move || send_digests(&sending, &sender, &targets, reads_notices)),
            thread::spawn(move || receive(&receiving, &receiver)),
            thread::spawn(move || serve(&serving, &listener)),
        ];
        Self { socket, gateways, shared, threads }
    }

    /// Names this position in digests from now on.
    pub(crate) fn claim(&self, position: u64) {
        self.shared.claimed.store(position, Ordering::Relaxed);
    }

    /// Sends a datagram to all gateways.
    pub(crate) fn send_all(&self, bytes: &[u8]) {
        for gateway in &self.gateways {
            self.socket.send_to(bytes, gateway).unwrap();
        }
    }

    /// Returns the socket from which the stand-in sends.
    pub(crate) fn socket(&self) -> UdpSocket {
        self.socket.try_clone().unwrap()
    }

    /// Returns the number of notices received.
    pub(crate) fn notices(&self) -> usize {
        self.shared.notices.load(Ordering::Relaxed)
    }

    /// Returns the highest position that a digest has named.
    pub(crate) fn highest_position(&self) -> u64 {
        self.shared.highest_position.load(Ordering::Relaxed)
    }

    /// Returns the targets of all requests.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.shared.requests.lock().unwrap().clone()
    }

    /// Ends the stand-in.
    pub(crate) fn close(self) {
        self.shared.has_ended.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

fn send_digests(shared: &Shared, socket: &UdpSocket, to: &[SocketAddr], reads_notices: bool) {
    for sequence in 1.. {
        if shared.has_ended.load(Ordering::Relaxed) {
            return;
        }
        let digest = Digest {
            incarnation: 7,
            sequence,
            revision: shared.claimed.load(Ordering::Relaxed),
            reads_notices,
            ..Digest::default()
        };
        let mut bytes = digest.to_bytes().unwrap();
        if !reads_notices {
            // Earlier builds don't send the last two sections: two bytes, and one of an empty list.
            bytes.truncate(bytes.len() - 3);
        }
        for gateway in to {
            socket.send_to(&bytes, gateway).unwrap();
        }
        thread::sleep(DIGEST_INTERVAL);
    }
}

fn receive(shared: &Shared, socket: &UdpSocket) {
    let mut buf = vec![0; 64 * 1024];
    while !shared.has_ended.load(Ordering::Relaxed) {
        // An error is a timeout.
        let Ok((length, _)) = socket.recv_from(&mut buf) else { continue };
        if ChangeNotice::from_bytes(&buf[..length]).is_some() {
            shared.notices.fetch_add(1, Ordering::Relaxed);
        } else if let Ok(digest) = Digest::from_bytes(&buf[..length]) {
            shared.highest_position.fetch_max(digest.revision, Ordering::Relaxed);
        }
    }
}

fn serve(shared: &Arc<Shared>, listener: &TcpListener) {
    while !shared.has_ended.load(Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(RECEIVE_TIMEOUT / 10);
            continue;
        };
        let shared = shared.clone();
        // An error means that the gateway has closed the connection.
        thread::spawn(move || answer(&shared, stream));
    }
}

fn answer(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 {
            return Ok(());
        }
    }
    let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let is_of_changes = target.starts_with("/changes");
    let number = {
        let mut requests = shared.requests.lock().unwrap();
        requests.push(target);
        requests.len()
    };
    let Script { source, changes, records } = &shared.script;
    let body = if is_of_changes { changes } else { records };
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    match source {
        Source::Silent => {}
        Source::Sound => {
            stream.write_all(head(body.len()).as_bytes())?;
            stream.write_all(body)?;
        }
        Source::Trickles => {
            stream.write_all(head(body.len()).as_bytes())?;
            for piece in body.chunks(body.len().div_ceil(PIECES)) {
                thread::sleep(PIECE_PAUSE);
                stream.write_all(piece)?;
            }
        }
        Source::StopsInTheMiddle | Source::ClosesInTheMiddle => {
            stream.write_all(head(body.len()).as_bytes())?;
            stream.write_all(&body[..body.len() / 2])?;
        }
        Source::Garbage => {
            let noise = |at: usize| (at * at * 31 + at * 7 + number) as u8;
            // Begins like each kind of an update in turn.
            let garbage: Vec<_> =
                [(number % 3) as u8].into_iter().chain((1..3_000).map(noise)).collect();
            stream.write_all(head(garbage.len()).as_bytes())?;
            stream.write_all(&garbage)?;
        }
    }
    if !matches!(source, Source::ClosesInTheMiddle) {
        // The gateway closes the connection.
        reader.read_to_end(&mut Vec::new())?;
    }
    Ok(())
}

/// Gets the records of a gateway after a position, as builds that don't know patches do.
pub(crate) fn get_records(gateway: SocketAddr, since: u64) -> StoreDelta {
    let answer = minreq::get(format!("http://{gateway}/records?since={since}")).send().unwrap();
    assert_eq!(answer.status_code, 200);
    StoreDelta::from_bytes(answer.as_bytes()).unwrap()
}

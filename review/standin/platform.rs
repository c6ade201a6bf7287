//! Stand-ins for the platform's store, workers and clients, and control of the project's processes.
//! Standard library only.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const FRONT_PORT: u16 = 8227;
pub const READY_PORT: u16 = 8220;
pub const CONTROL_PORT: u16 = 8229;
pub const PEER_PORT: u16 = 7340;
pub const METRICS_PORT: u16 = 9464;
pub const SERVER_PORT: u16 = 8080;
pub const STORE_PORT: u16 = 8223;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
}
pub const SIGTERM: i32 = 15;

// ---------------------------------------------------------------- record

struct Record {
    began: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn open_record(path: &str) -> io::Result<()> {
    let file = Mutex::new(File::create(path)?);
    let _ = RECORD.set(Record { began: Instant::now(), file });
    Ok(())
}

/// Milliseconds since the record began.
pub fn ms() -> u64 {
    RECORD.get().map_or(0, |it| it.began.elapsed().as_millis() as u64)
}

pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{:>9.3} s  {text}", record.began.elapsed().as_secs_f64());
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- HTTP messages

#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if head.first.is_empty() {
                head.first = line.to_owned();
            } else if line.is_empty() {
                return Ok(Some(head));
            } else if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

/// Reads a body; false if it broke off. Without a length or chunks, a request has none and an answer
/// ends with its connection.
fn read_body(reader: &mut impl BufRead, head: &Head, is_answer: bool) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(1..)) {
                return (body, false);
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = head.get("content-length").and_then(|it| it.parse::<u64>().ok()) {
        let read = reader.take(length).read_to_end(&mut body);
        let is_whole = read.is_ok() && body.len() as u64 == length;
        return (body, is_whole);
    }
    let is_whole = !is_answer || reader.read_to_end(&mut body).is_ok();
    (body, is_whole)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= part.len() { digit } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    events: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// The platform's store; it keeps all its history.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

/// One machine's path to the store. While it is cut, nothing passes, without a reset: open connections are
/// silent, and new ones hang, as the listener's queue is full and the kernel drops their first packets.
#[derive(Clone)]
pub struct StorePath {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl StorePath {
    pub fn set_cut(&self, is_cut: bool) {
        self.cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait_while_cut(&self) -> bool {
        let was_cut = self.cut.load(Ordering::SeqCst);
        while self.cut.load(Ordering::SeqCst) {
            sleep_ms(10);
        }
        was_cut
    }
}

impl Store {
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value.into()));
        state.events.push((revision, key.to_owned(), Some(value.into())));
        drop(state);
        self.state.1.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.events.push((revision, key.to_owned(), None));
        drop(state);
        self.state.1.notify_all();
    }

    pub fn open_path(&self, ip: Ipv4Addr) -> io::Result<StorePath> {
        let listener = TcpListener::bind((ip, STORE_PORT))?;
        let path = StorePath { address: listener.local_addr()?, cut: Arc::default() };
        let (store, of_path) = (self.clone(), path.clone());
        thread::spawn(move || store.accept(listener, &of_path));
        Ok(path)
    }

    fn accept(&self, mut listener: TcpListener, path: &StorePath) {
        loop {
            let _ = listener.set_nonblocking(true);
            while !path.cut.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (store, path) = (self.clone(), path.clone());
                thread::spawn(move || store.serve(stream, &path));
            }
            drop(listener);
            let Ok(full) = TcpListener::bind(path.address) else { return };
            // SAFETY: shortens the queue of an open listener.
            unsafe { listen(full.as_raw_fd(), 0) };
            let waiting: Vec<_> = (0..2)
                .filter_map(|_| TcpStream::connect_timeout(&path.address, Duration::from_millis(20)).ok())
                .collect();
            path.wait_while_cut();
            drop((waiting, full));
            let Ok(next) = TcpListener::bind(path.address) else { return };
            listener = next;
        }
    }

    fn serve(&self, stream: TcpStream, path: &StorePath) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            if path.wait_while_cut() {
                return;
            }
            let target = head.path().to_owned();
            let (call, query) = target.split_once('?').unwrap_or((&target, ""));
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
                pairs.find(|(it, _)| *it == name).map_or("", |(_, value)| value).to_owned()
            };
            let (status, body) = match call {
                "/kv-range" => self.list(),
                "/kv-watch" => {
                    let after = parameter("After").parse().unwrap_or(0);
                    let wait_ms = parameter("WaitMs").parse().unwrap_or(0);
                    self.watch(after, Duration::from_millis(wait_ms), path)
                }
                _ => (404, "{}".to_owned()),
            };
            if path.wait_while_cut() {
                return;
            }
            sleep_ms(4);
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn list(&self) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let items: Vec<_> =
            state.items.iter().map(|(key, (revision, value))| item(key, *revision, value)).collect();
        let items = items.join(",");
        (200, format!("{{\"Items\":[{items}],\"HasMore\":false,\"AsOf\":{}}}", state.revision))
    }

    fn watch(&self, after: u64, wait: Duration, path: &StorePath) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<_> =
                state.events.iter().filter(|(revision, ..)| *revision > after).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || path.cut.load(Ordering::SeqCst) {
                let events: Vec<_> = events
                    .into_iter()
                    .map(|(revision, key, value)| match value {
                        Some(value) => item(key, *revision, value),
                        None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
                    })
                    .collect();
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"AsOf\":{}}}", state.revision));
            }
            state = self.state.1.wait_timeout(state, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: &[u8]) -> String {
    let value = base64(value);
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"CreateRevision\":{revision},\"Lease\":0}}"
    )
}

// ---------------------------------------------------------------- workers

/// A request as a worker got it.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    pub head: Head,
    pub body_bytes: usize,
}

pub struct WorkerState {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    version: String,
    slots: u32,
    born: u64,
    seq: AtomicU64,
    pub is_leaving: AtomicBool,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Requests, by id, whose answer was sent to its end.
    pub ended: Mutex<Vec<(u64, String)>>,
}

pub type Worker = Arc<WorkerState>;
/// Answers one request; returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&WorkerState, &Arrival, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

pub struct WorkerSpec<'a> {
    pub id: &'a str,
    pub ip: Ipv4Addr,
    pub service: &'a str,
    pub slots: u32,
}

pub fn start_worker(spec: WorkerSpec<'_>, handler: Handler) -> io::Result<Worker> {
    let listener = TcpListener::bind((spec.ip, SERVER_PORT))?;
    let worker = Arc::new(WorkerState {
        id: spec.id.to_owned(),
        address: listener.local_addr()?,
        service: spec.service.to_owned(),
        zone: "khomas-a".to_owned(),
        version: "v1".to_owned(),
        slots: spec.slots,
        born: std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |it| it.as_millis() as u64),
        seq: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        arrivals: Mutex::default(),
        ended: Mutex::default(),
    });
    let of_listener = worker.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (worker, handler) = (of_listener.clone(), handler.clone());
            thread::spawn(move || worker.serve(stream, &handler));
        }
    });
    Ok(worker)
}

impl WorkerState {
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The worker's entry in the store, as its next heartbeat writes it.
    pub fn entry(&self, state: &str) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let Self { service, address, zone, version, slots, born, .. } = self;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"{version}\",\
             \"Slots\":{slots},\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Seq\":{seq},\"born\":{born}}}"
        )
    }

    /// Headers of every answer.
    pub fn echo(&self, arrival: &Arrival) -> String {
        let leaving = if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        format!("Attempt-Id: {}\r\n{leaving}", arrival.id)
    }

    pub fn seal(&self) -> String {
        format!("Response-Seal: seal-{}\r\n", self.id)
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let Ok(from) = stream.peer_addr() else { return };
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let (body, is_whole) = read_body(&mut reader, &head, false);
            if !is_whole {
                return;
            }
            let id = head.get("attempt-id").unwrap_or("").to_owned();
            let arrival = Arrival { at_ms: ms(), id, head, body_bytes: body.len() };
            if arrival.head.get("expect-instance").is_some_and(|it| it != self.id) {
                let answer =
                    format!("HTTP/1.1 421 x\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            note(&format!(
                "{} gets request {}: {} ({} bytes) from {}",
                self.id, arrival.id, arrival.head.first, arrival.body_bytes, from.ip()
            ));
            self.arrivals.lock().unwrap().push(arrival.clone());
            match handler(self, &arrival, &mut writer) {
                Ok(stays_open) => {
                    self.ended.lock().unwrap().push((ms(), arrival.id.clone()));
                    if !stays_open {
                        return;
                    }
                }
                Err(err) => {
                    note(&format!("{}: request {} is given up: {err}", self.id, arrival.id));
                    return;
                }
            }
        }
    }

    pub fn send(&self, arrival: &Arrival, status: u16, headers: &str, body: &[u8], writer: &mut TcpStream) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 {status} x\r\n{}{}{headers}Content-Length: {}\r\n\r\n",
            self.echo(arrival), self.seal(), body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        writer.write_all(&bytes)?;
        Ok(true)
    }

    /// Sends a stream of events, one in each `pause_ms`.
    pub fn stream(&self, arrival: &Arrival, events: u64, pause_ms: u64, writer: &mut TcpStream) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 x\r\n{}{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.echo(arrival), self.seal()
        );
        writer.write_all(head.as_bytes())?;
        let first: u64 = arrival.head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let began = Instant::now();
        for number in first + 1..=events {
            let due = began + Duration::from_millis(pause_ms * (number - first));
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let event = format!("id: {number}\ndata: {} of {} by {}\n\n", arrival.id, events, self.id);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

// ---------------------------------------------------------------- clients

pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

#[derive(Debug, Default)]
pub struct Answer {
    /// Zero if the connection ended before the head.
    pub status: u16,
    pub body: Vec<u8>,
    pub is_whole: bool,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn writer(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn read(&mut self) -> Answer {
        match Head::read(&mut self.reader) {
            Ok(Some(head)) => {
                let (body, is_whole) = read_body(&mut self.reader, &head, true);
                Answer { status: head.status(), body, is_whole }
            }
            Ok(None) | Err(_) => Answer::default(),
        }
    }

    pub fn call(&mut self, bytes: &[u8]) -> Answer {
        match self.send(bytes) {
            Ok(()) => self.read(),
            Err(_) => Answer::default(),
        }
    }
}

pub fn request(method: &str, path: &str, id: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\n\
         Authorization: Bearer key-of-tenant-1\r\n{headers}{length}\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------- the project's processes

pub struct Gateway {
    pub child: Child,
    pub ip: Ipv4Addr,
}

impl Gateway {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child that hasn't been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::connect(SocketAddr::from((self.ip, READY_PORT))) else { return false };
        client.call(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status == 200
    }

    /// Resident memory that belongs to the process alone, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let Ok(text) = fs::read_to_string(format!("/proc/{}/status", self.child.id())) else { return 0 };
        let line = text.lines().find_map(|it| it.strip_prefix("RssAnon:"));
        let kb = line.and_then(|it| it.trim().trim_end_matches(" kB").trim().parse::<u64>().ok());
        kb.unwrap_or(0) * 1024
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A small deployment on loopback addresses that no other process uses.
pub struct Deployment {
    net: [u8; 2],
    directory: PathBuf,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub paths: Vec<StorePath>,
    /// ContactMs, DrainMs and ConfigApplyMs.
    pub bounds: [u64; 3],
}

const PROGRAM: &str = "target/release/persimmonmountd";
const GATEWAY_IPS: u8 = 10;
const STORE_IPS: u8 = 100;
const WORKER_IPS: u8 = 150;

impl Deployment {
    pub fn new() -> io::Result<Self> {
        let mut draw = std::process::id() as u64 ^ std::time::UNIX_EPOCH.elapsed().map_or(0, |it| it.as_nanos() as u64);
        for _ in 0..50 {
            draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let net = [(draw >> 33) as u8 % 200 + 20, (draw >> 45) as u8];
            let ip = Ipv4Addr::new(127, net[0], net[1], GATEWAY_IPS);
            let ports = [FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT];
            if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
                let directory = std::env::temp_dir().join(format!("review-{}-{}-{}", std::process::id(), net[0], net[1]));
                fs::create_dir_all(&directory)?;
                return Ok(Self { net, directory, store: Store::default(), gateways: Vec::new(), paths: Vec::new(), bounds: [3_000, 2_000, 2_000] });
            }
        }
        Err(io::Error::other("no free addresses"))
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], last)
    }

    pub fn worker_ip(&self, number: u8) -> Ipv4Addr {
        self.ip(WORKER_IPS + number)
    }

    pub fn publish(&self, worker: &Worker, state: &str) {
        self.store.put(&worker.key(), &worker.entry(state));
    }

    /// Starts the gateways with the command of the deploy file, and waits until they are ready.
    pub fn start_gateways(&mut self, count: u8) -> io::Result<()> {
        for number in 0..count {
            let path = self.store.open_path(self.ip(STORE_IPS + number))?;
            self.paths.push(path);
        }
        for number in 0..count {
            let gateway = self.spawn(number, count)?;
            self.gateways.push(gateway);
        }
        let until = Instant::now() + Duration::from_secs(10);
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("a gateway isn't ready"));
            }
            sleep_ms(50);
        }
        note(&format!("{count} gateways are ready"));
        Ok(())
    }

    pub fn spawn(&self, number: u8, count: u8) -> io::Result<Gateway> {
        let ip = self.ip(GATEWAY_IPS + number);
        let seeds: Vec<_> = (0..count.min(3))
            .map(|it| format!("\"{}:{CONTROL_PORT}\"", self.ip(GATEWAY_IPS + it)))
            .collect();
        let [contact, drain, apply] = self.bounds;
        let settings = format!(
            "Node = \"edge-khomas-a-{}\"\nRole = \"gateway\"\nMachineClass = \"edge\"\n\
             Serves = [\"edge\",\"control_plane\"]\nIp = \"{ip}\"\nZone = \"khomas-a\"\nRegion = \"khomas\"\n\
             PortRange = [{PEER_PORT},{}]\nSeeds = [{}]\nBootstrap = true\nDiscovery = \"platform\"\n\
             Entry = \"vip\"\nHeartbeatMs = 1200\n\
             [Zones]\nkhomas-a = \"khomas\"\n\
             [Listen]\nFront = \"{ip}:{FRONT_PORT}\"\nReadiness = \"{ip}:{READY_PORT}\"\nControl = \"{ip}:{CONTROL_PORT}\"\n\
             [Limits]\nCpuShare = 0.19\nCores = 1\nMemoryMb = 260\nMaxFds = 4200\nLinkMbps = 1000.0\nDiskMb = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = {contact}\nAckMs = 4000\nCatchUpS = 4\nDrainMs = {drain}\n\
             GraceS = 8\nLossSlackMs = 200\nConfigApplyMs = {apply}\nRollbackSlackMs = 250\nMaxStretchMs = 5000\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 52\nRecoverS = 12\nPassMs = 120\n\
             ReuseWindowS = 10\nCapX = 2\n\
             [Platform]\nAddress = \"{}\"\nform = \"read\"\nReadsPerS = 2000\nHistoryS = 20\n",
            number + 1, PEER_PORT + 15, seeds.join(","), self.paths[usize::from(number)].address
        );
        let path = self.directory.join(format!("gateway-{number}.toml"));
        fs::write(&path, settings)?;
        let log = File::create(self.directory.join(format!("gateway-{number}.log")))?;
        let child = Command::new(PROGRAM)
            .args(["gateway", "--metrics-port", "9464"])
            .env("PERSIMMONMOUNT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Gateway { child, ip })
    }

}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// A route of the configuration.
pub struct RouteSpec<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
    pub more: &'a str,
}

/// The operator's configuration, with limits as in the users' example.
pub fn config(version: u64, routes: &[RouteSpec<'_>], services: &[&str]) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|it| {
            format!(
                "{{\"Name\":\"r{}\",\"Host\":\"desk.example\",\"Prefix\":\"{}\",\"Kind\":\"{}\",\"TimeoutMs\":{},\
                 \"TargetLatencyMs\":{},\"Priority\":1,\"Service\":\"{}\",\"MaxAttempts\":{},\"Public\":false{}}}",
                it.prefix.trim_matches('/'), it.prefix, it.kind, it.timeout_ms, it.target_ms, it.service, it.attempts, it.more
            )
        })
        .collect();
    let services: Vec<_> = services
        .iter()
        .map(|it| format!("{{\"Name\":\"{it}\",\"HealthPath\":\"/health\",\"MaxConns\":360,\"Protocol\":\"h1\",\"Tls\":false}}"))
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"tenant-1\",\"ApiKeys\":[\"key-of-tenant-1\"],\"Priority\":1}},\
         {{\"Name\":\"tenant-2\",\"ApiKeys\":[\"key-of-tenant-2\"],\"Priority\":1}}]}}",
        routes.join(","), services.join(",")
    )
}

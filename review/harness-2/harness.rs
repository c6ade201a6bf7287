//! Stand-ins for the cases of the second review: the platform's store, workers, clients, and the processes
//! of the deploy file. Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reports whether the script plays the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// The record of a run, `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create() -> io::Result<Self> {
        let folder = std::env::var("CASE").map_err(|_| io::Error::other("CASE isn't set"))?;
        let file = File::create(PathBuf::from(folder).join("record.txt"))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// Writes a line here and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, it| word << 8 | u32::from(*it)) << (8 * (3 - chunk.len()));
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// The head of an HTTP message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; none at the end of the connection before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.first.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        match (line.is_empty(), head.first.is_empty()) {
            (true, true) => {}
            (true, false) => return Ok(Some(head)),
            (false, true) => head.first = line.to_owned(),
            (false, false) => {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads a body by its length or chunks, or to the end of the connection if `until_close`.
pub fn read_body(reader: &mut impl BufRead, head: &Head, until_close: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::other("bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = head.get("content-length") {
        body.resize(length.parse().map_err(|_| io::Error::other("bad length"))?, 0);
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

// ---------------------------------------------------------------------------------------------- store

struct StoreState {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    events: Vec<(u64, String, Option<String>)>,
    compacted: u64,
    /// Whether watches hear nothing of changes.
    deaf: bool,
    /// Number that rises when waiting watches are cut.
    cut: u64,
    /// Whether the store is down: calls get no answer, and writes fail.
    down: bool,
    calls: u64,
    gone: u64,
    lists: u64,
    max_page: u64,
}

/// The platform's store, as `PROTOCOL.md` has it: `/kv-range`, `/kv-watch`, one revision, pages of at most 500
/// items or 1 MB.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let state = StoreState {
            revision: 100,
            items: BTreeMap::new(),
            events: Vec::new(),
            compacted: 0,
            deaf: false,
            cut: 0,
            down: false,
            calls: 0,
            gone: 0,
            lists: 0,
            max_page: 0,
        };
        let store =
            Self { address: listener.local_addr()?, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        lock(&self.state.0)
    }

    /// Writes an item, and returns the revision: the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value.to_owned()));
        state.events.push((revision, key.to_owned(), Some(value.to_owned())));
        // History is kept for a while only; 20,000 changes are more than 20 s here.
        if state.events.len() > 20_000 {
            let dropped: Vec<_> = state.events.drain(..10_000).collect();
            state.compacted = dropped.last().map_or(0, |it| it.0);
        }
        self.state.1.notify_all();
        revision
    }

    pub fn delete(&self, key: &str) -> u64 {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.events.push((revision, key.to_owned(), None));
        self.state.1.notify_all();
        revision
    }

    /// `platform_compact`, first step: watches hear nothing.
    pub fn deafen_watches(&self) {
        self.state().deaf = true;
    }

    /// `platform_compact`, second step: the history is dropped, and watches are cut.
    pub fn drop_history(&self) {
        let mut state = self.state();
        state.deaf = false;
        state.events.clear();
        state.compacted = state.revision;
        state.cut += 1;
        self.state.1.notify_all();
    }

    /// `platform_down`: while it lasts, calls get no answer, waiting watches included, and workers can't write.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state();
        state.down = down;
        state.cut += 1;
        self.state.1.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.state().down
    }

    /// Calls, lists begun, answers with 410, and the last page of a list that was asked for.
    pub fn counts(&self) -> (u64, u64, u64, u64) {
        let state = self.state();
        (state.calls, state.lists, state.gone, state.max_page)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut page = 0;
        while let Ok(Some(head)) = read_head(&mut reader) {
            let target = head.first.split(' ').nth(1).unwrap_or("").to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
                pairs.find(|(it, _)| *it == name).map_or(String::new(), |(_, value)| decode(value))
            };
            self.state().calls += 1;
            while self.is_down() {
                thread::sleep(ms(10));
            }
            let answer = match path {
                "/kv-range" => {
                    let after = parameter("After");
                    page = if after.is_empty() { 1 } else { page + 1 };
                    let mut state = self.state();
                    state.lists += u64::from(after.is_empty());
                    state.max_page = state.max_page.max(page);
                    Some((200, list(&state, &parameter("Prefix"), &after)))
                }
                "/kv-watch" => self.watch(
                    &parameter("Prefix"),
                    parameter("After").parse().unwrap_or(0),
                    ms(parameter("WaitMs").parse().unwrap_or(0).min(30_000)),
                ),
                _ => Some((404, "{}".to_owned())),
            };
            let Some((status, body)) = answer else { return };
            let answer = format!(
                "HTTP/1.1 {status} x\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// None if the watch is cut.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut state = self.state();
        let cut = state.cut;
        loop {
            if state.cut != cut {
                // A call that was waiting as the store went down gets no answer.
                while state.down {
                    state = self.state.1.wait_timeout(state, ms(50)).unwrap_or_else(PoisonError::into_inner).0;
                }
                return None;
            }
            if after < state.compacted || after > state.revision {
                state.gone += 1;
                return Some((410, "{}".to_owned()));
            }
            let events: Vec<_> = match state.deaf {
                true => Vec::new(),
                false => {
                    let mut new = state.events.iter().filter(|it| it.0 > after && it.1.starts_with(prefix));
                    new.by_ref()
                        .map(|(revision, key, value)| match value {
                            Some(value) => item(key, *revision, value),
                            None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
                        })
                        .collect()
                }
            };
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = if state.deaf { after } else { state.revision };
                return Some((200, format!("{{\"events\":[{}],\"AsOf\":{as_of}}}", events.join(","))));
            }
            state = self.state.1.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn list(state: &StoreState, prefix: &str, after: &str) -> String {
    let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
    for (key, (revision, value)) in &state.items {
        if !key.starts_with(prefix) || key.as_str() <= after {
            continue;
        }
        if items.len() == PAGE_ITEMS || bytes > PAGE_BYTES {
            has_more = true;
            break;
        }
        let text = item(key, *revision, value);
        bytes += text.len();
        items.push(text);
    }
    format!("{{\"Items\":[{}],\"HasMore\":{has_more},\"AsOf\":{}}}", items.join(","), state.revision)
}

fn item(key: &str, revision: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"CreateRevision\":{revision},\"Lease\":0}}"
    )
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let hex = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        bytes.push(u8::from_str_radix(&String::from_utf8_lossy(&hex), 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---------------------------------------------------------------------------------------------- entries

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis() as u64)
}

/// A worker's entry in the store.
pub fn entry(service: &str, address: SocketAddr, version: &str, slots: u32, state: &str, seq: u64, born: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\"Version\":\"{version}\",\
         \"Slots\":{slots},\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Seq\":{seq},\"born\":{born}}}"
    )
}

/// One route of a configuration.
#[derive(Clone)]
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub kind: &'static str,
    pub service: String,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
    pub sticky: bool,
}

impl Route {
    pub fn new(name: &str, kind: &'static str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            prefix: format!("/{name}/"),
            kind,
            service: service.to_owned(),
            timeout_ms: 2_000,
            target_ms: 300,
            attempts: if kind == "idempotent" { 2 } else { 1 },
            resumable: false,
            sticky: false,
        }
    }

    fn json(&self) -> String {
        let Self { name, prefix, kind, service, timeout_ms, target_ms, attempts, resumable, sticky } = self;
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{target_ms},\"Priority\":1,\"Service\":\"{service}\",\
             \"MaxAttempts\":{attempts},\"Resumable\":{resumable},\"Sticky\":{sticky},\"GapAimMs\":300}}"
        )
    }
}

pub const HOST: &str = "ficu95.example";

/// The operator's configuration.
pub fn configuration(version: u64, routes: &[Route], services: &[&str], keys: &[&str]) -> String {
    let routes: Vec<_> = routes.iter().map(Route::json).collect();
    let service = |it: &&str| format!("{{\"Name\":\"{it}\",\"HealthPath\":\"/health\",\"MaxConns\":360}}");
    let services: Vec<_> = services.iter().map(service).collect();
    let keys: Vec<_> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"desk\",\"ApiKeys\":[{}]}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

// ---------------------------------------------------------------------------------------------- workers

/// A request that a worker got.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub worker: String,
    pub id: String,
    pub path: String,
    pub head: Head,
    pub body: Vec<u8>,
    pub ran: bool,
}

/// How a worker answers a request that it runs.
pub type Serve = dyn Fn(&Arrival, &mut TcpStream) -> io::Result<Next> + Send + Sync;

/// What a worker does after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
    /// The process of the worker ends: all its connections are reset, and its port refuses new ones.
    Crash,
}

struct WorkerState {
    is_up: bool,
    id: String,
    born: u64,
    seq: u64,
    state: &'static str,
    version: String,
    streams: HashMap<u64, TcpStream>,
}

/// A worker: serves requests, and writes its entry every 1.2 s while it is up and `publishes`.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    slots: u32,
    state: Arc<Mutex<WorkerState>>,
    pub publishes: Arc<AtomicBool>,
    store: Store,
    record: Record,
    serve: Arc<Serve>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    next: Arc<AtomicU64>,
}

pub const HEARTBEAT_MS: u64 = 1_200;

impl Worker {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        name: &str,
        service: &str,
        version: &str,
        ip: Ipv4Addr,
        slots: u32,
        store: &Store,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        serve: Arc<Serve>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = WorkerState {
            is_up: true,
            id: name.to_owned(),
            born: unix_ms(),
            seq: 0,
            state: "ready",
            version: version.to_owned(),
            streams: HashMap::new(),
        };
        let worker = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address,
            slots,
            state: Arc::new(Mutex::new(state)),
            publishes: Arc::new(AtomicBool::new(true)),
            store: store.clone(),
            record: record.clone(),
            serve,
            arrivals: arrivals.clone(),
            next: Arc::new(AtomicU64::new(0)),
        };
        worker.publish();
        let beating = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(ms(HEARTBEAT_MS));
            if beating.publishes.load(Ordering::SeqCst) && lock(&beating.state).is_up {
                beating.publish();
            }
        });
        worker.listen(listener);
        Ok(worker)
    }

    pub fn id(&self) -> String {
        lock(&self.state).id.clone()
    }

    pub fn is_up(&self) -> bool {
        lock(&self.state).is_up
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id())
    }

    /// Writes the entry, again and again while the store is down.
    pub fn publish(&self) {
        while self.store.is_down() {
            thread::sleep(ms(50));
        }
        let (id, value) = {
            let mut state = lock(&self.state);
            state.seq += 1;
            let value = entry(
                &self.service, self.address, &state.version, self.slots, state.state, state.seq, state.born,
            );
            (state.id.clone(), value)
        };
        self.store.put(&format!("servers/{id}"), &value);
    }

    /// The entry is removed, and the worker serves on.
    pub fn withdraw(&self) {
        self.publishes.store(false, Ordering::SeqCst);
        self.store.delete(&self.key());
    }

    pub fn set_state(&self, to: &'static str) {
        lock(&self.state).state = to;
        self.publish();
    }

    fn listen(&self, listener: TcpListener) {
        let worker = self.clone();
        let listener = Arc::new(listener);
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            loop {
                if !lock(&worker.state).is_up {
                    // Dropping the listener closes the port.
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let worker = worker.clone();
                        thread::spawn(move || worker.serve_connection(stream));
                    }
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
    }

    fn serve_connection(&self, stream: TcpStream) {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        {
            let mut state = lock(&self.state);
            if !state.is_up {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                state.streams.insert(number, copy);
            }
        }
        let _ = self.serve_requests(stream);
        lock(&self.state).streams.remove(&number);
    }

    fn serve_requests(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head, false)?;
            let id = head.get("attempt-id").unwrap_or("").to_owned();
            let path = head.first.split(' ').nth(1).unwrap_or("").to_owned();
            let own = self.id();
            let is_other = head.get("expect-instance").is_some_and(|it| it != own);
            let arrival = Arrival {
                at_ms: self.record.ms(),
                worker: own.clone(),
                id: id.clone(),
                path: path.clone(),
                head,
                body,
                ran: !is_other,
            };
            self.record.line(&format!(
                "worker {own} {} {id} {path} deadline={} last={}",
                if is_other { "turned away (421)" } else { "runs" },
                arrival.head.get("deadline-ms").unwrap_or("-"),
                arrival.head.get("last-event-id").unwrap_or("-"),
            ));
            lock(&self.arrivals).push(arrival.clone());
            if is_other {
                let answer = format!(
                    "HTTP/1.1 421 x\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            match (self.serve)(&arrival, &mut writer)? {
                Next::Keep => {}
                Next::Close => return Ok(()),
                Next::Crash => {
                    self.crash();
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// The process of the worker ends at once.
    pub fn crash(&self) {
        let streams: Vec<_> = {
            let mut state = lock(&self.state);
            state.is_up = false;
            state.streams.drain().map(|it| it.1).collect()
        };
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("worker {} crashes", self.id()));
    }

    /// The software's version of the present incarnation.
    pub fn present_version(&self) -> String {
        lock(&self.state).version.clone()
    }

    /// Sets the version of the software from the next start on.
    pub fn set_version(&self, version: &str) {
        lock(&self.state).version = version.to_owned();
    }

    /// The worker starts again at its address, as a new incarnation, under this id.
    pub fn start_again(&self, id: &str) -> io::Result<()> {
        let until = Instant::now() + ms(3_000);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(err) if Instant::now() > until => return Err(err),
                Err(_) => thread::sleep(ms(20)),
            }
        };
        let old = self.id();
        {
            let mut state = lock(&self.state);
            state.is_up = true;
            state.id = id.to_owned();
            state.born = unix_ms();
            state.seq = 0;
        }
        if old != id {
            self.store.delete(&format!("servers/{old}"));
        }
        self.listen(listener);
        // It serves at once, and registers as soon as the store takes its entry.
        let registering = self.clone();
        thread::spawn(move || registering.publish());
        self.record.line(&format!("worker {old} is back as {id}"));
        Ok(())
    }
}

/// Sends a whole answer.
pub fn answer(arrival: &Arrival, writer: &mut TcpStream, status: u16, extra: &str, body: &str) -> io::Result<Next> {
    let text = format!(
        "HTTP/1.1 {status} x\r\nAttempt-Id: {}\r\nResponse-Seal: seal-{}-{}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        arrival.id,
        arrival.worker,
        arrival.id,
        body.len()
    );
    writer.write_all(text.as_bytes())?;
    Ok(Next::Keep)
}

// ---------------------------------------------------------------------------------------------- clients

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub is_whole: bool,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    pub fn has_seal(&self) -> bool {
        self.head.get("response-seal").is_some()
    }
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: String,
    pub deadline_ms: u64,
    pub headers: String,
    pub body: String,
}

impl Call {
    pub fn text(&self) -> String {
        let Self { method, path, id, key, deadline_ms, headers, body } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nAuthorization: Bearer {key}\r\n\
             Deadline-Ms: {deadline_ms}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Sends the request on a new connection and reads the answer.
    pub fn send(&self, to: SocketAddr) -> io::Result<Answer> {
        let stream = TcpStream::connect_timeout(&to, ms(1_000))?;
        stream.set_read_timeout(Some(ms(self.deadline_ms + 1_500)))?;
        stream.set_nodelay(true)?;
        (&stream).write_all(self.text().as_bytes())?;
        let mut reader = BufReader::new(stream);
        receive(&mut reader)
    }
}

pub fn receive(reader: &mut BufReader<TcpStream>) -> io::Result<Answer> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    match read_body(reader, &head, true) {
        Ok(body) => Ok(Answer { head, body, is_whole: true }),
        Err(_) => Ok(Answer { head, body: Vec::new(), is_whole: false }),
    }
}

/// Returns the status, or what else came.
pub fn outcome(answer: &io::Result<Answer>) -> String {
    match answer {
        Ok(it) if it.is_whole => it.status().to_string(),
        Ok(it) => format!("{} cut off", it.status()),
        Err(err) => format!("no answer ({})", err.kind()),
    }
}

// ---------------------------------------------------------------------------------------------- processes

/// A process of the deploy file. It is killed when dropped.
pub struct Process {
    pub child: Child,
    pub ip: Ipv4Addr,
    pub settings: PathBuf,
    pub role: &'static str,
    pub log: PathBuf,
}

pub const FRONT: u16 = 7_001;
pub const READY: u16 = 7_002;
pub const PEERS: u16 = 7_003;

/// Bounds as `sites/knt-whk.toml` has them.
pub fn settings(name: &str, ip: Ipv4Addr, seeds: &[Ipv4Addr], store: SocketAddr) -> String {
    let seeds: Vec<_> = seeds.iter().map(|it| format!("\"{it}:8229\"")).collect();
    format!(
        "Node = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"edge\"\nServes = [\"edge\",\"control_plane\"]\n\
         Ip = \"{ip}\"\nZone = \"zone-a\"\nRegion = \"region\"\nPortRange = [{PEERS},{}]\nSeeds = [{}]\n\
         Bootstrap = false\nHeartbeatMs = {HEARTBEAT_MS}\n[Zones]\nzone-a = \"region\"\n\
         [Listen]\nFront = \"{ip}:{FRONT}\"\nReadiness = \"{ip}:{READY}\"\nControl = \"{ip}:8229\"\n\
         [Limits]\nCpuShare = 0.19\nCores = 1\nMemoryMb = 260\nMaxFds = 4200\nLinkMbps = 1000.0\nDiskMb = 0\n\
         [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\n\
         GraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\nMaxStretchMs = 5000\n\
         StrictRevoke = false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 52\n\
         RecoverS = 12\nPassMs = 120\nReuseWindowS = 10\nCapX = 2\n\
         [Platform]\nAddress = \"{store}\"\nform = \"read\"\nReadsPerS = 2000\nHistoryS = 20\n",
        PEERS + 15,
        seeds.join(",")
    )
}

impl Process {
    /// Starts a role with the command of the deploy file.
    pub fn start(role: &'static str, ip: Ipv4Addr, folder: &PathBuf, text: &str) -> io::Result<Self> {
        let settings = folder.join(format!("{role}-{ip}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{role}-{ip}.log"));
        let child = Self::spawn(role, &settings, &log)?;
        Ok(Self { child, ip, settings, role, log })
    }

    fn spawn(role: &str, settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        Command::new("target/release/persimmonmountd")
            .args([role, "--metrics-port", "9464"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("PERSIMMONMOUNT_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    pub fn is_ready(&self) -> bool {
        let probe = || -> io::Result<u16> {
            let stream = TcpStream::connect_timeout(&(self.ip, READY).into(), ms(500))?;
            stream.set_read_timeout(Some(ms(1_000)))?;
            (&stream).write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(receive(&mut BufReader::new(stream))?.status())
        };
        probe().is_ok_and(|it| it == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(io::Error::other(format!("{} isn't ready", self.ip)));
            }
            thread::sleep(ms(20));
        }
        Ok(())
    }

    /// Sends a signal by the process's id.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status = Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
    }

    /// Waits for the end of the process and starts it again with its settings, as the platform does.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child.wait()?;
        self.child = Self::spawn(self.role, &self.settings, &self.log)?;
        Ok(())
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|it| it.is_some())
    }

    pub fn log_lines(&self, text: &str) -> usize {
        fs::read_to_string(&self.log).map_or(0, |it| it.lines().filter(|line| line.contains(text)).count())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder that is removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Loopback addresses of a run: those of two runs differ, whatever runs beside it.
pub fn ip(store: &Store, number: u8) -> Ipv4Addr {
    let [high, low] = store.address.port().to_be_bytes();
    Ipv4Addr::new(127, high, low, number)
}

/// Ends the script with what `run` returns.
pub fn finish(run: fn(&Record) -> io::Result<bool>) -> ! {
    let record = match Record::create() {
        Ok(record) => record,
        Err(err) => {
            eprintln!("the record can't be written: {err}");
            std::process::exit(COULD_NOT_RUN);
        }
    };
    let code = match run(&record) {
        Ok(true) => BROKEN,
        Ok(false) => HELD,
        Err(err) => {
            record.say(&format!("the case couldn't run: {err}"));
            COULD_NOT_RUN
        }
    };
    record.say(match code {
        BROKEN => "BROKEN",
        HELD => "held",
        _ => "not run",
    });
    std::process::exit(code)
}

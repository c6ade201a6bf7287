//! A TCP relay that can go silent, as a middlebox that has lost track of a connection does.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Bytes that a relay carries at once.
const RELAY_BUF_BYTES: usize = 16 * 1024;

/// How long a relay tries to get its port back.
const REBIND_DEADLINE: Duration = Duration::from_secs(5);

/// Time between two tries to get the port back.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// One way through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the side that connects to the target.
    ToTarget,
    /// From the target to the side that connects.
    FromTarget,
}

/// What a relay is told to do, as its control port takes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum RelaySwitch {
    /// New connections work.
    Up,
    /// Connections that are open now carry nothing more in this direction.
    SilenceOpen {
        /// The direction.
        direction: Direction,
    },
    /// Connections opened from now on carry nothing in this direction.
    SilenceNew {
        /// The direction.
        direction: Direction,
    },
    /// Connections that are open now are closed.
    Cut,
    /// New connections are refused.
    Refuse,
}

/// A TCP relay in front of another address. Clones are handles on the same relay.
///
/// A connection that was silenced stays so for good: it is kept open and what arrives is dropped.
///
/// ```no_run
/// use persimmon_standins::{Direction, Relay};
///
/// let relay = Relay::start("127.0.0.1:7000".parse().unwrap()).unwrap();
/// relay.silence_open(Direction::FromTarget);
/// relay.close();
/// ```
#[derive(Debug, Clone)]
pub struct Relay(Arc<Core>);

#[derive(Debug)]
struct Core {
    target: SocketAddr,
    address: SocketAddr,
    state: Mutex<State>,
    /// How much later bytes arrive, in milliseconds.
    delay_ms: Arc<AtomicU64>,
}

#[derive(Debug, Default)]
struct State {
    accept_thread: Option<JoinHandle<()>>,
    stopping: bool,
    closed: bool,
    silence_new: PerDirection<bool>,
    connections: Vec<Weak<Connection>>,
    accepted: u64,
}

#[derive(Debug, Default)]
struct PerDirection<T> {
    to_target: T,
    from_target: T,
}

impl<T> PerDirection<T> {
    fn get(&self, direction: Direction) -> &T {
        match direction {
            Direction::ToTarget => &self.to_target,
            Direction::FromTarget => &self.from_target,
        }
    }
}

#[derive(Debug)]
struct Connection {
    client: TcpStream,
    target: TcpStream,
    silence: PerDirection<AtomicBool>,
    delay_ms: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay to `target` on a port that the system chooses.
    ///
    /// # Errors
    /// When no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let relay = Self(Arc::new(Core {
            target,
            address,
            state: Mutex::default(),
            delay_ms: Arc::default(),
        }));
        relay.listen(listener);
        Ok(relay)
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Connections accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.state().accepted
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.state().connections.iter().filter(|open| open.strong_count() > 0).count()
    }

    /// Does what `switch` says.
    ///
    /// # Errors
    /// When the port can't be bound again.
    pub fn switch(&self, switch: RelaySwitch) -> io::Result<()> {
        match switch {
            RelaySwitch::Up => return self.accept(),
            RelaySwitch::SilenceOpen { direction } => self.silence_open(direction),
            RelaySwitch::SilenceNew { direction } => self.silence_new(direction),
            RelaySwitch::Cut => self.cut(),
            RelaySwitch::Refuse => self.refuse(),
        }
        Ok(())
    }

    /// Drops for good what the connections that are open now carry in `direction`.
    pub fn silence_open(&self, direction: Direction) {
        for connection in self.state().connections.iter().filter_map(Weak::upgrade) {
            connection.silence.get(direction).store(true, Ordering::SeqCst);
        }
    }

    /// Drops what connections opened from now on carry in `direction`.
    pub fn silence_new(&self, direction: Direction) {
        let mut state = self.state();
        match direction {
            Direction::ToTarget => state.silence_new.to_target = true,
            Direction::FromTarget => state.silence_new.from_target = true,
        }
    }

    /// Lets what connections carry arrive later, in both directions; zero ends that.
    pub fn delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.0.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// Closes the connections that are open now.
    pub fn cut(&self) {
        for connection in self.state().connections.drain(..).filter_map(|open| open.upgrade()) {
            connection.close();
        }
    }

    /// Refuses new connections until [`Self::accept`].
    pub fn refuse(&self) {
        let accept_thread = {
            let mut state = self.state();
            state.stopping = true;
            state.accept_thread.take()
        };
        if let Some(accept_thread) = accept_thread {
            // Wakes the thread that accepts, which then drops the listener.
            let _ = TcpStream::connect(self.0.address);
            let _ = accept_thread.join();
        }
    }

    /// Lets new connections work again.
    ///
    /// # Errors
    /// When the port can't be bound again.
    pub fn accept(&self) -> io::Result<()> {
        {
            let mut state = self.state();
            state.silence_new = PerDirection::default();
            if state.closed || state.accept_thread.is_some() {
                return Ok(());
            }
        }
        let listener = rebind(self.0.address)?;
        self.listen(listener);
        Ok(())
    }

    /// Ends the relay and its connections, for every handle.
    pub fn close(self) {
        self.state().closed = true;
        self.refuse();
        self.cut();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listen(&self, listener: TcpListener) {
        let mut state = self.state();
        state.stopping = false;
        let relay = self.clone();
        state.accept_thread = Some(thread::spawn(move || relay.accept_connections(&listener)));
    }

    fn accept_connections(&self, listener: &TcpListener) {
        for client in listener.incoming() {
            if self.state().stopping {
                return;
            }
            if let Ok(client) = client {
                let _ = self.open(client);
            }
        }
    }

    fn open(&self, client: TcpStream) -> io::Result<()> {
        let target = TcpStream::connect(self.0.target)?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let mut state = self.state();
        let silence = PerDirection {
            to_target: AtomicBool::new(state.silence_new.to_target),
            from_target: AtomicBool::new(state.silence_new.from_target),
        };
        let connection = Arc::new(Connection {
            client,
            target,
            silence,
            delay_ms: Arc::clone(&self.0.delay_ms),
        });
        state.accepted += 1;
        state.connections.retain(|open| open.strong_count() > 0);
        state.connections.push(Arc::downgrade(&connection));
        let other = Arc::clone(&connection);
        thread::spawn(move || other.forward(Direction::FromTarget));
        thread::spawn(move || connection.forward(Direction::ToTarget));
        Ok(())
    }
}

impl Connection {
    fn forward(&self, direction: Direction) {
        let (mut from, to) = match direction {
            Direction::ToTarget => (&self.client, &self.target),
            Direction::FromTarget => (&self.target, &self.client),
        };
        let silenced = self.silence.get(direction);
        let mut buf = [0; RELAY_BUF_BYTES];
        loop {
            match from.read(&mut buf) {
                Ok(0) => break,
                Ok(_) if silenced.load(Ordering::SeqCst) => {}
                Ok(n) if self.write_delayed(to, &buf[..n]).is_ok() => {}
                Ok(_) | Err(_) => return self.close(),
            }
        }
        if !silenced.load(Ordering::SeqCst) {
            let _ = to.shutdown(Shutdown::Write);
        }
    }

    fn write_delayed(&self, mut to: &TcpStream, bytes: &[u8]) -> io::Result<()> {
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::SeqCst));
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        to.write_all(bytes)
    }

    fn close(&self) {
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

/// Binds a port that was given up, which another socket may hold for a moment.
///
/// # Errors
/// When the port isn't free in time.
pub fn rebind(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + REBIND_DEADLINE;
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => thread::sleep(REBIND_INTERVAL),
        }
    }
}

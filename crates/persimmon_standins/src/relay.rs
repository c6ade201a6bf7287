//! A TCP relay that can silently drop data, as a middlebox does once it has lost a connection's
//! state.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use socket2::SockRef;

/// Size of a relay's buffer for each connection and direction.
const RELAY_BUF_BYTES: usize = 16 * 1024;

/// Time during which a relay retries to bind its port again.
const REBIND_DEADLINE: Duration = Duration::from_secs(5);

/// Interval between two attempts to bind the port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// Direction of the data on a relayed connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
}

/// A command that changes a relay's behaviour, as sent to its control port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum RelaySwitch {
    /// Normal operation for new connections.
    Up,
    /// Silence on all connections that are open now, in one direction.
    SilenceOpen {
        /// Direction in which data is dropped.
        direction: Direction,
    },
    /// Silence on all connections opened from now on, in one direction.
    SilenceNew {
        /// Direction in which data is dropped.
        direction: Direction,
    },
    /// Closure of all connections that are open now.
    Cut,
    /// Refusal of new connections.
    Refuse,
}

/// A TCP relay in front of a target address. Clones are handles to the same relay.
///
/// A silenced connection stays open, but the relay drops all further data in the silenced
/// direction. This can't be undone.
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
    /// Delay before each write, in milliseconds.
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

/// A value for each direction.
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
    /// Starts a relay to `target` on a port that the operating system assigns.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
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

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Returns the number of connections accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.state().accepted
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state().connections.iter().filter(|open| open.strong_count() > 0).count()
    }

    /// Executes a command.
    ///
    /// # Errors
    /// Returns an error if the port can't be bound again.
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

    /// Drops all further data in `direction` on the connections that are open now.
    pub fn silence_open(&self, direction: Direction) {
        for connection in self.state().connections.iter().filter_map(Weak::upgrade) {
            connection.silence.get(direction).store(true, Ordering::SeqCst);
        }
    }

    /// Drops all data in `direction` on connections opened from now on, until [`Self::accept`].
    pub fn silence_new(&self, direction: Direction) {
        let mut state = self.state();
        match direction {
            Direction::ToTarget => state.silence_new.to_target = true,
            Direction::FromTarget => state.silence_new.from_target = true,
        }
    }

    /// Delays data by `delay` in both directions. Zero removes the delay.
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
            // Wakes the accept thread, which then drops the listener.
            let _ = TcpStream::connect(self.0.address);
            let _ = accept_thread.join();
        }
    }

    /// Accepts new connections again and relays their data in both directions.
    ///
    /// # Errors
    /// Returns an error if the port can't be bound again.
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

    /// Closes all connections, and refuses new ones for `downtime`, as a program does that crashes and is
    /// started again. An error is printed, with `name` for the program.
    pub(crate) fn crash(&self, name: &'static str, downtime: Duration) {
        self.refuse();
        self.cut();
        let relay = self.clone();
        thread::spawn(move || {
            thread::sleep(downtime);
            if let Err(err) = relay.accept() {
                eprintln!("{name} stand-in can't bind its port after a crash ({err}); restart it");
            }
        });
    }

    /// Stops the relay and closes its connections, for all handles.
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

/// Binds a port whose listener was closed. Retries for up to 5 s, because another socket may occupy
/// the port for a moment.
///
/// # Errors
/// Returns an error if the port doesn't become free in time.
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

/// Makes the connection reset when it is closed, instead of ending in order.
///
/// # Errors
///
/// The option can't be set.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

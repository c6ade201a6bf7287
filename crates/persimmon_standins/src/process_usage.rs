//! What a process uses, as the kernel reports it.

use std::fs;
use std::io;
use std::net::SocketAddr;

/// State of a listening socket in the kernel's table.
const LISTENING: &str = "0A";
const BYTES_PER_KB: u64 = 1_024;

/// Memory and descriptors of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Maximum of the resident memory since the start, in bytes.
    pub peak_bytes: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads the usage of the process with this id.
    ///
    /// # Errors
    ///
    /// There is no such process, or a value is missing.
    pub fn of(process: u32) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        Ok(Self {
            peak_bytes: status_bytes(&status, "VmHWM:")?,
            resident_bytes: status_bytes(&status, "VmRSS:")?,
            descriptors: fs::read_dir(format!("/proc/{process}/fd"))?.count(),
        })
    }
}

fn status_bytes(status: &str, name: &str) -> io::Result<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kb = line.and_then(|it| it.split_whitespace().next()).and_then(|it| it.parse::<u64>().ok());
    kb.map(|it| it * BYTES_PER_KB).ok_or_else(|| io::Error::other(format!("no {name} in status")))
}

/// Bytes at the sockets of a process that listens at an address.
#[derive(Debug, Clone, Copy)]
pub struct SocketBytes {
    /// Bytes that arrived and weren't read.
    pub unread: u64,
    /// Bytes that the other ends have sent and that haven't arrived.
    pub under_way: u64,
}

impl SocketBytes {
    /// Reads the kernel's table of IPv4 sockets.
    ///
    /// # Errors
    ///
    /// The table can't be read, or the address isn't an IPv4 address.
    pub fn at(address: SocketAddr) -> io::Result<Self> {
        let SocketAddr::V4(address) = address else {
            return Err(io::Error::other("not an IPv4 address"));
        };
        let [a, b, c, d] = address.ip().octets();
        let own = format!("{d:02X}{c:02X}{b:02X}{a:02X}:{:04X}", address.port());
        let mut bytes = Self { unread: 0, under_way: 0 };
        for line in fs::read_to_string("/proc/net/tcp")?.lines() {
            let fields: Vec<_> = line.split_whitespace().collect();
            let &[_, local, remote, state, queues, ..] = &*fields else { continue };
            let Some((sent, unread)) = queues.split_once(':') else { continue };
            let parse = |hex| u64::from_str_radix(hex, 16).unwrap_or(0);
            if state == LISTENING {
                continue;
            }
            if local == own {
                bytes.unread += parse(unread);
            } else if remote == own {
                bytes.under_way += parse(sent);
            }
        }
        Ok(bytes)
    }
}

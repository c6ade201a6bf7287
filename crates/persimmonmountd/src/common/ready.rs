//! The line on standard output that says that a process is ready, and at which addresses.

use std::io::{self, Write};
use std::net::SocketAddr;

use serde::Serialize;

/// What a process says of itself once it's ready.
#[derive(Debug, Serialize)]
pub(crate) struct Ready<'a> {
    ready: bool,
    role: &'static str,
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    listen: Option<SocketAddr>,
    peer: SocketAddr,
    ops: SocketAddr,
}

/// Prints the ready line as one JSON object.
///
/// # Errors
///
/// Standard output can't be written.
pub(crate) fn print_ready(
    role: &'static str,
    name: &str,
    listen: Option<SocketAddr>,
    peer: SocketAddr,
    ops: SocketAddr,
) -> io::Result<()> {
    let ready = Ready { ready: true, role, name, listen, peer, ops };
    let line = serde_json::to_string(&ready)?;
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{line}")?;
    stdout.flush()
}

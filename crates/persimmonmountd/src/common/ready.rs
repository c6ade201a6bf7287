//! Prints a line on standard output when a process is ready, with its addresses.

use std::io::{self, Write};
use std::net::SocketAddr;

use serde::Serialize;

/// Contents of the ready line.
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
/// Returns an error if writing to standard output fails.
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

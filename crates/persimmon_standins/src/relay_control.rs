//! A relay with a control port, which lets it run in its own process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use tiny_http::Method;

use crate::http::{Call, Handler, HttpServer};
use crate::relay::Relay;

/// A [`Relay`] that can be switched over HTTP.
#[derive(Debug)]
pub struct RelayControl {
    server: HttpServer,
    relay: Relay,
}

#[derive(Debug)]
struct Routes(Relay);

#[derive(Debug, Serialize)]
struct RelayCounts {
    accepted: u64,
    open: usize,
}

impl RelayControl {
    /// Starts a relay to `target` and its control port.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let relay = Relay::start(target)?;
        let server = HttpServer::start(&Arc::new(Routes(relay.clone())))?;
        Ok(Self { server, relay })
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the relay and its control port.
    pub fn close(self) {
        self.relay.close();
        self.server.close();
    }
}

impl Handler for Routes {
    fn handle(&self, mut call: Call) {
        let path = call.path();
        match (call.method(), path.as_str()) {
            (Method::Get, "/stand-in/counts") => {
                let relay = &self.0;
                let counts =
                    RelayCounts { accepted: relay.accepted(), open: relay.open_connections() };
                call.reply_json(200, &counts);
            }
            (Method::Post, "/stand-in/switch") => match call.read_json() {
                Ok(switch) => match self.0.switch(switch) {
                    Ok(()) => call.reply_empty(200),
                    Err(_) => call.reply_empty(500),
                },
                Err(_) => call.reply_empty(400),
            },
            _ => call.reply_empty(404),
        }
    }
}

//! A relay with a control port, for a process of its own.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use tiny_http::Method;

use crate::http::{Call, Handler, HttpServer};
use crate::relay::Relay;

/// A [`Relay`] that is switched over HTTP.
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
    /// Starts a relay to `target` with a control port beside it.
    ///
    /// # Errors
    /// When no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let relay = Relay::start(target)?;
        let server = HttpServer::start(&Arc::new(Routes(relay.clone())))?;
        Ok(Self { server, relay })
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Where the relay is switched and its counts are read.
    pub fn control_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends the relay and its control port.
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

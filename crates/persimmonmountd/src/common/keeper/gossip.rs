//! Sends and receives digests over UDP.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;

use flume::Sender;
use persimmon_decide::membership::Digest;
use persimmon_wire::{FleetKey, decode_digest, encode_digest};

use super::command::{FleetCommand, FleetInput};
use crate::common::Metrics;

/// The UDP socket for digests.
#[derive(Debug, Clone)]
pub(crate) struct Gossip {
    socket: Arc<UdpSocket>,
    key: FleetKey,
    metrics: Metrics,
}

impl Gossip {
    /// Binds the address and starts the thread that receives digests.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the thread can't be started.
    pub(crate) fn start(
        listen: SocketAddr,
        key: FleetKey,
        metrics: Metrics,
        fleet: Sender<FleetCommand>,
    ) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(listen)?);
        let gossip = Self { socket, key, metrics };
        let receiver = gossip.clone();
        thread::Builder::new().name("digests".into()).spawn(move || receiver.receive(&fleet))?;
        Ok(gossip)
    }

    /// Sends a digest. A lost digest isn't sent again, since the next one replaces it.
    pub(crate) fn send(&self, digest: &Digest, to: SocketAddr) {
        match encode_digest(digest, &self.key) {
            Ok(datagram) => {
                self.count("sent", datagram.len());
                if let Err(err) = self.socket.send_to(&datagram, to) {
                    tracing::debug!("digests: can't send a digest: {err}.");
                }
            }
            Err(err) => tracing::error!("digests: can't encode a digest: {err}."),
        }
    }

    fn receive(&self, fleet: &Sender<FleetCommand>) {
        // One byte longer than the maximum, so that decoding detects datagrams that are too long.
        let mut buf = [0; Digest::MAX_BYTES + 1];
        loop {
            // An error doesn't close the socket; for example, it reports that an earlier datagram
            // was sent to a port without a receiver.
            let Ok((length, from)) = self.socket.recv_from(&mut buf) else { continue };
            self.count("received", length);
            match decode_digest(&buf[..length], &self.key) {
                Ok(digest) => {
                    let result = FleetInput::Digest { digest: Box::new(digest), from };
                    if fleet.send(FleetCommand::Input(result)).is_err() {
                        return;
                    }
                }
                Err(err) => {
                    tracing::warn!("digests: digest from {from} dropped: {err}.");
                    self.metrics.dropped.with_label_values(&["datagram"]).inc();
                }
            }
        }
    }

    fn count(&self, direction: &str, bytes: usize) {
        let counter = self.metrics.control_bytes.with_label_values(&[direction, "digests"]);
        counter.inc_by(bytes as u64);
    }
}

//! Digests over UDP.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;

use flume::Sender;
use persimmon_decide::membership::Digest;
use persimmon_wire::{FleetKey, decode_digest, encode_digest};

use super::command::{FleetCommand, TaskResult};
use crate::common::Metrics;

/// The socket that digests are sent from and received at.
#[derive(Debug, Clone)]
pub(crate) struct Gossip {
    socket: Arc<UdpSocket>,
    key: FleetKey,
    metrics: Metrics,
}

impl Gossip {
    /// Binds the address and starts the thread that receives.
    ///
    /// # Errors
    ///
    /// The address can't be bound or the thread can't be started.
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

    /// Sends a digest. One that is lost is made up for by the next.
    pub(crate) fn send(&self, digest: &Digest, to: SocketAddr) {
        match encode_digest(digest, &self.key) {
            Ok(datagram) => {
                self.count("sent", datagram.len());
                if let Err(err) = self.socket.send_to(&datagram, to) {
                    tracing::debug!("digests: one can't be sent: {err}.");
                }
            }
            Err(err) => tracing::error!("digests: one can't be written: {err}."),
        }
    }

    fn receive(&self, fleet: &Sender<FleetCommand>) {
        // One byte more than a datagram may have, so that a longer one is noticed.
        let mut buf = [0; Digest::MAX_BYTES + 1];
        loop {
            // After an error, such as an earlier datagram that found no receiver, later ones may come.
            let Ok((length, from)) = self.socket.recv_from(&mut buf) else { continue };
            self.count("received", length);
            match decode_digest(&buf[..length], &self.key) {
                Ok(digest) => {
                    let result = TaskResult::Digest { digest: Box::new(digest), from };
                    if fleet.send(FleetCommand::TaskResult(result)).is_err() {
                        return;
                    }
                }
                Err(err) => {
                    tracing::warn!("digests: one from {from} is dropped: {err}.");
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

//! The protocols between the processes of the fleet: calls over TCP behind a handshake that proves
//! the fleet key at both ends, and authenticated datagrams over UDP.

mod connection;
mod convert;
mod datagram;
mod fleet_key;
mod handshake;
mod message;

#[allow(
    missing_docs,
    unreachable_pub,
    unused_qualifications,
    rust_2018_idioms,
    clippy::all,
    clippy::pedantic
)]
#[path = "generated/fleet_capnp.rs"]
pub mod fleet_capnp;

pub use connection::{Connection, dial, serve};
pub use convert::WireError;
pub use datagram::{Datagram, DatagramError, MAX_DATAGRAM_BYTES};
pub use fleet_key::{FleetKey, FleetKeyError};
pub use handshake::{HandshakeError, accept_handshake, dial_handshake};
pub use message::{
    Admission, CallReply, ClaimReply, ClaimRequest, Frame, FrameKind, Load, ModelRequest, Refusal,
    ServiceCall, StreamPosition,
};

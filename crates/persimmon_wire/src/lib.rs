//! The protocols between the processes of the fleet: RPC calls over TCP, after a handshake in which
//! both ends prove that they have the fleet key, and authenticated datagrams over UDP.

mod connection;
mod convert;
mod datagram;
mod fleet_key;
mod handshake;
mod message;
mod records_update;

#[allow(
    missing_docs,
    unreachable_pub,
    unused_qualifications,
    rust_2018_idioms,
    clippy::all,
    clippy::pedantic,
    clippy::unimplemented,
    clippy::use_self
)]
#[rustfmt::skip]
#[path = "generated/fleet_capnp.rs"]
pub mod fleet_capnp;

pub use connection::{Connection, dial, serve};
pub use convert::{
    WireError, read_credit_batch, read_credit_demand, read_settled, read_stamp, write_credit_batch,
    write_credit_demand, write_settled, write_stamp,
};
pub use datagram::{DatagramError, decode_digest, encode_digest};
pub use fleet_key::{FleetKey, FleetKeyError};
pub use handshake::{HandshakeError, accept_handshake, dial_handshake};
pub use message::{
    Admission, CallReply, ClaimReply, ClaimRequest, Frame, FrameBody, ModelRequest, Refused,
    RequestRef, ServiceCall, StreamPosition,
};
pub use records_update::{RecordsUpdate, read_set_version, write_set_version};

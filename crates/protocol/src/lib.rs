//! The protocol between the hosts of a fleet: messages, their codec with
//! authentication and limits, and the transports.
//!
//! Small frequent messages are sent as UDP datagrams; transfers that are larger
//! than a datagram use JSON-RPC over TCP.

pub mod attempt;
pub mod codec;
pub mod config;
pub mod gossip;
pub mod health;
pub mod loan;
pub mod message;
pub mod rpc;
pub mod secret;
pub mod socket;
mod wire;

pub use codec::{MAX_DATAGRAM_BYTES, wire_len_bytes};
pub use config::{ConfigMessage, ConfigSummary, ConfigUpdate, Stamp};
pub use message::{Envelope, Message, MessageKind, Outgoing};
pub use rpc::{PeerClient, PeerServer, PeerService, RpcError};
pub use secret::FleetSecret;
pub use socket::{PeerSocket, SocketSettings};

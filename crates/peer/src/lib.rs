//! Messages between daemons, over Cap'n Proto RPC.
//!
//! [`PeerTransport`] sends [`node::PeerMessage`]s and receives those of others. Its wire types
//! are generated from `schema/peer.capnp`; the generated code is committed, so that a build needs
//! no schema compiler.
//!
//! # Example
//!
//! ```no_run
//! use base::{Incarnation, Seat};
//! use mango_peer::PeerTransport;
//!
//! let seat = Seat { address: "127.0.0.1:7001".parse().unwrap(), incarnation: Incarnation(1) };
//! let listener = std::net::TcpListener::bind("127.0.0.1:7001").unwrap();
//! let transport = PeerTransport::start(seat, listener, Box::new(|_from, _message| {})).unwrap();
//! ```
//!
//! # When to use it
//!
//! Use it in the daemon. The node treats each message as one that may be lost, repeated, delayed
//! or reordered, so the transport drops what it can't send soon.
//!
//! # Limits
//!
//! Messages are at most 32 MiB. To each peer at most 1,024 messages wait and 64 are unanswered.
//! The RPC system is single-threaded and runs on a thread of its own.

mod convert;
#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
mod peer_capnp;
mod transport;

pub use convert::{decode, encode, WireError};
pub use transport::{PeerStats, PeerTransport, Receiver};

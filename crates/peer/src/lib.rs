//! Messages between daemons, over Cap'n Proto RPC.
//!
//! [`PeerTransport`] sends and receives [`node::PeerMessage`]s. The wire types are generated from
//! `schema/peer.capnp`. The generated code is committed, so that a build needs no schema compiler.
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
//! Use it in the daemon. The node expects that messages can be lost, duplicated, delayed or
//! reordered, so the transport drops messages that it can't send soon.
//!
//! # Limits
//!
//! A message is at most 32 MiB. For each peer, at most 1,024 messages are queued and 64 await an
//! acknowledgement. The RPC system is single-threaded and runs on its own thread.

mod convert;
#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
mod peer_capnp;
mod transport;

pub use convert::{decode, encode, WireError};
pub use transport::{MessageHandler, PeerStats, PeerTransport};

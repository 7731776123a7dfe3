//! Serves HTTP/1.1 connections of a process that may stop, without dropping pipelined requests.
//!
//! An answer with `Connection: close` ends its connection, and a request that hyper has read behind
//! it gets no answer. [`serve_connection`] knows whether anything has been read behind a request:
//! while the process stops, only the last answer closes the connection.
//!
//! # Example
//!
//! ```
//! use std::convert::Infallible;
//!
//! use bytes::Bytes;
//! use http_body_util::Full;
//! use hyper::body::Incoming;
//! use hyper::server::conn::http1;
//! use hyper::{Request, Response};
//! use mango_drain::serve_connection;
//! use tokio::io::{AsyncReadExt, AsyncWriteExt};
//!
//! # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
//! let (mut client, server) = tokio::io::duplex(1_024);
//! client.write_all(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n").await.unwrap();
//! let answer = |request: Request<Incoming>| async move {
//!     Response::new(Full::new(Bytes::from(request.uri().path().to_owned())))
//! };
//! // The process is stopping already.
//! serve_connection(&http1::Builder::new(), server, answer, || true, async {}).await;
//! let mut text = String::new();
//! client.read_to_string(&mut text).await.unwrap();
//! assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2);
//! assert_eq!(text.matches("connection: close").count(), 1);
//! # });
//! ```
//!
//! A [`StallLimit`] ends connections whose peer doesn't read.
//!
//! # Limits
//!
//! A request that arrives after the head of a closing answer was written isn't answered, and neither
//! is one of which only the first byte had been read by then. Its client learns that from the answer.
//! A handler that answers before it has read the request's body may end the connection.

mod connection;
mod stall;
mod stream;

pub use connection::serve_connection;
pub use stall::StallLimit;

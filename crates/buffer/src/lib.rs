//! Memory for bodies that are buffered, limited over the whole process.
//!
//! A limit on each body doesn't limit the memory of a process that reads many of them. All buffers
//! of a [`BufferPool`] together stay within its limit, whoever sends: at the limit, the pool evicts
//! the largest buffer of the [`BufferOwner`] that holds most. [`read_body`] copies what arrives, so
//! that a small piece doesn't retain the read buffer that it arrived in.
//!
//! # Example
//!
//! ```
//! use mango_buffer::{BufferError, BufferOwner, BufferPool};
//!
//! let pool = BufferPool::new("64KiB".parse()?);
//! let mut small = pool.open(BufferOwner::Request(1));
//! small.push(b"a question").unwrap();
//! let mut endless = pool.open(BufferOwner::Request(2));
//! let end = (0..100).find_map(|_| endless.push(&[b'x'; 1_024]).err());
//! assert_eq!(end, Some(BufferError::Evicted));
//! assert_eq!(&small.finish().unwrap()[..], b"a question");
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it for each body that is read completely before it is used. A body that is forwarded as it
//! arrives needs it only for what is held back.
//!
//! # Limits
//!
//! The pool counts the capacity of its buffers, not what the allocator, the sockets and the HTTP
//! implementation need beside them. A buffer is freed by the task that fills it, so that for the
//! length of one scheduler turn an evicted buffer and its successor may both exist. Finished bodies
//! count until they are dropped and can't be evicted.

mod body;
mod pool;

pub use body::{read_body, read_steady_body, skip_body, BodyError};
pub use pool::{BodyBuffer, BufferCharge, BufferError, BufferOwner, BufferPool, PoolUsage};

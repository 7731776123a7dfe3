//! File descriptors that clients' connections leave to those to the store and between daemons.

use std::cell::RefCell;
use std::io;

use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

/// Number of descriptors that are kept.
const RESERVED: usize = 32;

/// Keeps descriptors open, and closes one when a connection without which the daemon can't go on would
/// otherwise have none.
pub(crate) struct DescriptorReserve {
    spare: RefCell<Vec<Socket>>,
}

impl DescriptorReserve {
    pub(crate) fn new() -> DescriptorReserve {
        let reserve = DescriptorReserve { spare: RefCell::default() };
        // With too few descriptors from the start, clients are accepted later.
        let _ = reserve.refill();
        reserve
    }

    /// Replaces the descriptors that were closed. Fails if there are none left.
    pub(crate) fn refill(&self) -> io::Result<()> {
        let mut spare = self.spare.borrow_mut();
        while spare.len() < RESERVED {
            match Socket::new(Domain::IPV4, Type::DGRAM, None) {
                Ok(socket) => spare.push(socket),
                Err(error) if is_exhausted(&error) => return Err(error),
                Err(_) => break,
            }
        }
        Ok(())
    }

    /// Closes one descriptor. Returns false if none is kept.
    pub(crate) fn release(&self) -> bool {
        self.spare.borrow_mut().pop().is_some()
    }
}

/// Returns whether a call failed because there are no descriptors left.
pub(crate) fn is_exhausted(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}

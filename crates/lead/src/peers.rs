//! The addresses of the registered daemons, and which of them to ask.

use std::net::SocketAddr;

use base::{Name, SortedMap};

/// The addresses at which registered daemons answer their peers.
///
/// A daemon asks some of them when neither the store nor the leader answers it: both can be out of
/// reach for one reason, while most other daemons reach the store.
///
/// # Example
///
/// ```
/// use mango_lead::PeerBook;
///
/// let mut book = PeerBook::default();
/// for (host, address) in [("a", "127.0.0.1:1"), ("b", "127.0.0.1:2"), ("c", "127.0.0.1:3")] {
///     book.insert(host.parse()?, address.parse().unwrap());
/// }
/// assert_eq!(book.draw(&"b".parse()?, 1, 8), ["127.0.0.1:3", "127.0.0.1:1"].map(|a| a.parse().unwrap()));
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerBook {
    addresses: SortedMap<Name, SocketAddr>,
}

impl PeerBook {
    /// Records the address of a registered daemon.
    pub fn insert(&mut self, host: Name, address: SocketAddr) {
        self.addresses.insert(host, address);
    }

    /// Removes a daemon whose registration has ended.
    pub fn remove(&mut self, host: &Name) {
        self.addresses.remove(host);
    }

    /// Replaces all addresses by those of the daemons that are registered now.
    pub fn replace(&mut self, registered: impl Iterator<Item = (Name, SocketAddr)>) {
        self.addresses.retain(|_, _| false);
        registered.for_each(|(host, address)| self.insert(host, address));
    }

    /// Returns the number of registered daemons.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Returns the address of a registered daemon.
    pub fn address(&self, host: &Name) -> Option<SocketAddr> {
        self.addresses.get(host).copied()
    }

    /// Returns the `count` daemons that read for the others what nobody relays.
    ///
    /// All daemons choose the same ones, and a daemon that joins or leaves changes one of them at most.
    pub fn readers(&self, count: usize) -> Vec<(&Name, SocketAddr)> {
        let mut ranked: Vec<_> =
            self.addresses.iter().map(|(host, at)| (rank(host), host, *at)).collect();
        ranked.sort_unstable_by_key(|(rank, host, _)| (*rank, *host));
        ranked.into_iter().take(count).map(|(_, host, address)| (host, address)).collect()
    }

    /// Returns up to `count` daemons other than `own`, the first of them chosen by a random number.
    ///
    /// They are far apart in the order of names, since neighbours there are often in one failure
    /// domain.
    pub fn draw(&self, own: &Name, random: u64, count: usize) -> Vec<SocketAddr> {
        let others = self.addresses.iter().filter(|(host, _)| *host != own);
        let others: Vec<SocketAddr> = others.map(|(_, address)| *address).collect();
        let count = count.min(others.len());
        if count == 0 {
            return Vec::new();
        }
        let (first, stride) = (random as usize % others.len(), others.len() / count);
        (0..count).map(|number| others[(first + number * stride) % others.len()]).collect()
    }
}

/// Returns a number that depends on the name only, in every build (FNV-1a with a final mix).
fn rank(host: &Name) -> u64 {
    let bytes = host.as_str().bytes();
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

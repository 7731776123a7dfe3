//! Which daemons to ask to carry requests whose targets this daemon can't reach.

use std::net::SocketAddr;
use std::time::Duration;

use base::{SortedMap, Time};

/// How long a daemon isn't asked again after it declined or could not be reached.
const DECLINED_SPAN: Duration = Duration::from_secs(1);
/// How long a daemon that carried a request is preferred to unknown ones.
const HELPED_SPAN: Duration = Duration::from_secs(2);
/// Number of known helpers from which no unknown daemon is asked.
const ENOUGH_HELPERS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum HelperState {
    Helped(Time),
    Declined(Time),
}

/// What this daemon knows of others that were asked to carry its requests.
///
/// # Example
///
/// ```
/// use base::Time;
/// use mango_lead::HelperBook;
///
/// let at = |ms| Time::from_millis(ms);
/// let peers: Vec<std::net::SocketAddr> =
///     ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(|a| a.parse().unwrap()).to_vec();
/// let mut book = HelperBook::default();
/// book.record_declined(at(0), peers[0]);
/// book.record_helped(at(0), peers[2]);
/// assert_eq!(book.order(at(10), peers.clone()), [peers[2], peers[1]]);
/// assert_eq!(book.order(at(5_000), peers.clone()), peers, "all is forgotten");
/// ```
#[derive(Clone, Debug, Default)]
pub struct HelperBook {
    states: SortedMap<SocketAddr, HelperState>,
}

impl HelperBook {
    /// Records that a daemon carried a request.
    pub fn record_helped(&mut self, now: Time, address: SocketAddr) {
        self.states.insert(address, HelperState::Helped(now));
    }

    /// Records that a daemon declined a request or could not be reached.
    pub fn record_declined(&mut self, now: Time, address: SocketAddr) {
        self.states.insert(address, HelperState::Declined(now));
    }

    /// Returns which of the given daemons to ask, the first one first: those that helped lately, then
    /// unknown ones unless enough have helped. Within each kind the order stays.
    pub fn order(&mut self, now: Time, peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        self.states.retain(|_, state| match *state {
            HelperState::Helped(at) => now.since(at) < HELPED_SPAN,
            HelperState::Declined(at) => now.since(at) < DECLINED_SPAN,
        });
        let state_of = |address: &SocketAddr| self.states.get(address).copied();
        let (mut helpers, mut unknown) = (Vec::new(), Vec::new());
        for address in peers {
            match state_of(&address) {
                Some(HelperState::Helped(_)) => helpers.push(address),
                Some(HelperState::Declined(_)) => {}
                None => unknown.push(address),
            }
        }
        if helpers.len() < ENOUGH_HELPERS {
            helpers.append(&mut unknown);
        }
        helpers
    }
}

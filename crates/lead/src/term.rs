//! The store's record of the latest term.

use std::fmt;
use std::str::FromStr;

use base::{Name, ParseError, StoreEra};

const SYNTAX: &str = "HOST [ERA [waiting]]";
const WAITING: &str = "waiting";

/// Which host led the latest term, and whether it may have sent orders. The record has no lease, and so
/// outlives the term.
///
/// # Example
///
/// ```
/// use base::StoreEra;
/// use mango_lead::TermRecord;
///
/// let record: TermRecord = "host-1".parse()?;
/// assert_eq!((record.host.as_str(), record.era, record.is_waiting), ("host-1", StoreEra(0), false));
/// assert_eq!(record.waiting().to_string(), "host-1 0 waiting");
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TermRecord {
    /// Host of the leader.
    pub host: Name,
    /// Era of the store in which the term began. Later eras may lack later terms.
    pub era: StoreEra,
    /// Whether the leader still waited for orders of another host to end, so that it had sent none.
    pub is_waiting: bool,
}

impl TermRecord {
    /// Creates the record of a term whose leader may send orders.
    pub fn new(host: Name, era: StoreEra) -> TermRecord {
        TermRecord { host, era, is_waiting: false }
    }

    /// Returns the record of the same term while its leader still waits.
    pub fn waiting(self) -> TermRecord {
        TermRecord { is_waiting: true, ..self }
    }

    /// Returns whether only this host can have sent the latest orders, if `former` is the record before
    /// its claim.
    pub fn follows_own_orders(&self, former: &TermRecord) -> bool {
        former.host == self.host && former.era == self.era && !former.is_waiting
    }
}

impl fmt::Display for TermRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.host)?;
        // Earlier builds write and compare records without the parts that are left out here.
        if self.era != StoreEra(0) || self.is_waiting {
            write!(f, " {}", self.era.0)?;
        }
        if self.is_waiting {
            write!(f, " {WAITING}")?;
        }
        Ok(())
    }
}

impl FromStr for TermRecord {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<TermRecord, ParseError> {
        let error = || ParseError::new("record of a term", text, SYNTAX);
        let mut words = text.split(' ');
        let host = words.next().unwrap_or_default().parse().map_err(|_| error())?;
        let era = words.next().map_or(Ok(0), str::parse).map_err(|_| error())?;
        let is_waiting = match (words.next(), words.next()) {
            (None, None) => false,
            (Some(WAITING), None) => true,
            _ => return Err(error()),
        };
        Ok(TermRecord { host, era: StoreEra(era), is_waiting })
    }
}

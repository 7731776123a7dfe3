//! Passes layouts on between daemons, as patches against the layout that the receiver has.
//!
//! The leader includes small patches in its replies to reports. A daemon asks for larger ones, and reads
//! the store if it gets none.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Revision;
use daemon::boot_time;
use fleet::{LayoutAnswer, LayoutQuery, LayoutUpdate, SyncReport};
use lead::ValueClass;
use node::KeyValue;
use patch::ValuePatch;
use platform::document::LAYOUT_KEY;

use crate::host::Host;
use crate::layout::{self, LayoutSource};
use crate::logging::LogLine;
use crate::peer;

/// Most bytes of patches in a reply to a report, and in an answer that needs no budget.
const MAX_INLINE_BYTES: usize = 4 << 10;

/// Returns the sum of the patches' sizes.
fn total_size(patches: &[ValuePatch]) -> usize {
    patches.iter().map(ValuePatch::size).sum()
}

/// Completes a report with the digest of the layout in force.
pub(crate) fn state_layout(host: &Host, report: &mut SyncReport) {
    report.layout_digest =
        host.layout_history.borrow().digest().filter(|_| report.layout.is_some());
}

/// Returns this leader's layout for a daemon that has stated an older one. If the daemon has a later one, it is fetched.
pub(crate) fn update_for(host: &Rc<Host>, report: &SyncReport) -> Option<LayoutUpdate> {
    let (stated, base) = (report.layout?, report.layout_digest?);
    let version = host.dispatcher.borrow().version();
    if stated > version {
        let address = host.peer_book.borrow().address(&report.host);
        if let Some(address) = address {
            tokio::task::spawn_local(layout::fetch_from(host.clone(), address));
        }
    }
    if stated >= version {
        return None;
    }
    let history = host.layout_history.borrow();
    let patches = history.chain_from(base).unwrap_or_default();
    let is_small = total_size(&patches) <= MAX_INLINE_BYTES;
    let patches = if is_small { patches } else { Vec::new() };
    Some(LayoutUpdate { version, revision: history.revision()?, patches })
}

/// Applies the leader's layout from its reply to a report. Without patches the layout is to be read.
pub(crate) fn apply_update(host: &Host, update: &LayoutUpdate) {
    if update.version <= host.dispatcher.borrow().version() {
        return;
    }
    match unpack(host, update) {
        Some(item) => {
            layout::apply_checked(host, &item, LayoutSource::Patch);
        }
        None => {
            let (now, revision) = (boot_time(), update.revision);
            let mut unread = host.unread_values.borrow_mut();
            if unread.unread_since(ValueClass::Layout).is_none() {
                LogLine::new("layout_noted").with("revision", revision.number()).info();
            }
            unread.note(now, ValueClass::Layout, LAYOUT_KEY, revision);
        }
    }
}

/// Returns the layout to which an update's patches lead from the one in force; `None` if it has none, or
/// if they don't fit.
fn unpack(host: &Host, update: &LayoutUpdate) -> Option<KeyValue> {
    if update.patches.is_empty() {
        return None;
    }
    match host.layout_history.borrow().preview(&update.patches) {
        Ok(value) => {
            Some(KeyValue { key: LAYOUT_KEY.to_owned(), value, revision: update.revision })
        }
        Err(error) => {
            LogLine::new("patch_unused")
                .with("version", update.version.0)
                .text("error", &error)
                .info();
            None
        }
    }
}

/// Answers another daemon's query. Returns `None` if this daemon has no layout.
pub(crate) fn answer_query(host: &Host, query: &LayoutQuery) -> Option<LayoutAnswer> {
    let now = boot_time();
    let version = host.dispatcher.borrow().version();
    let freshness = host.layout_freshness.get();
    // A change that was noted but not read is covered, yet the layout in force is older.
    let is_read = host.unread_values.borrow().unread_since(ValueClass::Layout).is_none();
    let (age, covered) = (freshness.age(now).filter(|_| is_read), freshness.covered());
    let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    let is_checking = host.is_checking_layout.get() || host.is_receiving_changes.get();
    if query.version >= version {
        return Some(LayoutAnswer { age_ms, covered, is_checking, update: None });
    }
    let mut history = host.layout_history.borrow_mut();
    let (revision, patches) = (history.revision()?, history.patches_from(query.digest));
    let size = total_size(&patches);
    if size > MAX_INLINE_BYTES && !host.transfer_budget.borrow_mut().try_spend(now, size) {
        // Without an answer the other daemon would ask for the whole layout, as of an earlier build.
        return Some(LayoutAnswer { age_ms: None, covered, is_checking, update: None });
    }
    let update = LayoutUpdate { version, revision, patches };
    Some(LayoutAnswer { age_ms, covered, is_checking, update: Some(update) })
}

/// What another daemon has answered.
pub(crate) struct PeerLayout {
    /// A later layout than the one that this daemon had when it asked.
    pub(crate) item: Option<KeyValue>,
    /// Time since the other daemon's layout was known to be the latest one.
    pub(crate) age: Option<Duration>,
    /// Revision up to which the other daemon knows all changes of the layout.
    pub(crate) covered: Revision,
    /// Whether the layout is being checked at the store.
    pub(crate) is_checking: bool,
}

/// Asks a daemon for a later layout. Returns `None` if nothing arrives for as long as `limit`, or if the
/// answer is of no use.
pub(crate) async fn query(host: &Host, address: SocketAddr, limit: Duration) -> Option<PeerLayout> {
    let query = LayoutQuery {
        version: host.dispatcher.borrow().version(),
        digest: host.layout_history.borrow().digest(),
    };
    let answer = peer::query_layout(host, address, &query, limit).await?;
    // The layout may have arrived by another way meanwhile.
    let in_force = host.dispatcher.borrow().version();
    let item = match answer.update.as_ref().filter(|update| update.version > in_force) {
        Some(update) => Some(unpack(host, update)?),
        None => None,
    };
    let age = answer.age_ms.map(Duration::from_millis);
    let LayoutAnswer { covered, is_checking, .. } = answer;
    Some(PeerLayout { item, age, covered, is_checking })
}

/// Asks the leader for a layout of at least this revision.
pub(crate) async fn fetch_from_leader(host: &Host, revision: Revision) -> Option<KeyValue> {
    let address = host.leader_entry.borrow().as_ref().map(|entry| entry.address)?;
    if host.leader_state.borrow().is_some() {
        return None;
    }
    let limit = host.layout_freshness.get().change_timeout();
    let answer = query(host, address, limit).await;
    // It may have arrived by another way meanwhile.
    let history = host.layout_history.borrow();
    if history.revision().is_some_and(|known| known >= revision) {
        let (revision, value) = (history.revision()?, history.value()?.to_vec());
        return Some(KeyValue { key: LAYOUT_KEY.to_owned(), value, revision });
    }
    answer?.item.filter(|item| item.revision >= revision)
}

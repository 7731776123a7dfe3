//! The layout in force, and how recently it was known to be the latest one.

use std::sync::Arc;

use base::Time;
use daemon::boot_time;
use fleet::ColdSetting;
use lead::ValueClass;
use node::KeyValue;
use platform::document::read_layout;

use crate::exchange::log_ignored_cold;
use crate::host::Host;
use crate::logging::LogLine;

/// How a daemon got a layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LayoutSource {
    /// With everything else in the store.
    Snapshot,
    /// With a change, from the daemon's own watch or from the leader.
    Change,
    /// By a read of the value, because the leader left it out.
    Read,
    /// From the leader, because the store didn't return the value.
    Leader,
}

impl LayoutSource {
    /// Returns the name of the source in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            LayoutSource::Snapshot => "snapshot",
            LayoutSource::Change => "change",
            LayoutSource::Read => "store",
            LayoutSource::Leader => "leader",
        }
    }
}

/// Applies a layout, unless it is malformed or older than the present one. Returns whether it was
/// applied.
pub(crate) fn apply_layout(host: &Host, item: &KeyValue, source: LayoutSource) -> bool {
    host.layout_item.borrow_mut().replace(item.clone());
    let layout = match read_layout(&item.value) {
        Ok(layout) => Arc::new(layout),
        Err(error) => {
            LogLine::new("layout_unread").text("error", &error).warn();
            return false;
        }
    };
    for service in layout.services().filter(|s| s.cold == ColdSetting::Malformed) {
        log_ignored_cold("service", &service.name);
    }
    let (now, version) = (boot_time(), layout.version());
    if !host.dispatcher.borrow_mut().apply_layout(now, layout.clone()) {
        return false;
    }
    if let Some(state) = host.leader_state.borrow_mut().as_mut() {
        state.leader.apply_layout(now, layout);
    }
    let age = host.layout_freshness.get().age(now);
    LogLine::new("layout_taken")
        .with("version", version.0)
        .with("revision", item.revision.number())
        .with("source", source.name())
        .with("bytes", item.value.len())
        .with("age_ms", age.map(|age| age.as_millis() as u64))
        .with("allowances", team_allowances(host))
        .info();
    true
}

/// Records that the daemon has all changes of the store up to the time `at`.
pub(crate) fn confirm_layout(host: &Host, at: Time) {
    // A layout that was left out of the changes and not read yet is not in force.
    if host.unread_values.borrow().unread_since(ValueClass::Layout).is_none() {
        let mut freshness = host.layout_freshness.get();
        freshness.confirm(at);
        host.layout_freshness.set(freshness);
    }
}

/// Returns the teams' token allowances for the log, as rate per second and burst by team.
fn team_allowances(host: &Host) -> serde_json::Value {
    let dispatcher = host.dispatcher.borrow();
    let teams = dispatcher.layout().into_iter().flat_map(|layout| layout.teams());
    let limited = teams.filter_map(|team| {
        let allowance = team.allowance?;
        Some((team.name.to_string(), serde_json::json!([allowance.per_second, allowance.burst])))
    });
    serde_json::Value::Object(limited.collect())
}

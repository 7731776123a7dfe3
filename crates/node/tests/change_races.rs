//! Proposals whose transactions get no answer while other changes are recorded.

mod fleet;

use std::time::Duration;

use fleet::SimFleet;

/// A proposal without an answer that conflicts with a later change is resolved with a few calls.
/// Guards against polling the service until the proposal expires.
#[test]
fn lost_proposal_conflict() {
    // The seed decides when the lost transaction takes effect: at once or up to four seconds
    // later.
    for seed in 0..8 {
        let mut fleet = SimFleet::new(seed, true);
        // Waits until the start is complete, so that only the changes call the service.
        fleet.advance(Duration::from_secs(5));
        let before = total_service_calls(&fleet);
        fleet.service.answers_to_lose = 1;
        fleet.propose_based(0, 1);
        fleet.advance(Duration::from_millis(100));
        fleet.propose_based(1, 1);
        fleet.advance(Duration::from_secs(8));
        // A change makes three calls: it reads the log, reads its own key and writes. The lost
        // change makes twice as many, and as many again for the read after it.
        let call_count = total_service_calls(&fleet) - before;
        assert!(call_count <= 16, "{call_count} service calls for two changes with seed {seed}");
        fleet.finish();
    }
}

/// Returns how many calls to the service all hosts have made.
fn total_service_calls(fleet: &SimFleet) -> u64 {
    let nodes = fleet.hosts.iter().filter_map(|host| host.node.as_ref());
    nodes.map(|node| node.stats().service_calls).sum()
}

//! Proposals whose transactions are lost while others are recorded.

mod fleet;

use std::time::Duration;

use fleet::World;

/// A lost proposal that conflicts with a later change is settled with a few calls, not by asking
/// the service again and again until its time is over.
#[test]
fn settled_conflict() {
    // The lost transaction takes effect at once or up to four seconds later, by the seed.
    for seed in 0..8 {
        let mut world = World::new(seed, true);
        // Let what the start causes come to rest, so that only the changes call the service.
        world.advance(Duration::from_secs(5));
        let before = calls(&world);
        world.service.lose = 1;
        world.propose_based(0, 1);
        world.advance(Duration::from_millis(100));
        world.propose_based(1, 1);
        world.advance(Duration::from_secs(8));
        // A change reads the log, its own key, and writes; twice that for the one that is lost, and
        // as much again for the read after it.
        let made = calls(&world) - before;
        assert!(made <= 16, "{made} calls for two changes with seed {seed}");
        world.finish();
    }
}

fn calls(world: &World) -> u64 {
    let nodes = world.hosts.iter().filter_map(|host| host.node.as_ref());
    nodes.map(|node| node.stats().service_calls).sum()
}

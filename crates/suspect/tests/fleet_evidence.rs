//! Evidence against prompt parts in fleets of 7 and of 295 daemons, without a leader.

mod fleet_model;

use fleet_model::{check, check_seed, Fault, FleetCase, LARGE, SMALL};

#[test]
fn small_fleet() {
    check(SMALL);
}

#[test]
fn large_fleet() {
    check(LARGE);
}

/// Guards against parts that are condemned for standing beside crashes that no request caused.
#[test]
fn ordinary_crashes() {
    for fault in [Fault::OrdinaryCrashes, Fault::MassCrashes] {
        check(FleetCase { guilty_share: 0.0, fault, ..SMALL });
        check(FleetCase { fault, ..SMALL });
    }
    check(FleetCase { fault: Fault::OrdinaryCrashes, ..LARGE });
}

/// Guards against a rare part that is condemned by chance where targets crash very often for other
/// reasons.
#[test]
fn frequent_crashes() {
    check_seed(FleetCase { guilty_share: 0.0, fault: Fault::OrdinaryCrashes, ..SMALL }, 28);
}

/// Guards against evidence that is lost with daemons, or doesn't reach those that were cut off.
#[test]
fn faulty_daemons() {
    for fault in [Fault::CutDaemons, Fault::Restarts, Fault::LostFleet] {
        check(FleetCase { fault, ..SMALL });
        check(FleetCase { fault, ..LARGE });
    }
}

/// Guards against several guilty parts at once that hide one another.
#[test]
fn several_parts() {
    check(FleetCase { guilty: 3, guilty_share: 0.06, ..SMALL });
    check(FleetCase { guilty: 3, guilty_share: 0.06, ..LARGE });
    check(FleetCase { guilty_share: 0.3, ..SMALL });
    // As rare as in the fleet of 7: each daemon sees one crash at most.
    check(FleetCase { guilty_share: 0.002, ..LARGE });
}

/// Guards against more reports than the store takes: three guilty parts in a large fleet, of which each
/// crash is seen by several daemons, and answers clear many parts meanwhile.
#[test]
fn busy_reports() {
    check_seed(FleetCase { guilty: 3, guilty_share: 0.06, ..LARGE }, 12);
}

/// Guards against a guilty first part, and against parts that crash only some targets.
#[test]
fn other_guilt() {
    check(FleetCase { is_first: true, ..SMALL });
    check(FleetCase { is_first: true, ..LARGE });
    check(FleetCase { deadliness: 0.7, ..SMALL });
    check(FleetCase { deadliness: 0.7, ..LARGE });
}

//! Stateful fuzzing of a simulated fleet of nodes, whose behaviour an oracle checks.
//!
//! `FLEET_CASES` sets the number of runs.

mod fleet;

use fleet::step::{Step, HOSTS};
use fleet::SimFleet;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

/// The state on which the generated steps depend.
#[derive(Clone, Debug)]
struct ReferenceState {
    seed: u64,
    fencing: bool,
    alive: [bool; HOSTS],
}

impl ReferenceStateMachine for ReferenceState {
    type State = ReferenceState;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<ReferenceState> {
        (any::<u64>(), any::<bool>())
            .prop_map(|(seed, fencing)| ReferenceState { seed, fencing, alive: [true; HOSTS] })
            .boxed()
    }

    fn transitions(_: &ReferenceState) -> BoxedStrategy<Step> {
        let host = 0..HOSTS;
        let target = 0..2usize;
        prop_oneof![
            12 => (50u64..3_000).prop_map(Step::Advance),
            2 => (3_000u64..30_000).prop_map(Step::Advance),
            14 => (host.clone(), 0..3usize, 1u64..200, 200u64..8_000).prop_map(
                |(host, model, cost, timeout_ms)| Step::Request { host, model, cost, timeout_ms }
            ),
            8 => (host.clone(), 2usize..12, 20u64..80, 200u64..3_000).prop_map(
                |(host, count, cost, timeout_ms)| Step::Burst { host, count, cost, timeout_ms }
            ),
            4 => (host.clone(), 0u64..12).prop_map(|(host, key)| Step::Book { host, key }),
            2 => host.clone().prop_map(Step::Kill),
            2 => host.clone().prop_map(Step::Start),
            1 => host.clone().prop_map(Step::Unlist),
            3 => (host.clone(), any::<bool>())
                .prop_map(|(host, before_actions)| Step::Freeze { host, before_actions }),
            4 => host.clone().prop_map(Step::Thaw),
            2 => (host.clone(), any::<bool>())
                .prop_map(|(host, cut)| Step::CutService { host, cut }),
            2 => any::<bool>().prop_map(Step::ServiceDown),
            1 => (0u64..1_500).prop_map(Step::ServiceDelay),
            2 => (1u32..4).prop_map(Step::LoseServiceAnswers),
            2 => (0u32..60).prop_map(Step::LoseMessages),
            2 => (0u64..5_000).prop_map(Step::DelayMessages),
            1 => any::<bool>().prop_map(Step::PartitionDomains),
            2 => (target.clone(), 1u32..3)
                .prop_map(|(target, count)| Step::LoseOrderAnswers { target, count }),
            1 => (target.clone(), 0u64..3_000)
                .prop_map(|(target, millis)| Step::DelayOrders { target, millis }),
            1 => target.clone().prop_map(Step::RestartTarget),
            1 => (target, any::<bool>())
                .prop_map(|(target, leaving)| Step::Leave { target, leaving }),
            3 => (host, prop_oneof![3 => Just(None), 1 => any::<bool>().prop_map(Some)])
                .prop_map(|(host, key)| Step::Propose { host, key }),
        ]
        .boxed()
    }

    fn apply(mut state: ReferenceState, step: &Step) -> ReferenceState {
        match step {
            Step::Kill(host) => state.alive[*host] = false,
            Step::Start(host) => state.alive[*host] = true,
            _ => {}
        }
        state
    }

    fn preconditions(state: &ReferenceState, step: &Step) -> bool {
        match step {
            Step::Kill(host) | Step::Freeze { host, .. } => state.alive[*host],
            Step::Unlist(host) => !state.alive[*host],
            _ => true,
        }
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = SimFleet;
    type Reference = ReferenceState;

    fn init_test(reference: &ReferenceState) -> SimFleet {
        SimFleet::new(reference.seed, reference.fencing)
    }

    fn apply(mut fleet: SimFleet, _: &ReferenceState, step: Step) -> SimFleet {
        fleet.run_step(step);
        fleet
    }

    fn teardown(mut fleet: SimFleet, _: ReferenceState) {
        fleet.finish();
    }
}

fn cases() -> u32 {
    std::env::var("FLEET_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(32)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        max_shrink_iters: 400,
        failure_persistence: None,
        .. ProptestConfig::default()
    })]

    #[test]
    fn fleet_invariants(sequential 1..200 => FleetTest);
}

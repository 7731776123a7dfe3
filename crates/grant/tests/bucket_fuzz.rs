//! Random charges, loans, restarts and transfers of units on several seats. An oracle checks that
//! the charges stay within the allowance.

use std::time::Duration;

use base::{Address, Incarnation, RequestId, Seat, Time, TokenCount, TokenRate};
use mango_grant::{Allowance, LoanTerms, MicroTokens, TeamBucket, Units};
use proptest::prelude::*;

const SEATS: usize = 3;
const RATE: u64 = 100;
const BURST: u64 = 300;
const ALLOWANCE: Allowance = Allowance { rate: TokenRate(RATE), burst: TokenCount(BURST) };

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Charge { seat: usize, cost: u64 },
    Close { charge: usize, used_percent: u64 },
    Lend { from: usize, to: usize, tokens: u64, delay_ms: u64, is_lost: bool },
    Settle { seat: usize, is_lost: bool },
    Restart(usize),
    Give { from: usize, to: usize },
}

struct SeatState {
    bucket: TeamBucket,
    units: u32,
    incarnation: u64,
}

struct Charge {
    seat: usize,
    incarnation: u64,
    request: RequestId,
    at: Time,
    cost: u64,
    used: Option<u64>,
}

struct Fleet {
    now: Time,
    seats: Vec<SeatState>,
    charges: Vec<Charge>,
    terms: LoanTerms,
    /// Units in transfer: the receiving seat, their number, and when the seat receives them.
    transfers: Vec<(usize, u32, Time)>,
    next_request: u64,
}

fn seat(at: usize, incarnation: u64) -> Seat {
    let address: Address = format!("10.0.0.{at}:1").parse().unwrap();
    Seat { address, incarnation: Incarnation(incarnation) }
}

impl Fleet {
    fn new() -> Fleet {
        let terms = LoanTerms::new(Duration::from_secs(1));
        let now = Time::from_millis(1_000);
        let state = |_| {
            let units = Units::TOTAL.0 / SEATS as u32;
            let mut bucket = TeamBucket::new(now, terms);
            bucket.set_share(now, ALLOWANCE, Units(units));
            SeatState { bucket, units, incarnation: 1 }
        };
        let seats = (0..SEATS).map(state).collect();
        let mut fleet = Fleet {
            now,
            seats,
            charges: Vec::new(),
            terms,
            transfers: Vec::new(),
            next_request: 1,
        };
        fleet.advance(8_000);
        fleet
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        let now = self.now;
        let (due, waiting) = self.transfers.drain(..).partition(|(_, _, at)| *at <= now);
        self.transfers = waiting;
        let due: Vec<(usize, u32, Time)> = due;
        for (to, units, _) in due {
            self.seats[to].units += units;
            self.set_share(to);
        }
    }

    fn set_share(&mut self, at: usize) {
        let state = &mut self.seats[at];
        state.bucket.set_share(self.now, ALLOWANCE, Units(state.units));
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Advance(millis) => self.advance(millis),
            Step::Charge { seat, cost } => {
                self.next_request += 1;
                let request = RequestId(self.next_request);
                if self.seats[seat].bucket.charge(now, request, TokenCount(cost)) {
                    let incarnation = self.seats[seat].incarnation;
                    self.charges.push(Charge {
                        seat,
                        incarnation,
                        request,
                        at: now,
                        cost,
                        used: None,
                    });
                }
            }
            Step::Close { charge, used_percent } => {
                let count = self.charges.len();
                if count == 0 {
                    return;
                }
                let charge = &mut self.charges[charge % count];
                let state = &mut self.seats[charge.seat];
                if charge.used.is_some() || charge.incarnation != state.incarnation {
                    return;
                }
                let used = charge.cost * used_percent / 100;
                charge.used = Some(used);
                state.bucket.close(now, charge.request, TokenCount(used));
            }
            Step::Lend { from, to, tokens, delay_ms, is_lost } => {
                if from == to {
                    return;
                }
                let borrower = seat(to, self.seats[to].incarnation);
                let wanted = MicroTokens::from(TokenCount(tokens));
                let offer = self.seats[from].bucket.lend(now, borrower, wanted);
                let lender = seat(from, self.seats[from].incarnation);
                self.advance(delay_ms);
                if let (Some(offer), false) = (offer, is_lost) {
                    self.seats[to].bucket.borrow(self.now, now, lender, offer);
                }
            }
            Step::Settle { seat: at, is_lost } => {
                let borrower = seat(at, self.seats[at].incarnation);
                for (lender, settlement) in self.seats[at].bucket.settle(now) {
                    let found = (0..SEATS).find(|n| seat(*n, self.seats[*n].incarnation) == lender);
                    if let (Some(n), false) = (found, is_lost) {
                        self.seats[n].bucket.apply_settlement(now, &borrower, settlement);
                        // A repeated settlement has no effect.
                        self.seats[n].bucket.apply_settlement(now, &borrower, settlement);
                    }
                }
            }
            Step::Restart(at) => {
                let state = &mut self.seats[at];
                state.incarnation += 1;
                state.bucket = TeamBucket::new(now, self.terms);
                self.set_share(at);
            }
            Step::Give { from, to } => {
                let half = self.seats[from].units / 2;
                self.seats[from].units -= half;
                self.set_share(from);
                // The receiver gets the units when all loans from the larger share have expired.
                self.transfers.push((to, half, now + self.terms.lender_span()));
            }
        }
    }

    /// Checks that the charges in each window, less the returned tokens, stay within
    /// `burst + rate * length`.
    fn check(&self) {
        let (mut level, mut last) = (0u64, Time::ZERO);
        for charge in &self.charges {
            let drained = RATE * charge.at.since(last).as_micros() as u64;
            let tokens = charge.used.unwrap_or(charge.cost) * 1_000_000;
            level = level.saturating_sub(drained) + tokens;
            last = charge.at;
            assert!(level <= BURST * 1_000_000, "{} micro-tokens over", level - BURST * 1_000_000);
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let seat = 0..SEATS;
    let step = prop_oneof![
        6 => (1u64..400).prop_map(Step::Advance),
        1 => (400u64..4_000).prop_map(Step::Advance),
        12 => (seat.clone(), 1u64..120).prop_map(|(seat, cost)| Step::Charge { seat, cost }),
        6 => (any::<usize>(), 0u64..100)
            .prop_map(|(charge, used_percent)| Step::Close { charge, used_percent }),
        8 => (seat.clone(), seat.clone(), 1u64..200, 0u64..1_300, any::<bool>()).prop_map(
            |(from, to, tokens, delay_ms, is_lost)| Step::Lend {
                from, to, tokens, delay_ms, is_lost
            }
        ),
        4 => (seat.clone(), any::<bool>())
            .prop_map(|(seat, is_lost)| Step::Settle { seat, is_lost }),
        2 => seat.clone().prop_map(Step::Restart),
        2 => (seat.clone(), seat).prop_map(|(from, to)| Step::Give { from, to }),
    ];
    proptest::collection::vec(step, 1..120)
}

fn cases() -> u32 {
    std::env::var("FLEET_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(1_000)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        .. ProptestConfig::default()
    })]

    #[test]
    fn window_bound(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step);
        }
        fleet.check();
    }
}

#[test]
fn small_shares() {
    // With frequent refills, the accrual of a small share must not be lost to rounding.
    let terms = LoanTerms::new(Duration::from_secs(1));
    let mut now = Time::from_millis(1_000);
    let mut bucket = TeamBucket::new(now, terms);
    let allowance = Allowance { rate: TokenRate(1), burst: TokenCount(1_000) };
    bucket.set_share(now, allowance, Units(Units::TOTAL.0 / 910));
    now = now + terms.lender_span();
    for _ in 0..100_000 {
        now = now + Duration::from_millis(1);
        bucket.available(now);
    }
    let expected = 100_000_000 / 910;
    let level = bucket.available(now).0;
    assert!(level * 100 > expected * 90, "{level} of {expected} micro-tokens accrued");
}

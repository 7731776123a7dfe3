//! The rules of a bucket, one by one.

use std::time::Duration;

use base::{Address, Incarnation, RequestId, Seat, Time, TokenCount, TokenRate};
use mango_grant::{Allowance, LoanTerms, MicroTokens, TeamBucket, Units};

const ALLOWANCE: Allowance = Allowance { rate: TokenRate(100), burst: TokenCount(100) };

fn full() -> (TeamBucket, Time) {
    let terms = LoanTerms::new(Duration::from_secs(1));
    let start = Time::from_millis(1_000);
    let mut bucket = TeamBucket::new(start, terms);
    bucket.set_share(start, ALLOWANCE, Units::TOTAL);
    (bucket, start + Duration::from_secs(10))
}

fn borrower() -> Seat {
    let address: Address = "10.0.0.2:1".parse().unwrap();
    Seat { address, incarnation: Incarnation(1) }
}

fn tokens(count: u64) -> MicroTokens {
    TokenCount(count).into()
}

/// What is lent may be spent by the borrower at any moment, so it must not accrue anew meanwhile.
#[test]
fn lent_tokens() {
    let (mut bucket, now) = full();
    let offer = bucket.lend(now, borrower(), tokens(60)).unwrap();
    assert_eq!(offer.amount, tokens(60));
    let later = now + Duration::from_millis(900);
    assert_eq!(bucket.available(later), tokens(40));
    // After the loan's time the room is free, and accrues at the rate.
    let expired = now + Duration::from_millis(1_100);
    bucket.available(expired);
    assert_eq!(bucket.available(expired + Duration::from_millis(100)), tokens(50));
}

#[test]
fn settled_loan() {
    let (mut bucket, now) = full();
    let offer = bucket.lend(now, borrower(), tokens(60)).unwrap();
    let settlement = mango_grant::LoanSettlement { id: offer.id, returned: tokens(20) };
    let stranger = Seat { incarnation: Incarnation(2), ..borrower() };
    bucket.settled(now, &stranger, settlement);
    assert_eq!(bucket.available(now), tokens(40), "another incarnation settles a loan");
    bucket.settled(now, &borrower(), settlement);
    bucket.settled(now, &borrower(), settlement);
    assert_eq!(bucket.available(now), tokens(60));
}

/// Unused tokens come back only as far as no moment since the charge would have held more than
/// the cap: otherwise a window that starts there could exceed the allowance.
#[test]
fn unused_tokens() {
    let (mut bucket, now) = full();
    assert!(bucket.charge(now, RequestId(1), TokenCount(100)));
    let refilled = now + Duration::from_secs(1);
    assert!(bucket.charge(refilled, RequestId(2), TokenCount(100)));
    bucket.close(refilled, RequestId(1), TokenCount(0));
    assert_eq!(bucket.available(refilled), MicroTokens::ZERO);
    let (mut bucket, now) = full();
    assert!(bucket.charge(now, RequestId(1), TokenCount(100)));
    bucket.close(now + Duration::from_millis(300), RequestId(1), TokenCount(20));
    assert_eq!(bucket.available(now + Duration::from_millis(300)), tokens(100));
}

#[test]
fn fewer_units() {
    let (mut bucket, now) = full();
    bucket.set_share(now, ALLOWANCE, Units(Units::TOTAL.0 / 2));
    assert_eq!(bucket.available(now), tokens(50), "fewer units count at once");
    bucket.set_share(now, ALLOWANCE, Units::TOTAL);
    let soon = now + Duration::from_millis(900);
    assert_eq!(bucket.available(soon), tokens(50), "more units count after a loan's time");
}

//! Unit tests of token buckets: loans, settlements, returned tokens and changes of units.

use std::time::Duration;

use base::{Address, Incarnation, RequestId, Seat, Time, TokenCount, TokenRate};
use mango_grant::{Allowance, LoanTerms, MicroTokens, TeamBucket, Units};

const ALLOWANCE: Allowance = Allowance { rate: TokenRate(100), burst: TokenCount(100) };

fn full_bucket() -> (TeamBucket, Time) {
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

/// The borrower may spend lent tokens at any time, so the lender must not accrue replacements until
/// the loan expires.
#[test]
fn lent_tokens() {
    let (mut bucket, now) = full_bucket();
    let offer = bucket.lend(now, borrower(), tokens(60)).unwrap();
    assert_eq!(offer.amount, tokens(60));
    let later = now + Duration::from_millis(900);
    assert_eq!(bucket.available(later), tokens(40));
    // After the loan expires, the bucket accrues at its rate again.
    let expired = now + Duration::from_millis(1_100);
    bucket.available(expired);
    assert_eq!(bucket.available(expired + Duration::from_millis(100)), tokens(50));
}

#[test]
fn settled_loan() {
    let (mut bucket, now) = full_bucket();
    let offer = bucket.lend(now, borrower(), tokens(60)).unwrap();
    let settlement = mango_grant::LoanSettlement { id: offer.id, returned: tokens(20) };
    let stranger = Seat { incarnation: Incarnation(2), ..borrower() };
    bucket.apply_settlement(now, &stranger, settlement);
    assert_eq!(bucket.available(now), tokens(40), "another incarnation must not settle a loan");
    bucket.apply_settlement(now, &borrower(), settlement);
    bucket.apply_settlement(now, &borrower(), settlement);
    assert_eq!(bucket.available(now), tokens(60));
}

/// The return of unused tokens is limited: at no time since the charge would the bucket have held
/// more than its cap with them. Otherwise a window that starts at that time could exceed the
/// allowance.
#[test]
fn unused_tokens() {
    let (mut bucket, now) = full_bucket();
    assert!(bucket.charge(now, RequestId(1), TokenCount(100)));
    let refilled = now + Duration::from_secs(1);
    assert!(bucket.charge(refilled, RequestId(2), TokenCount(100)));
    bucket.close(refilled, RequestId(1), TokenCount(0));
    assert_eq!(bucket.available(refilled), MicroTokens::ZERO);
    let (mut bucket, now) = full_bucket();
    assert!(bucket.charge(now, RequestId(1), TokenCount(100)));
    bucket.close(now + Duration::from_millis(300), RequestId(1), TokenCount(20));
    assert_eq!(bucket.available(now + Duration::from_millis(300)), tokens(100));
}

#[test]
fn fewer_units() {
    let (mut bucket, now) = full_bucket();
    bucket.set_share(now, ALLOWANCE, Units(Units::TOTAL.0 / 2));
    assert_eq!(bucket.available(now), tokens(50), "a decrease of units applies at once");
    bucket.set_share(now, ALLOWANCE, Units::TOTAL);
    let soon = now + Duration::from_millis(900);
    assert_eq!(
        bucket.available(soon),
        tokens(50),
        "an increase of units applies after the lender's span"
    );
}

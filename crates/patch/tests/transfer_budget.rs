//! Passing a layout on to a fleet over one daemon's link.

use base::Time;
use mango_patch::{ByteRate, TransferBudget};

/// Guards against a leader whose replies to reports wait in its link behind layouts for the whole fleet.
#[test]
fn herd_of_queries() {
    // Half of 20 and of 200 Mbit/s, and the number of daemons that get 46 KB at once, and within a second.
    for (rate, at_once, in_a_second) in [(1_250_000, 6, 33), (12_500_000, 67, 339)] {
        let mut budget = TransferBudget::new(ByteRate(rate));
        let mut granted = Vec::new();
        for ms in 0..1_000 {
            let now = Time::from_millis(ms);
            granted.push((0..295).filter(|_| budget.try_spend(now, 46_000)).count());
        }
        assert_eq!(granted[0], at_once);
        let total: usize = granted.iter().sum();
        assert!(total.abs_diff(in_a_second) <= 1, "{total}");
    }
}

/// Guards against a layout that a narrow link never passes on because it exceeds what may be sent at once.
#[test]
fn large_layout() {
    let mut budget = TransferBudget::new(ByteRate(100_000));
    assert!(budget.try_spend(Time::ZERO, 300_000));
    assert!(!budget.try_spend(Time::from_millis(2_900), 300_000));
    assert!(budget.try_spend(Time::from_millis(3_000), 300_000));
}

#[test]
fn rate_forms() {
    let rate = ByteRate(12_500_000);
    assert_eq!(rate.to_string(), "12500000 B/s");
    assert_eq!(rate.to_string().parse(), Ok(rate));
    for text in ["", "12", "B/s", "-1 B/s", "1.5 B/s"] {
        assert!(text.parse::<ByteRate>().is_err(), "{text}");
    }
}

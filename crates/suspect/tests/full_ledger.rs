//! A ledger that holds as many crashes as it can.

use std::time::Duration;

use base::Time;
use mango_suspect::{CrashId, CrashLedger, PartId, RequestDigest, SuspectRequest, UnixMillis};

/// Time of day at the start.
const WALL_MS: u64 = 1_700_000_000_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// The time that a decision takes with a full ledger.
#[test]
fn full_ledger() {
    let mut ledger = CrashLedger::new("host-0".parse().unwrap(), 1);
    for number in 0..400u64 {
        let crash = CrashId { target: format!("t-{number}").parse().unwrap(), born_ms: 1 };
        for request in 0..6 {
            let parts = (0..4).map(|part| PartId(number * 100 + request * 10 + part)).collect();
            let digest = RequestDigest(u64::MAX - number * 10 - request);
            let request = SuspectRequest { team: None, digest, parts };
            let sent_at = UnixMillis(WALL_MS + number);
            let crashed_at = UnixMillis(sent_at.0 + 150);
            ledger.record_crash(at(number), &crash, crashed_at, request, sent_at);
        }
    }
    assert!(ledger.suspected_crashes() <= 256);
    let request = |part| SuspectRequest {
        team: None,
        digest: RequestDigest(part),
        parts: vec![PartId(part)],
    };
    let started = std::time::Instant::now();
    for number in 0..1_000 {
        ledger.record_answer(at(10_000 + number), &request(39_912), Duration::ZERO);
        assert!(ledger.condemns(at(10_000 + number), &request(1)).is_none());
    }
    println!("{:?} for 1,000 answers and decisions", started.elapsed());
    assert!(serde_json::to_vec(&mango_suspect::EvidenceWire::from(&ledger.own_evidence().1))
        .is_ok_and(|bytes| bytes.len() <= 4_096));
}

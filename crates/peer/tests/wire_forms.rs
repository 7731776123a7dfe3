//! Tests of encoding and decoding peer messages.

use std::time::Duration;

use base::{Fence, Incarnation, OrderId, Revision};
use grant::{LoanId, LoanOffer, LoanSettlement, MicroTokens, Roster, Units};
use mango_peer::{decode, encode};
use node::{DomainView, PeerMessage, RosterDoc, SnapshotDoc, ViewDelta};
use place::{DemandRefusal, ModelDemand, Residency};
use proptest::prelude::*;

fn examples() -> Vec<PeerMessage> {
    let duration = Duration::from_micros(1_234_567);
    let model: base::ModelName = "lace/veil".parse().unwrap();
    let team: base::TeamName = "atelier".parse().unwrap();
    let target: base::TargetName = "helper-1".parse().unwrap();
    let change = r#"{"revision":7,"id":"c","actor":"o","wall_ms":1,"writes":[]}"#;
    let offer = LoanOffer { id: LoanId(3), amount: MicroTokens(9) };
    let settlement = LoanSettlement { id: LoanId(3), returned: MicroTokens(1) };
    let lender = Incarnation(u64::MAX);
    vec![
        PeerMessage::Ping { nonce: u64::MAX, revision: Revision(1), rosters: 3 },
        PeerMessage::Pong {
            nonce: 1,
            revision: Revision(2),
            fresh_age: Some(duration),
            service_up: true,
            rosters: 1,
        },
        PeerMessage::Pong {
            nonce: 1,
            revision: Revision(2),
            fresh_age: None,
            service_up: false,
            rosters: 0,
        },
        PeerMessage::NeedChanges { from: Revision(4) },
        PeerMessage::Changes(vec![serde_json::from_str(change).unwrap(); 2]),
        PeerMessage::Snapshot(SnapshotDoc {
            revision: Revision(3),
            last_change: Some("c".parse().unwrap()),
            objects: Vec::new(),
        }),
        PeerMessage::Borrow { draw: 5, team: team.clone(), wanted: MicroTokens(6) },
        PeerMessage::Lend { draw: 5, team: team.clone(), offer: Some(offer) },
        PeerMessage::Lend { draw: 5, team: team.clone(), offer: None },
        PeerMessage::Settle { lender, team, settlement },
        PeerMessage::Want(ModelDemand {
            model: model.clone(),
            time_left: duration,
            waiting: 3,
            extra: true,
        }),
        PeerMessage::WantAnswer(DemandRefusal { model: model.clone(), retry_after: duration }),
        PeerMessage::View(DomainView {
            domain: "east".parse().unwrap(),
            fence: Fence(8),
            version: 9,
            replicas: vec![Residency { target: target.clone(), model, ready: true }],
            loads: vec![(target, 4)],
        }),
        PeerMessage::ViewDelta(ViewDelta {
            domain: "east".parse().unwrap(),
            fence: Fence(8),
            base: 9,
            version: 10,
            set: Vec::new(),
            gone: Vec::new(),
            loads: Vec::new(),
        }),
        PeerMessage::NeedView("east".parse().unwrap()),
        PeerMessage::Rosters(vec![RosterDoc {
            domain: "east".parse().unwrap(),
            revision: Revision(4),
            roster: Roster::new(Units(7)),
        }]),
        PeerMessage::AskOrders(vec![OrderId(1), OrderId(2)]),
        PeerMessage::Disowned(Vec::new()),
    ]
}

#[test]
fn message_roundtrip() {
    for message in examples() {
        assert_eq!(decode(&encode(&message)).unwrap(), message);
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn corrupted_bytes(
        index in 0usize..18,
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = encode(&examples()[index]);
        let position = position.index(bytes.len());
        bytes[position] = byte;
        let _ = decode(&bytes);
    }
}

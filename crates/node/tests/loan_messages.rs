//! Loans between two seats, tested message by message.

use std::time::Duration;

use base::{Incarnation, RequestId, Revision, Seat, SecretKey, Time, TokenCount};
use config::{Draft, DraftItem, Object, Snapshot};
use grant::{LoanId, LoanOffer, MicroTokens, Roster, SeatEntry, Units};
use mango_node::{
    Action, Event, NewRequest, Node, NodeConfig, PeerMessage, RequestGoal, RosterDoc, ServiceEvent,
    SnapshotDoc,
};
use serde_json::json;

const OWN: &str = "10.0.0.1:1";
const PEER: &str = "10.0.0.2:1";

fn seat(address: &str) -> Seat {
    Seat { address: address.parse().unwrap(), incarnation: Incarnation(5) }
}

fn snapshot() -> Snapshot {
    let objects = [
        json!({"kind": "team", "name": "t", "rate": 1, "burst": 1000}),
        json!({"kind": "key", "name": "k", "team": "t", "hash": SecretKey::new("k").hash()}),
        json!({"kind": "target", "name": "desk", "type": "service", "domain": "east",
               "address": "127.0.0.1:1"}),
        json!({"kind": "route", "name": "desk", "prefix": "/desk/", "targets": ""}),
    ];
    let parse = |value| serde_json::from_value::<Object>(value).unwrap();
    let items = objects.map(parse).map(DraftItem::put).to_vec();
    let draft = Draft { id: "c".parse().unwrap(), actor: "o".into(), wall_ms: 0, items };
    let empty = Snapshot::default();
    empty.apply(&empty.plan(&draft).unwrap()).unwrap()
}

/// A node under test. The test acts as its only peer.
struct NodeFixture {
    node: Node,
    now: Time,
    last_request: u64,
}

impl NodeFixture {
    /// Creates a node that holds no units, so that it must borrow all tokens.
    fn new() -> NodeFixture {
        let now = Time::from_millis(1_000);
        let config = NodeConfig::new(OWN.parse().unwrap(), "east".parse().unwrap());
        let mut node = Node::new(now, config.incarnation(Incarnation(5)));
        let doc = SnapshotDoc::from(&snapshot());
        node.handle(now, Event::Peer(seat(PEER), PeerMessage::Snapshot(doc)));
        let mut roster = Roster::new(Units::TOTAL);
        for (address, units) in [(OWN, Units::ZERO), (PEER, Units::TOTAL)] {
            let entry = SeatEntry { incarnation: Incarnation(5), units };
            roster.seats.insert(address.parse().unwrap(), entry);
        }
        let domain = "east".parse().unwrap();
        let rosters = vec![RosterDoc { domain, revision: Revision(9), roster }];
        node.handle(now, Event::Peer(seat(PEER), PeerMessage::Rosters(rosters)));
        let fresh = Some(Duration::ZERO);
        let mut fixture = NodeFixture { node, now, last_request: 0 };
        for action in fixture.node.handle(now, Event::Tick) {
            if let Action::Send(_, PeerMessage::Ping { nonce, revision, rosters }) = action {
                let pong = PeerMessage::Pong {
                    nonce,
                    revision,
                    fresh_age: fresh,
                    service_up: true,
                    rosters,
                };
                fixture.receive(pong);
            }
        }
        fixture
    }

    fn receive(&mut self, message: PeerMessage) -> Vec<Action> {
        self.node.handle(self.now, Event::Peer(seat(PEER), message))
    }

    fn request(&mut self, cost: u64) -> Vec<Action> {
        self.last_request += 1;
        let spec = NewRequest {
            id: RequestId(self.last_request),
            key: Some(SecretKey::new("k").hash()),
            goal: RequestGoal::Route("desk".parse().unwrap()),
            cost: TokenCount(cost),
            deadline: self.now + Duration::from_secs(1_000),
            priority: 0,
            idempotency: None,
            idempotent: true,
        };
        self.node.handle(self.now, Event::Arrived(spec))
    }
}

/// Returns the number of the first loan request and the amount that it asks for.
fn loan_request(actions: &[Action]) -> (u64, MicroTokens) {
    let find = |action: &Action| match action {
        Action::Send(_, PeerMessage::Borrow { draw, wanted, .. }) => Some((*draw, *wanted)),
        _ => None,
    };
    actions.iter().find_map(find).expect("a loan request")
}

fn dispatch_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Dispatch(_))).count()
}

fn loan_answer(draw: u64, tokens: u64) -> PeerMessage {
    let offer = LoanOffer { id: LoanId(1), amount: MicroTokens(tokens * 1_000_000) };
    PeerMessage::Lend { draw, team: "t".parse().unwrap(), offer: Some(offer) }
}

#[test]
fn repeated_loan_answer() {
    let mut fixture = NodeFixture::new();
    let (draw, wanted) = loan_request(&fixture.request(100));
    assert!(wanted >= MicroTokens(100_000_000));
    assert_eq!(dispatch_count(&fixture.receive(loan_answer(draw, 60))), 0);
    assert_eq!(
        dispatch_count(&fixture.receive(loan_answer(draw, 60))),
        0,
        "a repeated answer is credited twice"
    );
}

#[test]
fn full_loan_answer() {
    let mut fixture = NodeFixture::new();
    let (draw, _) = loan_request(&fixture.request(100));
    let actions = fixture.receive(loan_answer(draw, 100));
    assert_eq!(dispatch_count(&actions), 1);
    // The loan is used up, so it is settled with its lender at once.
    let settled = |action: &Action| matches!(action, Action::Send(_, PeerMessage::Settle { .. }));
    assert!(fixture.node.handle(fixture.now, Event::Tick).iter().any(settled));
}

#[test]
fn late_loan_answer() {
    let mut fixture = NodeFixture::new();
    let (draw, _) = loan_request(&fixture.request(100));
    fixture.now = fixture.now + Duration::from_secs(3);
    assert_eq!(
        dispatch_count(&fixture.receive(loan_answer(draw, 100))),
        0,
        "a loan is used after it expired"
    );
}

#[test]
fn unsolicited_loan_answer() {
    let mut fixture = NodeFixture::new();
    fixture.request(100);
    assert_eq!(dispatch_count(&fixture.receive(loan_answer(12_345, 1_000))), 0);
}

/// A settlement addressed to a former process at this address does not affect the loans of the
/// current one.
#[test]
fn settlement_for_former_process() {
    let mut fixture = NodeFixture::new();
    let event = ServiceEvent::Down;
    fixture.node.handle(fixture.now, Event::Service(event));
    let settlement = grant::LoanSettlement { id: LoanId(1), returned: MicroTokens(5_000_000) };
    let team = "t".parse().unwrap();
    fixture.receive(PeerMessage::Settle { lender: Incarnation(4), team, settlement });
    assert_eq!(dispatch_count(&fixture.request(5)), 0);
}

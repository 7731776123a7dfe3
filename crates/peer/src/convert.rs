//! Conversion between peer messages and their wire form.

use std::time::Duration;

use base::{Fence, Incarnation, OrderId, ParseError, Revision, Seat, TargetName};
use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use grant::{LoanId, LoanOffer, LoanSettlement, MicroTokens};
use node::{DomainView, PeerMessage, ViewDelta};
use place::{DemandRefusal, ModelDemand, Residency};

use crate::peer_capnp::{load, message, residency, seat, view, view_delta};

/// An error in decoding a peer message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(String);

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "malformed peer message: {}", self.0)
    }
}

impl std::error::Error for WireError {}

impl From<capnp::Error> for WireError {
    fn from(error: capnp::Error) -> WireError {
        WireError(error.to_string())
    }
}

impl From<capnp::NotInSchema> for WireError {
    fn from(error: capnp::NotInSchema) -> WireError {
        WireError(error.to_string())
    }
}

impl From<std::str::Utf8Error> for WireError {
    fn from(error: std::str::Utf8Error) -> WireError {
        WireError(error.to_string())
    }
}

impl From<ParseError> for WireError {
    fn from(error: ParseError) -> WireError {
        WireError(error.to_string())
    }
}

impl From<serde_json::Error> for WireError {
    fn from(error: serde_json::Error) -> WireError {
        WireError(error.to_string())
    }
}

/// Serializes a message outside of an RPC, for tests and fuzzing.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut builder: Builder<HeapAllocator> = Builder::new_default();
    write_message(builder.init_root(), message);
    capnp::serialize::write_message_to_words(&builder)
}

/// Deserializes a message that [`encode`] serialized.
///
/// # Errors
///
/// Fails when the bytes are not a well-formed message.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, WireError> {
    let reader = capnp::serialize::read_message(bytes, ReaderOptions::new())?;
    read_message(reader.get_root()?)
}

pub(crate) fn write_seat(mut builder: seat::Builder<'_>, seat: &Seat) {
    builder.set_address(seat.address.as_str());
    builder.set_incarnation(seat.incarnation.0);
}

pub(crate) fn read_seat(reader: seat::Reader<'_>) -> Result<Seat, WireError> {
    let address = reader.get_address()?.to_str()?.parse()?;
    Ok(Seat { address, incarnation: Incarnation(reader.get_incarnation()) })
}

pub(crate) fn write_message(mut builder: message::Builder<'_>, message: &PeerMessage) {
    match message {
        PeerMessage::Ping { nonce, revision, rosters } => {
            let mut ping = builder.init_ping();
            ping.set_rosters(*rosters);
            ping.set_nonce(*nonce);
            ping.set_revision(revision.0);
        }
        PeerMessage::Pong { nonce, revision, fresh_age, service_up, rosters } => {
            let mut pong = builder.init_pong();
            pong.set_rosters(*rosters);
            pong.set_nonce(*nonce);
            pong.set_revision(revision.0);
            pong.set_fresh(fresh_age.is_some());
            pong.set_fresh_age_us(to_micros(fresh_age.unwrap_or_default()));
            pong.set_service_up(*service_up);
        }
        PeerMessage::NeedChanges { from } => builder.set_need_changes(from.0),
        PeerMessage::Changes(changes) => {
            let mut list = builder.init_changes(to_list_length(changes.len()));
            for (index, change) in (0..).zip(changes) {
                list.set(index, &serde_json::to_vec(change).unwrap_or_default());
            }
        }
        PeerMessage::Snapshot(doc) => {
            builder.set_snapshot(&serde_json::to_vec(doc).unwrap_or_default());
        }
        PeerMessage::Borrow { draw, team, wanted } => {
            let mut borrow = builder.init_borrow();
            borrow.set_draw(*draw);
            borrow.set_team(team.as_str());
            borrow.set_wanted(wanted.0);
        }
        PeerMessage::Lend { draw, team, offer } => {
            let mut lend = builder.init_lend();
            lend.set_draw(*draw);
            lend.set_team(team.as_str());
            lend.set_loan(offer.map_or(0, |offer| offer.id.0));
            lend.set_amount(offer.map_or(0, |offer| offer.amount.0));
        }
        PeerMessage::Settle { lender, team, settlement } => {
            let mut settle = builder.init_settle();
            settle.set_lender(lender.0);
            settle.set_team(team.as_str());
            settle.set_loan(settlement.id.0);
            settle.set_returned(settlement.returned.0);
        }
        PeerMessage::Want(want) => {
            let mut builder = builder.init_want();
            builder.set_model(want.model.as_str());
            builder.set_time_left_us(to_micros(want.time_left));
            builder.set_waiting(want.waiting);
            builder.set_extra(want.extra);
        }
        PeerMessage::WantAnswer(answer) => {
            let mut builder = builder.init_want_answer();
            builder.set_model(answer.model.as_str());
            builder.set_retry_after_us(to_micros(answer.retry_after));
        }
        PeerMessage::View(view) => write_view(builder.init_view(), view),
        PeerMessage::ViewDelta(delta) => write_delta(builder.init_view_delta(), delta),
        PeerMessage::NeedView(domain) => builder.set_need_view(domain.as_str()),
        PeerMessage::Rosters(docs) => {
            builder.set_rosters(&serde_json::to_vec(docs).unwrap_or_default());
        }
        PeerMessage::AskOrders(orders) => {
            let mut list = builder.init_ask_orders(to_list_length(orders.len()));
            for (index, order) in (0..).zip(orders) {
                list.set(index, order.0);
            }
        }
        PeerMessage::Disowned(orders) => {
            let mut list = builder.init_disowned(to_list_length(orders.len()));
            for (index, order) in (0..).zip(orders) {
                list.set(index, order.0);
            }
        }
    }
}

pub(crate) fn read_message(reader: message::Reader<'_>) -> Result<PeerMessage, WireError> {
    Ok(match reader.which()? {
        message::Ping(ping) => {
            let ping = ping?;
            let revision = Revision(ping.get_revision());
            PeerMessage::Ping { nonce: ping.get_nonce(), revision, rosters: ping.get_rosters() }
        }
        message::Pong(pong) => {
            let pong = pong?;
            let age = Duration::from_micros(pong.get_fresh_age_us());
            PeerMessage::Pong {
                nonce: pong.get_nonce(),
                revision: Revision(pong.get_revision()),
                fresh_age: pong.get_fresh().then_some(age),
                service_up: pong.get_service_up(),
                rosters: pong.get_rosters(),
            }
        }
        message::NeedChanges(from) => PeerMessage::NeedChanges { from: Revision(from) },
        message::Changes(list) => {
            let changes = list?.iter().map(|data| Ok(serde_json::from_slice(data?)?));
            PeerMessage::Changes(changes.collect::<Result<_, WireError>>()?)
        }
        message::Snapshot(data) => PeerMessage::Snapshot(serde_json::from_slice(data?)?),
        message::Borrow(borrow) => {
            let borrow = borrow?;
            PeerMessage::Borrow {
                draw: borrow.get_draw(),
                team: borrow.get_team()?.to_str()?.parse()?,
                wanted: MicroTokens(borrow.get_wanted()),
            }
        }
        message::Lend(lend) => {
            let lend = lend?;
            let amount = MicroTokens(lend.get_amount());
            let offer = LoanOffer { id: LoanId(lend.get_loan()), amount };
            PeerMessage::Lend {
                draw: lend.get_draw(),
                team: lend.get_team()?.to_str()?.parse()?,
                offer: (amount > MicroTokens::ZERO).then_some(offer),
            }
        }
        message::Settle(settle) => {
            let settle = settle?;
            let (id, returned) = (LoanId(settle.get_loan()), MicroTokens(settle.get_returned()));
            PeerMessage::Settle {
                lender: Incarnation(settle.get_lender()),
                team: settle.get_team()?.to_str()?.parse()?,
                settlement: LoanSettlement { id, returned },
            }
        }
        message::Want(want) => {
            let want = want?;
            PeerMessage::Want(ModelDemand {
                model: want.get_model()?.to_str()?.parse()?,
                time_left: Duration::from_micros(want.get_time_left_us()),
                waiting: want.get_waiting(),
                extra: want.get_extra(),
            })
        }
        message::WantAnswer(answer) => {
            let answer = answer?;
            PeerMessage::WantAnswer(DemandRefusal {
                model: answer.get_model()?.to_str()?.parse()?,
                retry_after: Duration::from_micros(answer.get_retry_after_us()),
            })
        }
        message::View(view) => PeerMessage::View(read_view(view?)?),
        message::ViewDelta(delta) => PeerMessage::ViewDelta(read_delta(delta?)?),
        message::NeedView(domain) => PeerMessage::NeedView(domain?.to_str()?.parse()?),
        message::Rosters(data) => PeerMessage::Rosters(serde_json::from_slice(data?)?),
        message::AskOrders(list) => PeerMessage::AskOrders(list?.iter().map(OrderId).collect()),
        message::Disowned(list) => PeerMessage::Disowned(list?.iter().map(OrderId).collect()),
    })
}

fn write_view(mut builder: view::Builder<'_>, view: &DomainView) {
    builder.set_domain(view.domain.as_str());
    builder.set_fence(view.fence.0);
    builder.set_version(view.version);
    let replicas = builder.reborrow().init_replicas(to_list_length(view.replicas.len()));
    write_replicas(replicas, &view.replicas);
    write_loads(builder.init_loads(to_list_length(view.loads.len())), &view.loads);
}

fn read_view(reader: view::Reader<'_>) -> Result<DomainView, WireError> {
    Ok(DomainView {
        domain: reader.get_domain()?.to_str()?.parse()?,
        fence: Fence(reader.get_fence()),
        version: reader.get_version(),
        replicas: read_replicas(reader.get_replicas()?)?,
        loads: read_loads(reader.get_loads()?)?,
    })
}

fn write_delta(mut builder: view_delta::Builder<'_>, delta: &ViewDelta) {
    builder.set_domain(delta.domain.as_str());
    builder.set_fence(delta.fence.0);
    builder.set_base(delta.base);
    builder.set_version(delta.version);
    let set = builder.reborrow().init_set(to_list_length(delta.set.len()));
    write_replicas(set, &delta.set);
    let gone = builder.reborrow().init_gone(to_list_length(delta.gone.len()));
    write_replicas(gone, &delta.gone);
    write_loads(builder.init_loads(to_list_length(delta.loads.len())), &delta.loads);
}

fn read_delta(reader: view_delta::Reader<'_>) -> Result<ViewDelta, WireError> {
    Ok(ViewDelta {
        domain: reader.get_domain()?.to_str()?.parse()?,
        fence: Fence(reader.get_fence()),
        base: reader.get_base(),
        version: reader.get_version(),
        set: read_replicas(reader.get_set()?)?,
        gone: read_replicas(reader.get_gone()?)?,
        loads: read_loads(reader.get_loads()?)?,
    })
}

fn write_replicas(
    mut list: capnp::struct_list::Builder<'_, residency::Owned>,
    replicas: &[Residency],
) {
    for (index, replica) in (0..).zip(replicas) {
        let mut entry = list.reborrow().get(index);
        entry.set_target(replica.target.as_str());
        entry.set_model(replica.model.as_str());
        entry.set_ready(replica.ready);
    }
}

fn read_replicas(
    list: capnp::struct_list::Reader<'_, residency::Owned>,
) -> Result<Vec<Residency>, WireError> {
    let replicas = list.iter().map(|entry| {
        Ok(Residency {
            target: entry.get_target()?.to_str()?.parse()?,
            model: entry.get_model()?.to_str()?.parse()?,
            ready: entry.get_ready(),
        })
    });
    replicas.collect()
}

fn write_loads(
    mut list: capnp::struct_list::Builder<'_, load::Owned>,
    loads: &[(TargetName, u32)],
) {
    for (index, (target, total)) in (0..).zip(loads) {
        let mut entry = list.reborrow().get(index);
        entry.set_target(target.as_str());
        entry.set_total(*total);
    }
}

fn read_loads(
    list: capnp::struct_list::Reader<'_, load::Owned>,
) -> Result<Vec<(TargetName, u32)>, WireError> {
    let loads =
        list.iter().map(|entry| Ok((entry.get_target()?.to_str()?.parse()?, entry.get_total())));
    loads.collect()
}

fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn to_list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

//! The life of an order, as a typestate.

use std::marker::PhantomData;

use base::{ByteSize, Fence, ModelName, OrderId, TargetName};

/// What a target is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
}

/// An order as it goes to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderMessage {
    /// Receiver.
    pub target: TargetName,
    /// What to do.
    pub kind: OrderKind,
    /// Number of the order.
    pub id: OrderId,
    /// Fencing number; larger in each message to any target of the failure domain.
    pub fence: Fence,
    /// Model or adapter concerned.
    pub model: ModelName,
    /// Base model, for an adapter.
    pub base: Option<ModelName>,
    /// Memory that the replica takes.
    pub memory: ByteSize,
}

/// How sending an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target accepted it.
    Accepted,
    /// The target refused it; it has no effect now or later.
    Refused,
    /// No byte of it was sent.
    NotSent,
    /// The answer was lost; it may take effect at any time.
    Unknown,
}

/// State of an order that is decided but not recorded.
#[derive(Debug)]
pub struct Decided;
/// State of an order whose plan entry is recorded.
#[derive(Debug)]
pub struct Recorded;
/// State of an order that may be on the wire.
#[derive(Debug)]
pub struct Dispatched;

/// An order in one state of its life. Only a recorded order can be dispatched, and dispatching
/// consumes it, so that the code can't send an unrecorded order or one order twice.
///
/// # Example
///
/// ```
/// use base::{ByteSize, Fence, OrderId};
/// use mango_place::{Order, OrderKind};
///
/// let order = Order::decide("t1".parse()?, OrderKind::Load, OrderId(7), "m".parse()?)
///     .sized(ByteSize(10), None);
/// let (message, dispatched) = order.recorded().dispatch(Fence(3));
/// assert_eq!(message.fence, Fence(3));
/// assert_eq!(dispatched.id(), OrderId(7));
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Debug)]
pub struct Order<State> {
    target: TargetName,
    kind: OrderKind,
    id: OrderId,
    model: ModelName,
    base: Option<ModelName>,
    memory: ByteSize,
    state: PhantomData<State>,
}

impl<State> Order<State> {
    /// Returns the order's number.
    pub fn id(&self) -> OrderId {
        self.id
    }

    fn into_state<Next>(self) -> Order<Next> {
        let Order { target, kind, id, model, base, memory, .. } = self;
        Order { target, kind, id, model, base, memory, state: PhantomData }
    }
}

impl Order<Decided> {
    /// Creates an order.
    pub fn decide(target: TargetName, kind: OrderKind, id: OrderId, model: ModelName) -> Self {
        Order { target, kind, id, model, base: None, memory: ByteSize::ZERO, state: PhantomData }
    }

    /// Sets the memory and, for an adapter, the base model.
    pub fn sized(mut self, memory: ByteSize, base: Option<ModelName>) -> Self {
        self.memory = memory;
        self.base = base;
        self
    }

    /// Declares that the plan entry of this order is recorded.
    pub fn recorded(self) -> Order<Recorded> {
        self.into_state()
    }
}

impl Order<Recorded> {
    /// Turns the order into the message to send under `fence`.
    pub fn dispatch(self, fence: Fence) -> (OrderMessage, Order<Dispatched>) {
        let message = OrderMessage {
            target: self.target.clone(),
            kind: self.kind,
            id: self.id,
            fence,
            model: self.model.clone(),
            base: self.base.clone(),
            memory: self.memory,
        };
        (message, self.into_state())
    }
}

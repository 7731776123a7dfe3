//! Orders to targets. The state of an order is part of its type.

use std::marker::PhantomData;

use base::{ByteSize, Fence, ModelName, OrderId, TargetName};

/// The operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
}

/// An order as it is sent to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderMessage {
    /// Target that receives the order.
    pub target: TargetName,
    /// Requested operation.
    pub kind: OrderKind,
    /// Identifier of the order.
    pub id: OrderId,
    /// Fencing token. It grows with each new order of the failure domain.
    pub fence: Fence,
    /// Model or adapter to load or unload.
    pub model: ModelName,
    /// Base model, for an adapter.
    pub base: Option<ModelName>,
    /// Memory that the replica occupies on the target.
    pub memory: ByteSize,
}

/// The result of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target accepted it.
    Accepted,
    /// The target refused it. It has no effect now or later.
    Refused,
    /// It was not sent, not even in part.
    NotSent,
    /// The answer was lost. The order may take effect at any time.
    Unknown,
}

/// State of an order that is created but not yet recorded.
#[derive(Debug)]
pub struct Decided;
/// State of an order whose plan entry is recorded in the key-value service.
#[derive(Debug)]
pub struct Recorded;
/// State of an order that may have been sent.
#[derive(Debug)]
pub struct Dispatched;

/// An order in a given state: [`Decided`], [`Recorded`] or [`Dispatched`].
///
/// Only a recorded order can be dispatched, and dispatching consumes it. The compiler thus rejects
/// code that sends an unrecorded order or the same order twice.
///
/// # Example
///
/// ```
/// use base::{ByteSize, Fence, OrderId};
/// use mango_place::{Order, OrderKind};
///
/// let order = Order::decide("t1".parse()?, OrderKind::Load, OrderId(7), "m".parse()?)
///     .with_size(ByteSize(10), None);
/// let (message, dispatched) = order.into_recorded().dispatch(Fence(3));
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
    /// Returns the order's identifier.
    pub fn id(&self) -> OrderId {
        self.id
    }

    fn into_state<Next>(self) -> Order<Next> {
        let Order { target, kind, id, model, base, memory, .. } = self;
        Order { target, kind, id, model, base, memory, state: PhantomData }
    }
}

impl Order<Decided> {
    /// Creates an order that is not yet recorded.
    pub fn decide(target: TargetName, kind: OrderKind, id: OrderId, model: ModelName) -> Self {
        Order { target, kind, id, model, base: None, memory: ByteSize::ZERO, state: PhantomData }
    }

    /// Sets the memory of the replica and, for an adapter, its base model.
    pub fn with_size(mut self, memory: ByteSize, base: Option<ModelName>) -> Self {
        self.memory = memory;
        self.base = base;
        self
    }

    /// Converts the order once its plan entry is recorded.
    pub fn into_recorded(self) -> Order<Recorded> {
        self.into_state()
    }
}

impl Order<Recorded> {
    /// Returns the message to send with the fencing token `fence`, and the dispatched order.
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

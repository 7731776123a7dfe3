//! The tasks of a process that must run for as long as it does.

use std::any::Any;
use std::future::Future;

use tokio::task::{Id, JoinError, JoinSet};

/// Tasks that must run for as long as their process.
///
/// The runtime catches a panic, so that a process could go on for good without one of its tasks. The
/// process waits for [`next_end`](TaskGroup::next_end) and exits then, to be started again.
///
/// # Example
///
/// ```
/// use mango_daemon::TaskGroup;
///
/// let runtime = tokio::runtime::Builder::new_current_thread().build()?;
/// let local = tokio::task::LocalSet::new();
/// let end = local.block_on(&runtime, async {
///     let mut tasks = TaskGroup::default();
///     tasks.spawn_local("listener", std::future::pending());
///     tasks.spawn_local("watcher", async { panic!("no revision") });
///     tasks.next_end().await
/// });
/// assert_eq!(end.to_string(), "task watcher ended: no revision");
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct TaskGroup {
    tasks: JoinSet<()>,
    names: Vec<(Id, &'static str)>,
}

impl TaskGroup {
    /// Starts a task on the current thread's `LocalSet`. Dropping the group ends it.
    ///
    /// # Panics
    ///
    /// Panics outside a `LocalSet`.
    pub fn spawn_local(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let handle = self.tasks.spawn_local(task);
        self.names.push((handle.id(), name));
    }

    /// Waits until a task ends, which none should. Waits for ever if there are none.
    pub async fn next_end(&mut self) -> TaskEnd {
        let (id, reason) = match self.tasks.join_next_with_id().await {
            None => return std::future::pending().await,
            Some(Ok((id, ()))) => (id, "it returned".to_owned()),
            Some(Err(error)) => (error.id(), reason_of(error)),
        };
        let at = self.names.iter().position(|(known, _)| *known == id);
        let name = at.map_or("without a name", |at| self.names.swap_remove(at).1);
        TaskEnd { name, reason }
    }
}

/// The end of a task that must run for as long as its process.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("task {name} ended: {reason}")]
pub struct TaskEnd {
    /// Name of the task.
    pub name: &'static str,
    /// Message of the panic, or how else the task ended.
    pub reason: String,
}

fn reason_of(error: JoinError) -> String {
    match error.try_into_panic() {
        Ok(panic) => message_of(panic.as_ref()),
        Err(error) => error.to_string(),
    }
}

/// Returns the message of a panic.
fn message_of(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().copied();
    let owned = || panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(owned).unwrap_or("a panic without a message").to_owned()
}

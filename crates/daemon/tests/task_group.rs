//! Tasks that end although their process needs them.

use std::future::{pending, Future};
use std::time::Duration;

use mango_daemon::{TaskEnd, TaskGroup};
use tokio::task::LocalSet;

/// Longest time until the end of a task is noticed.
const NOTICE_BOUND: Duration = Duration::from_secs(2);

/// Runs a group and returns the first end of one of its tasks; `None` if none is noticed.
fn first_end(fill: impl FnOnce(&mut TaskGroup)) -> Option<TaskEnd> {
    run(async {
        let mut tasks = TaskGroup::default();
        fill(&mut tasks);
        tokio::time::timeout(NOTICE_BOUND, tasks.next_end()).await.ok()
    })
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

fn end(name: &'static str, reason: &str) -> Option<TaskEnd> {
    Some(TaskEnd { name, reason: reason.to_owned() })
}

/// Guards against a process that goes on without a task that has panicked.
#[test]
fn panicking_task() {
    let literal = first_end(|tasks| {
        tasks.spawn_local("first", pending());
        tasks.spawn_local("second", async {
            tokio::task::yield_now().await;
            panic!("no value");
        });
        tasks.spawn_local("third", pending());
    });
    assert_eq!(literal, end("second", "no value"));
    let formatted = first_end(|tasks| {
        let number = 7;
        tasks.spawn_local("first", async move { panic!("no value {number}") });
    });
    assert_eq!(formatted, end("first", "no value 7"));
    let without = first_end(|tasks| {
        tasks.spawn_local("first", async { std::panic::panic_any(7_u8) });
    });
    assert_eq!(without, end("first", "a panic without a message"));
}

/// Guards against a process that goes on without a task whose loop has ended.
#[test]
fn returning_task() {
    let returned = first_end(|tasks| {
        tasks.spawn_local("first", pending());
        tasks.spawn_local("second", async {});
    });
    assert_eq!(returned, end("second", "it returned"));
}

/// Guards against a process that stops although all of its tasks run.
#[test]
fn running_tasks() {
    let quiet = run(async {
        let mut tasks = TaskGroup::default();
        let none = tokio::time::timeout(Duration::from_millis(20), tasks.next_end()).await;
        tasks.spawn_local("first", pending());
        let one = tokio::time::timeout(Duration::from_millis(20), tasks.next_end()).await;
        (none.is_err(), one.is_err())
    });
    assert_eq!(quiet, (true, true));
}

/// Guards against a second task whose end is lost because the first one ended at the same time.
#[test]
fn tasks_ending_together() {
    let ends = run(async {
        let mut tasks = TaskGroup::default();
        for name in ["first", "second", "third"] {
            tasks.spawn_local(name, async move { panic!("{name}") });
        }
        let mut ends = Vec::new();
        for _ in 0..3 {
            let end = tokio::time::timeout(NOTICE_BOUND, tasks.next_end()).await.unwrap();
            ends.push((end.name, end.reason));
        }
        ends
    });
    let mut ends = ends;
    ends.sort();
    assert_eq!(ends, ["first", "second", "third"].map(|name| (name, name.to_owned())));
}

//! Daemons that are stopped under load.

mod common;
mod platform_fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{eventually, run};
use platform_fleet::platform_standin::{HOST, KEY};
use platform_fleet::{request, FrontProcess, PlatformFleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// A request whose last byte was sent so long before the daemon ended needs an answer.
const SLACK: Duration = Duration::from_millis(200);

/// How a client sends its request.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// At once on a connection just made.
    Whole,
    /// In two halves.
    Halves,
    /// Two requests one after the other, without waiting for the first answer.
    Pipelined,
}

struct Outcome {
    manner: Manner,
    sent_at: Instant,
    answers: usize,
    expected: usize,
}

/// Sends a request on a new connection; `None` when it was refused.
async fn call(front: SocketAddr, number: usize, manner: Manner) -> Option<Outcome> {
    let mut stream = TcpStream::connect(front).await.ok()?;
    let text = |part: usize| {
        format!(
            "POST /unsafe/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {KEY}\r\n\
             mangodeal-attempt-id: s{number}-{part}\r\nmangodeal-time-left-ms: 2000\r\n\
             content-length: 4\r\n\r\nbody"
        )
    };
    let first = text(0);
    let expected = if matches!(manner, Manner::Pipelined) { 2 } else { 1 };
    let sent = match manner {
        Manner::Whole => stream.write_all(first.as_bytes()).await,
        Manner::Halves => {
            let (head, rest) = first.split_at(first.len() / 2);
            let _ = stream.write_all(head.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(60)).await;
            stream.write_all(rest.as_bytes()).await
        }
        Manner::Pipelined => stream.write_all(format!("{first}{}", text(1)).as_bytes()).await,
    };
    let sent_at = Instant::now();
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    let count = |bytes: &[u8]| String::from_utf8_lossy(bytes).matches("HTTP/1.1 ").count();
    if sent.is_ok() {
        let reading = async {
            while count(&bytes) < expected {
                match stream.read(&mut buffer).await {
                    Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
                    _ => break,
                }
            }
        };
        let _ = tokio::time::timeout(Duration::from_secs(4), reading).await;
    }
    Some(Outcome { manner, sent_at, answers: count(&bytes), expected })
}

/// Every request that was sent in time gets an answer: on connections that are just made, in halves
/// and behind another one, until the daemon's end. Behind an answer that closes the connection a
/// request is not read, which its client can tell.
#[test]
fn loaded_stop() {
    run(async {
        let mut fleet = PlatformFleet::start(1).await;
        let front = fleet.fronts[0].caller;
        let mut calls = JoinSet::new();
        let stop_at = Instant::now() + Duration::from_millis(500);
        let mut is_stopped = false;
        for number in 0.. {
            let manner = [Manner::Whole, Manner::Halves, Manner::Pipelined][number % 3];
            calls.spawn(call(front, number, manner));
            tokio::time::sleep(Duration::from_millis(7)).await;
            if !is_stopped && Instant::now() >= stop_at {
                is_stopped = true;
                fleet.fronts[0].terminate();
            }
            if is_stopped && fleet.fronts[0].has_exited() {
                break;
            }
        }
        let ended_at = Instant::now();
        let took = ended_at - stop_at;
        assert!(took < Duration::from_secs(5), "within its grace: {took:?}");
        let outcomes: Vec<Outcome> = calls.join_all().await.into_iter().flatten().collect();
        assert!(outcomes.len() > 300, "{}", outcomes.len());
        for Outcome { manner, sent_at, answers, expected } in outcomes {
            let due = if sent_at >= stop_at { 1 } else { expected };
            let is_due = sent_at + SLACK < ended_at;
            let when = sent_at.saturating_duration_since(stop_at);
            assert!(!is_due || answers >= due, "{manner:?} {when:?} after SIGTERM: {answers}");
        }
    });
}

/// The next leader comes at once when one is stopped: its term doesn't have to run out.
#[test]
fn stopped_leader() {
    run(async {
        let mut fleet = PlatformFleet::start(3).await;
        let leads = |front: &FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
        eventually(Duration::from_secs(5), "one leads", || async {
            fleet.fronts.iter().any(leads)
        })
        .await;
        let leader = fleet.fronts.iter().position(leads).unwrap();
        fleet.fronts[leader].terminate();
        fleet.fronts[leader].wait_exit().await;
        let others = || fleet.fronts.iter().enumerate().filter(|(at, _)| *at != leader);
        // A term of the daemons here is 2 s long.
        eventually(Duration::from_millis(1_300), "another one leads", || async {
            others().any(|(_, front)| leads(front))
        })
        .await;
        let (_, other) = others().next().unwrap();
        let answer = request(other.caller, "/unsafe/1", "u1", 1_000).send().await.unwrap();
        assert_eq!(answer.status, 200);
    });
}

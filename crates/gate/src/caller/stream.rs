//! Forwards streamed responses to callers.

use base::{ResultCode, TokenCount};
use bytes::Bytes;
use node::RequestEnd;
use tokio::sync::mpsc;

use super::{wait_for_cancel, RequestGuard};
use crate::exchange::{StreamItem, StreamedResponse};
use crate::link::GateCommand;
use crate::parse::{contains, used_tokens};
use crate::response;

/// Forwards a streamed response to the caller and reports its end to the node. Only complete events
/// are forwarded.
pub(super) async fn forward_stream(
    mut response: StreamedResponse,
    mut guard: RequestGuard,
    mut commands: mpsc::UnboundedReceiver<Box<GateCommand>>,
    sender: mpsc::Sender<Bytes>,
    body_bytes: usize,
) {
    let prompt_tokens = (body_bytes as u64).div_ceil(4);
    let mut reported_tokens = None;
    let mut events = std::mem::take(&mut response.first_events);
    let end = loop {
        for event in events.drain(..) {
            reported_tokens = parse_usage(&event).or(reported_tokens);
            if sender.send(event).await.is_err() {
                break;
            }
        }
        let item = tokio::select! {
            biased;
            code = wait_for_cancel(&mut commands) => Err(code),
            () = sender.closed() => break RequestEnd::CallerGone(TokenCount::ZERO),
            item = response.next() => Ok(item),
        };
        match item {
            Ok(StreamItem::Events(next_events)) => events = next_events,
            Ok(StreamItem::Complete) => break RequestEnd::Served(TokenCount::ZERO),
            Ok(StreamItem::Broken) => {
                let _ = sender.send(error_event(ResultCode::BrokenAnswer)).await;
                break RequestEnd::Broken(TokenCount::ZERO);
            }
            Err(code) => {
                let _ = sender.try_send(error_event(code));
                break RequestEnd::Cancelled(TokenCount::ZERO);
            }
        }
    };
    let used =
        reported_tokens.unwrap_or(TokenCount(prompt_tokens + response.splitter.event_count()));
    guard.end_request(match end {
        RequestEnd::Served(_) => RequestEnd::Served(used),
        RequestEnd::Broken(_) => RequestEnd::Broken(used),
        RequestEnd::CallerGone(_) => RequestEnd::CallerGone(used),
        _ => RequestEnd::Cancelled(used),
    });
}

fn parse_usage(event: &Bytes) -> Option<TokenCount> {
    if !contains(event, b"\"usage\"") {
        return None;
    }
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| used_tokens(line.strip_prefix("data:")?.as_bytes()))
}

fn error_event(code: ResultCode) -> Bytes {
    Bytes::from(format!("data: {}\n\n", response::error_json(code, None)))
}

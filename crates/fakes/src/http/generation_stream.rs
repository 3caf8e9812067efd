use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::body::Frame;
use names::GenerationId;
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::answer::token_text;
use crate::engine::SequenceState;
use crate::http::engine_state::{Progress, Watched};
use crate::http::fault::{Fault, FaultInjector};

const STATUS_INTERVAL_MS: u64 = 500;

type Item = Result<Frame<Bytes>, io::Error>;

struct Streaming {
    cut: bool,
    ended: bool,
    faults: FaultInjector,
    next_index: u32,
    status: Option<SequenceState>,
    watched: Watched,
}

/// Streams a generation from a token index, as server-sent events.
pub(crate) fn open(watched: Watched, from: u32, faults: FaultInjector) -> impl Stream<Item = Item> {
    let (cut, ended, status) = (false, false, None);
    let streaming = Streaming {
        cut,
        ended,
        faults,
        next_index: from,
        status,
        watched,
    };
    stream::unfold(streaming, next)
}

async fn next(mut streaming: Streaming) -> Option<(Item, Streaming)> {
    loop {
        if streaming.faults.current() == Some(Fault::Stall) {
            std::future::pending::<()>().await;
        }
        if streaming.cut {
            streaming.cut = false;
            streaming.ended = true;
            return Some((Err(io::Error::other("the fake cuts the stream")), streaming));
        }
        if streaming.ended {
            return None;
        }
        let progress = *streaming.watched.progress.borrow_and_update();
        let text = streaming.render(progress);
        if !text.is_empty() {
            return Some((Ok(Frame::data(Bytes::from(text))), streaming));
        }
        if streaming.cut || streaming.ended {
            continue;
        }
        let change = streaming.watched.progress.changed();
        if timeout(Duration::from_millis(STATUS_INTERVAL_MS), change)
            .await
            .is_err()
        {
            streaming.status = None;
        }
    }
}

impl Streaming {
    /// Writes what is new since the last call.
    fn render(&mut self, progress: Progress) -> String {
        let mut text = String::new();
        let id = self.watched.generation;
        if progress.end.is_none() && self.status != Some(progress.state) {
            self.status = Some(progress.state);
            push(
                &mut text,
                &json!({"generation": id, "status": progress.state}),
            );
        }
        while self.next_index < progress.tokens {
            let index = self.next_index;
            let fault = self.faults.take(|fault| hits(fault, index));
            self.cut = matches!(fault, Some(Fault::Cut(_)));
            self.ended = matches!(fault, Some(Fault::Truncate(_)));
            if self.cut || self.ended {
                return text;
            }
            self.push_token(&mut text, index, fault);
            self.next_index += 1;
        }
        if let Some(end) = progress.end {
            self.ended = true;
            let tokens = progress.tokens;
            push(
                &mut text,
                &json!({"generation": id, "end": end, "tokens": tokens}),
            );
        }
        text
    }

    fn push_token(&self, text: &mut String, index: u32, fault: Option<Fault>) {
        let id = self.watched.generation;
        let token = token_text(self.watched.generation_tag, self.watched.prompt_tag, index);
        let event = |id: GenerationId| {
            // Written by hand: this runs for every token of a load test.
            format!("data: {{\"generation\":\"{id}\",\"index\":{index},\"text\":\"{token}\"}}\n\n")
        };
        match fault {
            Some(Fault::DuplicateToken(_)) => text.push_str(&event(id).repeat(2)),
            Some(Fault::MalformedEvent(_)) => text.push_str("data: {\"generation\":\n\n"),
            Some(Fault::WrongId(_)) => text.push_str(&event(GenerationId(id.0 ^ 1))),
            Some(Fault::WrongIndex(_)) => {}
            _ => text.push_str(&event(id)),
        }
    }
}

fn hits(fault: Fault, index: u32) -> bool {
    match fault {
        Fault::Cut(at)
        | Fault::DuplicateToken(at)
        | Fault::MalformedEvent(at)
        | Fault::Truncate(at)
        | Fault::WrongId(at)
        | Fault::WrongIndex(at) => at == index,
        _ => false,
    }
}

fn push(text: &mut String, event: &Value) {
    text.push_str("data: ");
    text.push_str(&event.to_string());
    text.push_str("\n\n");
}

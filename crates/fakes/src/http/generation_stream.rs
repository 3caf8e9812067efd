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
use crate::http::engine_state::{GenerationProgress, GenerationWatch};
use crate::http::fault::{Fault, FaultInjector};

/// The status of a generation is repeated after this time without progress.
const STATUS_INTERVAL_MS: u64 = 500;

type FrameResult = Result<Frame<Bytes>, io::Error>;

/// State of one event stream.
struct EventStream {
    /// Whether the connection breaks next, after an injected [`Fault::Cut`].
    cut: bool,
    ended: bool,
    faults: FaultInjector,
    /// Status sent last; none if it is to be sent again.
    last_status: Option<SequenceState>,
    next_index: u32,
    watch: GenerationWatch,
}

/// Streams a generation as server-sent events, beginning with the token of this index.
pub(crate) fn stream_events(
    watch: GenerationWatch,
    first_index: u32,
    faults: FaultInjector,
) -> impl Stream<Item = FrameResult> {
    let (cut, ended, last_status) = (false, false, None);
    let events = EventStream {
        cut,
        ended,
        faults,
        last_status,
        next_index: first_index,
        watch,
    };
    stream::unfold(events, next_frame)
}

async fn next_frame(mut events: EventStream) -> Option<(FrameResult, EventStream)> {
    loop {
        if events.faults.current() == Some(Fault::Stall) {
            std::future::pending::<()>().await;
        }
        if events.cut {
            events.cut = false;
            events.ended = true;
            let error = io::Error::other("injected fault: connection broken before a token");
            return Some((Err(error), events));
        }
        if events.ended {
            return None;
        }
        let progress = *events.watch.progress.borrow_and_update();
        let text = events.render(progress);
        if !text.is_empty() {
            return Some((Ok(Frame::data(Bytes::from(text))), events));
        }
        if events.cut || events.ended {
            continue;
        }
        let change = events.watch.progress.changed();
        if timeout(Duration::from_millis(STATUS_INTERVAL_MS), change)
            .await
            .is_err()
        {
            events.last_status = None;
        }
    }
}

impl EventStream {
    /// Writes the events since the last call.
    fn render(&mut self, progress: GenerationProgress) -> String {
        let mut text = String::new();
        let id = self.watch.generation;
        if progress.end.is_none() && self.last_status != Some(progress.state) {
            self.last_status = Some(progress.state);
            push_event(
                &mut text,
                &json!({"generation": id, "status": progress.state}),
            );
        }
        while self.next_index < progress.tokens {
            let index = self.next_index;
            let fault = self.faults.consume(|fault| affects_token(fault, index));
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
            push_event(
                &mut text,
                &json!({"generation": id, "end": end, "tokens": tokens}),
            );
        }
        text
    }

    fn push_token(&self, text: &mut String, index: u32, fault: Option<Fault>) {
        let id = self.watch.generation;
        let token = token_text(self.watch.generation_tag, self.watch.prompt_tag, index);
        let event = |id: GenerationId| {
            // Formatted without serde because this runs for every token of a load test.
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

fn affects_token(fault: Fault, index: u32) -> bool {
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

fn push_event(text: &mut String, event: &Value) {
    text.push_str("data: ");
    text.push_str(&event.to_string());
    text.push_str("\n\n");
}

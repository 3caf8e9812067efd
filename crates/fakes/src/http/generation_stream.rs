use std::fmt::Write;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::body::Frame;
use names::GenerationId;
use tokio::time::timeout;

use crate::answer::token_text_of;
use crate::engine::{EndReason, SequenceState};
use crate::http::engine_state::{Progress, Watched};
use crate::http::fault::{Fault, FaultSwitch};

const STATUS_INTERVAL_MS: u64 = 500;

type Item = Result<Frame<Bytes>, io::Error>;

struct Streaming {
    cut: bool,
    ended: bool,
    faults: FaultSwitch,
    next_index: u32,
    status: Option<SequenceState>,
    watched: Watched,
}

/// Streams a generation from a token index, as server-sent events.
pub(crate) fn open(watched: Watched, from: u32, faults: FaultSwitch) -> impl Stream<Item = Item> {
    let streaming = Streaming {
        cut: false,
        ended: false,
        faults,
        next_index: from,
        status: None,
        watched,
    };
    stream::unfold(streaming, next)
}

async fn next(mut streaming: Streaming) -> Option<(Item, Streaming)> {
    if streaming.ended {
        return None;
    }
    loop {
        if streaming.faults.current() == Some(Fault::Stall) {
            std::future::pending::<()>().await;
        }
        let progress = *streaming.watched.progress.borrow_and_update();
        match streaming.render(progress) {
            Ok(text) if text.is_empty() && streaming.ended => return None,
            Ok(text) if text.is_empty() => {}
            Ok(text) => return Some((Ok(Frame::data(Bytes::from(text))), streaming)),
            Err(error) => {
                streaming.ended = true;
                return Some((Err(error), streaming));
            }
        }
        let change = streaming.watched.progress.changed();
        match timeout(Duration::from_millis(STATUS_INTERVAL_MS), change).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => streaming.status = None,
        }
    }
}

impl Streaming {
    /// Writes what is new since the last call.
    fn render(&mut self, progress: Progress) -> Result<String, io::Error> {
        if self.cut {
            return Err(io::Error::other("the fake cuts the stream"));
        }
        let mut text = String::new();
        if progress.end.is_none() && self.status != Some(progress.state) {
            self.status = Some(progress.state);
            let id = self.watched.generation;
            let status = name(progress.state);
            push(
                &mut text,
                format_args!(r#"{{"generation":"{id}","status":"{status}"}}"#),
            );
        }
        while self.next_index < progress.tokens {
            let index = self.next_index;
            let fault = self.faults.take(|fault| hits(fault, index));
            match fault {
                Some(Fault::Cut { .. }) => {
                    self.cut = true;
                    return if text.is_empty() {
                        self.render(progress)
                    } else {
                        Ok(text)
                    };
                }
                Some(Fault::Truncate { .. }) => {
                    self.ended = true;
                    return Ok(text);
                }
                _ => {}
            }
            self.push_token(&mut text, index, fault);
            self.next_index += 1;
        }
        if let Some(end) = progress.end {
            self.ended = true;
            let id = self.watched.generation;
            let (end, tokens) = (end_name(end), progress.tokens);
            push(
                &mut text,
                format_args!(r#"{{"generation":"{id}","end":"{end}","tokens":{tokens}}}"#),
            );
        }
        Ok(text)
    }

    fn push_token(&self, text: &mut String, index: u32, fault: Option<Fault>) {
        let id = self.watched.generation;
        match fault {
            Some(Fault::DuplicateToken { .. }) => {
                self.push_event(text, id, index);
                self.push_event(text, id, index);
            }
            Some(Fault::MalformedEvent { .. }) => text.push_str("data: {\"generation\":\n\n"),
            Some(Fault::WrongId { .. }) => self.push_event(text, GenerationId(id.0 ^ 1), index),
            Some(Fault::WrongIndex { .. }) => {}
            _ => self.push_event(text, id, index),
        }
    }

    fn push_event(&self, text: &mut String, id: GenerationId, index: u32) {
        let token = token_text_of(self.watched.generation_tag, self.watched.prompt_tag, index);
        push(
            text,
            format_args!(r#"{{"generation":"{id}","index":{index},"text":"{token}"}}"#),
        );
    }
}

fn end_name(end: EndReason) -> &'static str {
    match end {
        EndReason::Cancelled => "cancelled",
        EndReason::Length => "length",
        EndReason::Stop => "stop",
    }
}

fn hits(fault: Fault, index: u32) -> bool {
    match fault {
        Fault::Cut { at_index }
        | Fault::DuplicateToken { at_index }
        | Fault::MalformedEvent { at_index }
        | Fault::Truncate { at_index }
        | Fault::WrongId { at_index }
        | Fault::WrongIndex { at_index } => at_index == index,
        _ => false,
    }
}

fn name(state: SequenceState) -> &'static str {
    match state {
        SequenceState::Preempted => "preempted",
        SequenceState::Prefill => "prefill",
        SequenceState::Running => "running",
        SequenceState::Waiting => "waiting",
    }
}

fn push(text: &mut String, event: std::fmt::Arguments<'_>) {
    write!(text, "data: {event}\n\n").expect("writing to a string succeeds");
}

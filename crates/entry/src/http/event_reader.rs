//! Reads the event stream of an engine.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use names::GenerationId;
use serde::Deserialize;

use crate::core::{FinishReason, GenerationStatus};

/// What the engine sent.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum EngineEvent<'a> {
    /// The generation is over.
    End { end: FinishReason, tokens: u32 },
    /// Something that the interface does not allow.
    Malformed,
    /// What the generation does.
    Status(GenerationStatus),
    /// A token.
    Token { index: u32, text: Cow<'a, str> },
}

#[derive(Deserialize)]
struct EventData<'a> {
    end: Option<EndField>,
    generation: &'a str,
    index: Option<u32>,
    status: Option<StatusField>,
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
    tokens: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndField {
    Cancelled,
    Length,
    Stop,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum StatusField {
    Preempted,
    Prefill,
    Running,
    Waiting,
}

impl From<EndField> for FinishReason {
    fn from(end: EndField) -> Self {
        match end {
            EndField::Cancelled => Self::Cancelled,
            EndField::Length => Self::Length,
            EndField::Stop => Self::Stop,
        }
    }
}

impl From<StatusField> for GenerationStatus {
    fn from(status: StatusField) -> Self {
        match status {
            StatusField::Preempted => Self::Preempted,
            StatusField::Prefill => Self::Prefill,
            StatusField::Running => Self::Running,
            StatusField::Waiting => Self::Waiting,
        }
    }
}

/// Cuts pieces of a body into lines and lines into events.
#[derive(Debug)]
pub(crate) struct EventReader {
    generation: String,
    line_bytes_max: usize,
    rest: BytesMut,
}

impl EventReader {
    pub(crate) fn new(generation: GenerationId, line_bytes_max: usize) -> Self {
        Self {
            generation: generation.to_string(),
            line_bytes_max,
            rest: BytesMut::new(),
        }
    }

    /// Hands the events of a piece to `take`, until it wants no more.
    pub(crate) fn read(&mut self, piece: &Bytes, mut take: impl FnMut(EngineEvent<'_>) -> bool) {
        let mut piece = &piece[..];
        while let Some(end) = piece.iter().position(|&byte| byte == b'\n') {
            let line = &piece[..end];
            piece = &piece[end + 1..];
            let wants_more = if self.rest.is_empty() {
                self.line(line, &mut take)
            } else {
                let mut whole = self.rest.split();
                whole.extend_from_slice(line);
                self.line(&whole, &mut take)
            };
            if !wants_more {
                return;
            }
        }
        self.rest.extend_from_slice(piece);
        if self.rest.len() > self.line_bytes_max {
            take(EngineEvent::Malformed);
        }
    }

    fn line(&self, line: &[u8], take: &mut impl FnMut(EngineEvent<'_>) -> bool) -> bool {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() || line.starts_with(b":") {
            return true;
        }
        let Some(data) = line.strip_prefix(b"data:") else {
            return take(EngineEvent::Malformed);
        };
        if data.len() > self.line_bytes_max {
            return take(EngineEvent::Malformed);
        }
        take(self.event(data).unwrap_or(EngineEvent::Malformed))
    }

    fn event<'a>(&self, data: &'a [u8]) -> Option<EngineEvent<'a>> {
        let line: EventData<'a> = serde_json::from_slice(data).ok()?;
        if line.generation != self.generation {
            return None;
        }
        match line {
            EventData {
                end: None,
                index: Some(index),
                status: None,
                text: Some(text),
                ..
            } => Some(EngineEvent::Token { index, text }),
            EventData {
                end: Some(end),
                index: None,
                status: None,
                tokens: Some(tokens),
                ..
            } => Some(EngineEvent::End {
                end: end.into(),
                tokens,
            }),
            EventData {
                end: None,
                index: None,
                status: Some(status),
                ..
            } => Some(EngineEvent::Status(status.into())),
            _ => None,
        }
    }
}

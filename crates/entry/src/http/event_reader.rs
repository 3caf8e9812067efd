//! Parses the event stream of an engine.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use names::GenerationId;
use serde::Deserialize;

use crate::core::{FinishReason, GenerationStatus};

/// Event of an engine's stream.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum EngineEvent<'a> {
    /// The generation ended after `tokens` tokens.
    End { reason: FinishReason, tokens: u32 },
    /// Input that violates the engine's protocol.
    Malformed,
    /// The engine reported the status of the generation.
    Status(GenerationStatus),
    /// The token at `index` of the generation.
    Token { index: u32, text: Cow<'a, str> },
}

/// JSON of a `data` line.
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

/// Reason for the end of a generation, as an engine writes it.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndField {
    Cancelled,
    Length,
    Stop,
}

/// Status of a sequence, as an engine writes it.
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

/// Splits body chunks into lines and parses the lines into events of one generation.
#[derive(Debug)]
pub(crate) struct EventReader {
    generation: String,
    line_bytes_max: usize,
    partial_line: BytesMut,
}

impl EventReader {
    pub(crate) fn new(generation: GenerationId, line_bytes_max: usize) -> Self {
        Self {
            generation: generation.to_string(),
            line_bytes_max,
            partial_line: BytesMut::new(),
        }
    }

    /// Passes the events of a chunk to `on_event` until it returns false.
    pub(crate) fn read(
        &mut self,
        chunk: &Bytes,
        mut on_event: impl FnMut(EngineEvent<'_>) -> bool,
    ) {
        let mut chunk = &chunk[..];
        while let Some(end) = chunk.iter().position(|&byte| byte == b'\n') {
            let line = &chunk[..end];
            chunk = &chunk[end + 1..];
            let wants_more = if self.partial_line.is_empty() {
                self.parse_line(line, &mut on_event)
            } else {
                let mut whole_line = self.partial_line.split();
                whole_line.extend_from_slice(line);
                self.parse_line(&whole_line, &mut on_event)
            };
            if !wants_more {
                return;
            }
        }
        self.partial_line.extend_from_slice(chunk);
        if self.partial_line.len() > self.line_bytes_max {
            on_event(EngineEvent::Malformed);
        }
    }

    fn parse_line(&self, line: &[u8], on_event: &mut impl FnMut(EngineEvent<'_>) -> bool) -> bool {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() || line.starts_with(b":") {
            return true;
        }
        let Some(data) = line.strip_prefix(b"data:") else {
            return on_event(EngineEvent::Malformed);
        };
        if data.len() > self.line_bytes_max {
            return on_event(EngineEvent::Malformed);
        }
        on_event(self.parse_event(data).unwrap_or(EngineEvent::Malformed))
    }

    fn parse_event<'a>(&self, data: &'a [u8]) -> Option<EngineEvent<'a>> {
        let data: EventData<'a> = serde_json::from_slice(data).ok()?;
        if data.generation != self.generation {
            return None;
        }
        match data {
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
                reason: end.into(),
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

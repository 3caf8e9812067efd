//! Response bodies of the OpenAI completion APIs.
//!
//! The constant parts of a streamed chunk are formatted once per request. Text of the model is
//! always encoded as a JSON string, which contains no line break, so that it cannot forge an event.

use names::ModelName;
use serde::Serialize;

use super::openai::CompletionApi;
use crate::core::FinishReason;

/// Encodes the response of one request.
#[derive(Debug)]
pub(crate) struct CompletionEncoder {
    /// Part of a token's event after its text.
    after_text: &'static str,
    api: CompletionApi,
    /// Part of a token's event before its text.
    before_text: String,
    /// Start of every JSON object, up to the model.
    head: String,
    prompt_tokens: u32,
}

/// Token counts of a response, as the API names them.
#[derive(Serialize)]
#[expect(
    clippy::struct_field_names,
    reason = "the field names are those of the protocol"
)]
struct Usage {
    completion_tokens: u32,
    prompt_tokens: u32,
    total_tokens: u32,
}

impl CompletionEncoder {
    /// Appends the last events of a stream.
    pub(crate) fn encode_end(
        &self,
        reason: FinishReason,
        tokens: u32,
        includes_usage: bool,
        out: &mut Vec<u8>,
    ) {
        let choice = match self.api {
            CompletionApi::Chat => r#""delta":{}"#,
            CompletionApi::Completion => r#""text":"""#,
        };
        let finish_reason = finish_reason(reason);
        let head = &self.head;
        let usage = if includes_usage {
            let usage = self.usage(tokens);
            format!("data: {head},\"choices\":[],\"usage\":{usage}}}\n\n")
        } else {
            String::new()
        };
        let text = format!(
            "data: {head},\"choices\":[{{\"index\":0,{choice},\"logprobs\":null,\"finish_reason\":\"{finish_reason}\"}}]}}\n\n{usage}data: [DONE]\n\n",
        );
        out.extend_from_slice(text.as_bytes());
    }

    pub(crate) fn new(
        api: CompletionApi,
        id: u128,
        created_s: u64,
        model: &ModelName,
        prompt_tokens: u32,
        is_stream: bool,
    ) -> Self {
        let (prefix, object) = match (api, is_stream) {
            (CompletionApi::Chat, true) => ("chatcmpl", "chat.completion.chunk"),
            (CompletionApi::Chat, false) => ("chatcmpl", "chat.completion"),
            (CompletionApi::Completion, _) => ("cmpl", "text_completion"),
        };
        let model = to_json(model.as_str());
        let head = format!(
            "{{\"id\":\"{prefix}-{id:032x}\",\"object\":\"{object}\",\"created\":{created_s},\"model\":{model}"
        );
        let (choice, after_text) = match api {
            CompletionApi::Chat => (
                r#""delta":{"content":"#,
                "},\"logprobs\":null,\"finish_reason\":null}]}\n\n",
            ),
            CompletionApi::Completion => (
                r#""text":"#,
                ",\"logprobs\":null,\"finish_reason\":null}]}\n\n",
            ),
        };
        let before_text = format!("data: {head},\"choices\":[{{\"index\":0,{choice}");
        Self {
            after_text,
            api,
            before_text,
            head,
            prompt_tokens,
        }
    }

    /// Appends the event that precedes the first token; only chat streams have one.
    pub(crate) fn encode_start(&self, out: &mut Vec<u8>) {
        if self.api == CompletionApi::Completion {
            return;
        }
        let head = &self.head;
        let text = format!(
            "data: {head},\"choices\":[{{\"index\":0,\"delta\":{{\"role\":\"assistant\",\"content\":\"\"}},\"logprobs\":null,\"finish_reason\":null}}]}}\n\n"
        );
        out.extend_from_slice(text.as_bytes());
    }

    /// Appends one token of a stream.
    pub(crate) fn encode_token(&self, text: &str, out: &mut Vec<u8>) {
        out.extend_from_slice(self.before_text.as_bytes());
        push_json(text, out);
        out.extend_from_slice(self.after_text.as_bytes());
    }

    /// Encodes the body of a buffered response.
    pub(crate) fn encode_buffered(&self, text: &str, reason: FinishReason, tokens: u32) -> String {
        let text = to_json(text);
        let choice = match self.api {
            CompletionApi::Chat => {
                format!("\"message\":{{\"role\":\"assistant\",\"content\":{text}}}")
            }
            CompletionApi::Completion => format!("\"text\":{text}"),
        };
        let head = &self.head;
        let finish_reason = finish_reason(reason);
        let usage = self.usage(tokens);
        format!(
            "{head},\"choices\":[{{\"index\":0,{choice},\"logprobs\":null,\"finish_reason\":\"{finish_reason}\"}}],\"usage\":{usage}}}"
        )
    }

    fn usage(&self, tokens: u32) -> String {
        let usage = Usage {
            completion_tokens: tokens,
            prompt_tokens: self.prompt_tokens,
            total_tokens: self.prompt_tokens.saturating_add(tokens),
        };
        serde_json::to_string(&usage).unwrap_or_default()
    }
}

fn to_json(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

fn push_json(text: &str, out: &mut Vec<u8>) {
    serde_json::to_writer(&mut *out, text).expect("text is written to memory");
}

fn finish_reason(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Length => "length",
        FinishReason::Cancelled | FinishReason::Stop => "stop",
    }
}

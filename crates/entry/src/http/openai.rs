//! Request bodies of the OpenAI completion APIs.

use names::ModelName;
use serde::Deserialize;

/// Completion that a client requests from a model.
#[derive(Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) includes_usage: bool,
    pub(crate) is_stream: bool,
    pub(crate) max_tokens: Option<u32>,
    pub(crate) model: ModelName,
    pub(crate) prompt: String,
}

/// The two completion APIs: `/v1/chat/completions` and `/v1/completions`.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub(crate) enum CompletionApi {
    Chat,
    Completion,
}

/// Body of a request to `/v1/chat/completions`.
#[derive(Deserialize)]
struct Chat {
    max_completion_tokens: Option<u32>,
    messages: Vec<Message>,
    #[serde(flatten)]
    common: Common,
}

/// Fields that both completion APIs have.
#[derive(Deserialize)]
struct Common {
    max_tokens: Option<u32>,
    model: ModelName,
    n: Option<u32>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
}

/// Body of a request to `/v1/completions`.
#[derive(Deserialize)]
struct Completion {
    prompt: Prompt,
    #[serde(flatten)]
    common: Common,
}

/// Content of a chat message: a text, or a list of text parts.
#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Parts(Vec<Part>),
    Text(String),
}

/// One message of a chat.
#[derive(Deserialize)]
struct Message {
    content: Content,
    role: String,
}

/// One text part of a message.
#[derive(Deserialize)]
struct Part {
    text: String,
}

/// Prompt of a completion: a text, or a list of texts.
#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    Many(Vec<String>),
    One(String),
}

/// Options of a streamed response.
#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl CompletionApi {
    /// Parses the body of a request; the error is reported to the client.
    pub(crate) fn parse(self, body: &[u8]) -> Result<CompletionRequest, String> {
        match self {
            Self::Chat => parse_chat(body),
            Self::Completion => parse_completion(body),
        }
    }
}

fn parse_chat(body: &[u8]) -> Result<CompletionRequest, String> {
    let chat: Chat = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let mut prompt = String::new();
    for message in &chat.messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            Content::Parts(parts) => prompt.extend(parts.iter().map(|part| part.text.as_str())),
            Content::Text(text) => prompt.push_str(text),
        }
        prompt.push_str("\n\n");
    }
    prompt.push_str("assistant:");
    let max_tokens = chat.max_completion_tokens.or(chat.common.max_tokens);
    completion_request(chat.common, max_tokens, prompt)
}

fn parse_completion(body: &[u8]) -> Result<CompletionRequest, String> {
    let completion: Completion = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let prompt = match completion.prompt {
        Prompt::One(prompt) => prompt,
        Prompt::Many(mut prompts) if prompts.len() == 1 => prompts.remove(0),
        Prompt::Many(_) => return Err("give one prompt a request".to_owned()),
    };
    let max_tokens = completion.common.max_tokens;
    completion_request(completion.common, max_tokens, prompt)
}

fn completion_request(
    common: Common,
    max_tokens: Option<u32>,
    prompt: String,
) -> Result<CompletionRequest, String> {
    if common.n.is_some_and(|n| n != 1) {
        return Err("`n` must be 1".to_owned());
    }
    if max_tokens == Some(0) {
        return Err("`max_tokens` must be at least 1".to_owned());
    }
    Ok(CompletionRequest {
        includes_usage: common
            .stream_options
            .is_some_and(|options| options.include_usage),
        is_stream: common.stream,
        max_tokens,
        model: common.model,
        prompt,
    })
}

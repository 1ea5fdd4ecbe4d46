//! The bodies of the `OpenAI` API, as far as routing needs them.
//!
//! A body is scanned, not rebuilt: what this package does not know passes to the engine byte for byte,
//! also when a rule replaces the model.

use std::collections;

use sageshed_types::{refusal, verdict};
use serde_json::value::RawValue;

use crate::problem;

/// Bytes that are taken for one token of the prompt. A usual figure for English; routing needs no
/// better.
const BYTES_PER_TOKEN: usize = 4;

/// The prefix hash covers this many bytes of the prompt at most.
const PREFIX_BYTES: usize = 1024;

/// Which API a body belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completions,
}

/// What routing needs to know of a request for a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The model or adapter that it names.
    pub model: String,
    /// Whether the answer is to come as server-sent events.
    pub stream: bool,
    /// The most tokens that the caller wants, if it says.
    pub max_tokens: Option<u32>,
    /// An estimate of the tokens in the prompt.
    pub prompt_tokens: u32,
    /// Equal for prompts that begin alike: those with the same first message, or whose first
    /// [`PREFIX_BYTES`] are the same. The same in every process.
    pub prefix_hash: u64,
}

/// The members that are looked at. A member that comes twice is an error: the engine might take the
/// other one, and run a model that no rule has seen.
#[derive(Debug, serde::Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: Option<&'a RawValue>,
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

impl Completion {
    /// Reads a body, or says what is wrong with it.
    pub fn parse(api: Api, body: &[u8]) -> Result<Self, refusal::Refusal> {
        let body = scan(body)?;
        let prompt = match api {
            Api::Chat => messages(&body)?,
            Api::Completions => prompt(&body)?,
        };
        Ok(Self {
            model: model(&body)?,
            stream: body.stream.unwrap_or(false),
            max_tokens: body.max_completion_tokens.or(body.max_tokens),
            prompt_tokens: u32::try_from(prompt.bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            prefix_hash: hash(prompt.prefix),
        })
    }
}

/// The body with another model named, all else as it was.
pub fn with_model(body: &[u8], name: &str) -> Result<Vec<u8>, refusal::Refusal> {
    let scanned = scan(body)?;
    let raw = scanned.model.ok_or_else(no_model)?.get();
    // The scan borrows from the body, so the distance of the two addresses is the offset.
    let start = raw.as_ptr().addr() - body.as_ptr().addr();
    let quoted = problem::json(&name);
    let mut replaced = Vec::with_capacity(body.len() + quoted.len());
    replaced.extend_from_slice(&body[..start]);
    replaced.extend_from_slice(&quoted);
    replaced.extend_from_slice(&body[start + raw.len()..]);
    Ok(replaced)
}

/// The body of an answer to `GET /v1/models`.
#[must_use]
pub fn models<'n>(names: impl IntoIterator<Item = &'n str>) -> Vec<u8> {
    #[derive(serde::Serialize)]
    struct List<'n> {
        object: &'static str,
        data: Vec<Model<'n>>,
    }
    #[derive(serde::Serialize)]
    struct Model<'n> {
        id: &'n str,
        object: &'static str,
        created: u64,
        owned_by: &'static str,
    }
    let names: collections::BTreeSet<_> = names.into_iter().collect();
    let model = |id| Model {
        id,
        object: "model",
        created: 0,
        owned_by: "sageshed",
    };
    let list = List {
        object: "list",
        data: names.into_iter().map(model).collect(),
    };
    problem::json(&list)
}

fn scan(body: &[u8]) -> Result<Body<'_>, refusal::Refusal> {
    serde_json::from_slice(body).map_err(|e| match e.classify() {
        serde_json::error::Category::Data => bad(format!("the body does not fit: {e}")),
        _ => bad(format!("the body is not JSON: {e}")),
    })
}

fn model(body: &Body<'_>) -> Result<String, refusal::Refusal> {
    let raw = body.model.ok_or_else(no_model)?;
    let name: String =
        serde_json::from_str(raw.get()).map_err(|_not_text| bad("`model` is not a string"))?;
    if name.is_empty() {
        return Err(bad("`model` is empty"));
    }
    Ok(name)
}

/// The prompt of a request: how long it is and how it begins.
struct Prompt<'a> {
    bytes: usize,
    prefix: &'a str,
}

fn messages<'a>(body: &Body<'a>) -> Result<Prompt<'a>, refusal::Refusal> {
    let raw = body
        .messages
        .ok_or_else(|| bad("the body has no `messages`"))?;
    let list: Vec<&RawValue> =
        serde_json::from_str(raw.get()).map_err(|_not_list| bad("`messages` is not a list"))?;
    let first = list.first().ok_or_else(|| bad("`messages` is empty"))?;
    if let Some(at) = list.iter().position(|one| !one.get().starts_with('{')) {
        return Err(bad(format!("`messages[{at}]` is not an object")));
    }
    Ok(Prompt {
        bytes: raw.get().len(),
        prefix: first.get(),
    })
}

fn prompt<'a>(body: &Body<'a>) -> Result<Prompt<'a>, refusal::Refusal> {
    let raw = body.prompt.ok_or_else(|| bad("the body has no `prompt`"))?;
    if !raw.get().starts_with(['"', '[']) {
        return Err(bad("`prompt` is neither a string nor a list"));
    }
    Ok(Prompt {
        bytes: raw.get().len(),
        prefix: raw.get(),
    })
}

/// FNV-1a, since the hash has to be the same in every process and of every build.
fn hash(prefix: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    prefix
        .bytes()
        .take(PREFIX_BYTES)
        .fold(OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        })
}

fn no_model() -> refusal::Refusal {
    bad("the body has no `model`")
}

fn bad(detail: impl Into<String>) -> refusal::Refusal {
    refusal::Refusal::not_run(verdict::Reason::BadRequest, detail)
}

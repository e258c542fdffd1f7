//! The pool and path that a request asks for.

use pier_request::routing;
use pier_types::{codes, ids, routes};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{callers, requests};

/// Path prefix of plain services.
const SERVICE_PREFIX: &str = "/services/";

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path of plain completions.
const PROMPT_PATH: &str = "/v1/completions";

/// The fields of a model request that the node reads.
#[derive(Debug, Deserialize)]
struct ModelFields<'a> {
    model: ids::ModelName,
    #[serde(default)]
    stream: bool,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

/// The destination of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RequestRoute {
    /// The targets that can serve it.
    pub(super) pool: routes::PoolKey,
    /// The path at the target, with the query.
    pub(super) path: String,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// The prefix of its prompt.
    pub(super) prefix: Option<routing::PrefixHash>,
}

impl RequestRoute {
    /// Reads the route of a request.
    ///
    /// # Errors
    ///
    /// Refuses unknown paths, bodies that do not parse and invalid names.
    pub(super) fn read(request: &callers::CallerRequest) -> Result<Self, callers::ErrorBody> {
        if let Some(rest) = request.path.strip_prefix(SERVICE_PREFIX) {
            return Self::read_service(request, rest);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", CHAT_PATH | PROMPT_PATH) => Self::read_model(request),
            (method, path) => {
                let message = format!("{method} {path} is no route of this system");
                Err(callers::ErrorBody::new(
                    codes::ResultCode::UnknownRoute,
                    message,
                ))
            }
        }
    }

    fn read_service(
        request: &callers::CallerRequest,
        rest: &str,
    ) -> Result<Self, callers::ErrorBody> {
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let name = name.parse().map_err(|error| {
            let code = codes::ResultCode::UnknownService;
            callers::ErrorBody::new(code, format!("{error}"))
        })?;
        let mut path = format!("/{path}");
        if !request.query.is_empty() {
            path.push('?');
            path.push_str(&request.query);
        }
        Ok(Self {
            pool: routes::PoolKey::Service(name),
            path,
            stream: false,
            prefix: None,
        })
    }

    fn read_model(request: &callers::CallerRequest) -> Result<Self, callers::ErrorBody> {
        let malformed = |cause: String| {
            let code = codes::ResultCode::MalformedBody;
            callers::ErrorBody::new(code, cause)
        };
        let fields: ModelFields<'_> = serde_json::from_slice(&request.body)
            .map_err(|error| malformed(format!("the body is not as required: {error}")))?;
        let prompt = requests::PromptFields::new(fields.prompt, fields.messages);
        if request.path == CHAT_PATH && !prompt.has_messages() {
            return Err(malformed("the body lacks the array messages".to_owned()));
        }
        if request.path == PROMPT_PATH && !prompt.has_prompt() {
            return Err(malformed("the body lacks a prompt".to_owned()));
        }
        Ok(Self {
            pool: routes::PoolKey::Model(fields.model),
            path: request.path.clone(),
            stream: fields.stream,
            prefix: Some(routing::PrefixHash::of_prompt(&prompt.text())),
        })
    }
}

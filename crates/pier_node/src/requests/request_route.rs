//! What a request asks for.

use pier_types::{codes, routes};
use serde::Deserialize;

use crate::callers;

/// Prefix of the paths of plain services.
const SERVICE_PREFIX: &str = "/services/";

/// The fields of a model request that the system reads itself.
#[derive(Debug, Deserialize)]
struct ModelFields {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Where a request wants to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RequestRoute {
    /// The targets that can serve it.
    pub(super) pool: routes::PoolKey,
    /// The path at the target, with the query.
    pub(super) path: String,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
}

impl RequestRoute {
    /// Reads the route of a request.
    ///
    /// # Errors
    ///
    /// Refuses unknown paths, bodies that do not parse and names that break the rules.
    pub(super) fn read(request: &callers::CallerRequest) -> Result<Self, callers::ErrorBody> {
        if let Some(rest) = request.path.strip_prefix(SERVICE_PREFIX) {
            return Self::read_service(request, rest);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/chat/completions" | "/v1/completions") => Self::read_model(request),
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
        })
    }

    fn read_model(request: &callers::CallerRequest) -> Result<Self, callers::ErrorBody> {
        let malformed = |cause: String| {
            let code = codes::ResultCode::MalformedBody;
            callers::ErrorBody::new(code, cause)
        };
        let fields: ModelFields = serde_json::from_slice(&request.body)
            .map_err(|error| malformed(format!("the body is not as required: {error}")))?;
        let model = fields
            .model
            .parse()
            .map_err(|error| malformed(format!("{error}")))?;
        Ok(Self {
            pool: routes::PoolKey::Model(model),
            path: request.path.clone(),
            stream: fields.stream,
        })
    }
}

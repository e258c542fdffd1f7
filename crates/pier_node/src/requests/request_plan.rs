//! What is decided about a request before it is dispatched.

use std::{collections, time};

use bytes::Bytes;
use pier_config::documents;
use pier_request::{claims, retries, routing};
use pier_types::{codes, ids, priorities, routes, sizes, times};

use crate::{callers, requests};

/// Longest deadline that a caller may set.
const MAX_DEADLINE: time::Duration = time::Duration::from_hours(1);

/// A request with the settings that apply to it from the configuration.
#[derive(Debug, Clone)]
pub(super) struct RequestPlan {
    /// The targets that can serve it.
    pub(super) pool: routes::PoolKey,
    /// The method.
    pub(super) method: String,
    /// The path at the target, with the query.
    pub(super) path: String,
    /// The path in the caller's request, with the query.
    pub(super) entry_path: String,
    /// The headers that are kept, with lower-case names.
    pub(super) headers: collections::BTreeMap<String, String>,
    /// How many times it was forwarded.
    pub(super) hops: u8,
    /// Maximum age of the routing table.
    pub(super) freshness: time::Duration,
    /// The content type of the body.
    pub(super) content_type: Option<String>,
    /// The body.
    pub(super) body: Bytes,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// The customer that sent it.
    pub(super) customer: ids::CustomerName,
    /// Its priority.
    pub(super) priority: priorities::RequestPriority,
    /// The deadline of the caller.
    pub(super) deadline: times::BootTime,
    /// The time at which the age of its key was checked, or slightly before.
    pub(super) read_at: times::BootTime,
    /// The idempotency key.
    pub(super) key: Option<claims::IdempotencyKey>,
    /// How long idempotency keys are accepted.
    pub(super) retention: claims::ClaimRetention,
    /// Identifies the request across repeated sends.
    pub(super) fingerprint: ids::RequestFingerprint,
    /// Whether it may be repeated.
    pub(super) rule: retries::RepeatRule,
    /// The prefix of its prompt, if its model uses prefix affinity.
    pub(super) prefix: Option<routing::PrefixHash>,
}

impl RequestPlan {
    /// Plans a request by the configuration in force.
    ///
    /// # Errors
    ///
    /// Refuses requests that are malformed, unknown, too large or too old; nothing has run then.
    pub(super) fn read(
        request: callers::CallerRequest,
        document: &documents::ConfigDocument,
        now: times::BootTime,
        wall: times::WallTime,
    ) -> Result<Self, callers::ErrorBody> {
        let (customer, section) = find_customer(&request, document)?;
        let route = requests::RequestRoute::read(&request)?;
        let body_limit = check_pool(&route.pool, section, document)?;
        check_size(&request, body_limit.min(document.limits.max_body))?;
        let retention = claims::ClaimRetention {
            retention: document.limits.claim_retention,
            ..claims::ClaimRetention::default()
        };
        let key = read_key(&request, &retention, wall)?;
        let rule = match &key {
            Some(_key) => retries::RepeatRule::OneTime,
            None => repeat_rule(&request, &route, section, document),
        };
        let line = format!("{} {}", request.method, route.path);
        let pool_line = format!("{} {line}", route.pool);
        Ok(Self {
            priority: read_priority(&request, section)?,
            deadline: read_deadline(&request, document)?,
            fingerprint: ids::RequestFingerprint::of(customer.as_str(), &pool_line, &request.body),
            customer: customer.clone(),
            prefix: route
                .prefix
                .filter(|_prefix| has_affinity(&route.pool, document)),
            read_at: now,
            pool: route.pool,
            path: route.path,
            stream: route.stream,
            key,
            retention,
            rule,
            content_type: request.header("content-type").map(str::to_owned),
            entry_path: entry_path(&request),
            hops: request.hops,
            freshness: document.limits.freshness,
            headers: request.headers,
            method: request.method,
            body: request.body,
        })
    }

    /// Returns whether the targets can resume a broken answer.
    pub(super) const fn can_resume(&self) -> bool {
        matches!(self.pool, routes::PoolKey::Model(_))
    }
}

fn entry_path(request: &callers::CallerRequest) -> String {
    if request.query.is_empty() {
        return request.path.clone();
    }
    format!("{}?{}", request.path, request.query)
}

fn find_customer<'a>(
    request: &callers::CallerRequest,
    document: &'a documents::ConfigDocument,
) -> Result<(&'a ids::CustomerName, &'a documents::CustomerSection), callers::ErrorBody> {
    let header = request.header("authorization").unwrap_or_default();
    let key = header.strip_prefix("Bearer ").unwrap_or_default();
    document.customer_of(key).ok_or_else(|| {
        let code = codes::ResultCode::UnknownCustomer;
        callers::ErrorBody::new(code, "the header Authorization names no known customer")
    })
}

/// Checks that the pool exists and that the customer may use it; returns its body size limit.
fn check_pool(
    pool: &routes::PoolKey,
    section: &documents::CustomerSection,
    document: &documents::ConfigDocument,
) -> Result<sizes::ByteSize, callers::ErrorBody> {
    let (limit, allowed, code) = match pool {
        routes::PoolKey::Model(model) => (
            document.models.get(model).map(|model| model.max_body),
            section.models.contains(model),
            codes::ResultCode::UnknownModel,
        ),
        routes::PoolKey::Service(service) => (
            document
                .services
                .get(service)
                .map(|service| service.max_body),
            section.services.contains(service),
            codes::ResultCode::UnknownService,
        ),
    };
    limit.filter(|_limit| allowed).ok_or_else(|| {
        let message = format!("{pool} is not configured for this customer");
        callers::ErrorBody::new(code, message)
    })
}

fn check_size(
    request: &callers::CallerRequest,
    limit: sizes::ByteSize,
) -> Result<(), callers::ErrorBody> {
    if request.body.len() as u64 <= limit.get() {
        return Ok(());
    }
    let code = codes::ResultCode::BodyTooLarge;
    let message = format!("the body is over {limit} bytes");
    Err(callers::ErrorBody::new(code, message))
}

fn read_key(
    request: &callers::CallerRequest,
    retention: &claims::ClaimRetention,
    wall: times::WallTime,
) -> Result<Option<claims::IdempotencyKey>, callers::ErrorBody> {
    let Some(text) = request.header("idempotency-key") else {
        return Ok(None);
    };
    let refuse = |code: codes::ResultCode| callers::ErrorBody::new(code, code.meaning());
    let key: claims::IdempotencyKey = text.parse().map_err(refuse)?;
    retention.check(&key, wall).map_err(refuse)?;
    Ok(Some(key))
}

fn repeat_rule(
    request: &callers::CallerRequest,
    route: &requests::RequestRoute,
    section: &documents::CustomerSection,
    document: &documents::ConfigDocument,
) -> retries::RepeatRule {
    let repeatable = match &route.pool {
        routes::PoolKey::Model(_model) => section.repeat.completions,
        routes::PoolKey::Service(service) => {
            let service = document.services.get(service);
            section.repeat.methods.contains(&request.method)
                && service.is_some_and(|service| service.may_repeat(&request.method, &route.path))
        }
    };
    if repeatable {
        return retries::RepeatRule::Repeatable;
    }
    retries::RepeatRule::NotRepeatable
}

fn read_priority(
    request: &callers::CallerRequest,
    section: &documents::CustomerSection,
) -> Result<priorities::RequestPriority, callers::ErrorBody> {
    let max = section.max_priority;
    let Some(text) = request.header("x-priority") else {
        return Ok(priorities::RequestPriority::default().min(max));
    };
    let asked: priorities::RequestPriority = text.parse().map_err(|error| {
        let code = codes::ResultCode::MalformedBody;
        callers::ErrorBody::new(code, format!("header X-Priority: {error}"))
    })?;
    Ok(asked.min(max))
}

fn read_deadline(
    request: &callers::CallerRequest,
    document: &documents::ConfigDocument,
) -> Result<times::BootTime, callers::ErrorBody> {
    let Some(text) = request.header("x-deadline-ms") else {
        return Ok(request.arrived_at.after(document.limits.default_deadline));
    };
    let millis = text.parse::<u64>().ok().filter(|millis| *millis > 0);
    let millis = millis.ok_or_else(|| {
        let code = codes::ResultCode::MalformedDeadline;
        let message = format!("header X-Deadline-Ms: {text:?} is no number of milliseconds over 0");
        callers::ErrorBody::new(code, message)
    })?;
    let wait = time::Duration::from_millis(millis).min(MAX_DEADLINE);
    Ok(request.arrived_at.after(wait))
}

fn has_affinity(pool: &routes::PoolKey, document: &documents::ConfigDocument) -> bool {
    let routes::PoolKey::Model(model) = pool else {
        return false;
    };
    let section = document.models.get(model);
    section.is_some_and(|section| section.prefix_affinity)
}

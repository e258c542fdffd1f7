//! Decisions about one request: admission, routing, attempts, retries and one-time claims.

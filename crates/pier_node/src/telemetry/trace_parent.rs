//! The W3C `traceparent` header, which carries the trace context from hop to hop.

use std::{fmt, str};

use opentelemetry::trace;

/// The trace context of a request: the trace and its current span.
///
/// ```
/// use pier_node::telemetry;
///
/// let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
/// let parent: telemetry::TraceParent = text.parse()?;
/// assert_eq!(parent.to_string(), text);
/// # Ok::<(), String>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceParent(trace::SpanContext);

impl TraceParent {
    /// Creates the header value for a span's context.
    pub fn new(context: trace::SpanContext) -> Self {
        Self(context)
    }

    /// Returns the context of the span.
    pub fn context(&self) -> &trace::SpanContext {
        &self.0
    }
}

impl fmt::Display for TraceParent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let context = &self.0;
        let flags = context.trace_flags();
        write!(
            f,
            "00-{}-{}-{flags:02x}",
            context.trace_id(),
            context.span_id()
        )
    }
}

impl str::FromStr for TraceParent {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || format!("{text:?} is not a traceparent header");
        let parts: Vec<&str> = text.split('-').collect();
        let [version, trace_id, span_id, flags] = parts[..] else {
            return Err(malformed());
        };
        if version != "00" {
            return Err(malformed());
        }
        let trace_id = trace::TraceId::from_hex(trace_id).map_err(|_error| malformed())?;
        let span_id = trace::SpanId::from_hex(span_id).map_err(|_error| malformed())?;
        let flags = u8::from_str_radix(flags, 16).map_err(|_error| malformed())?;
        let flags = opentelemetry::TraceFlags::new(flags);
        let state = trace::TraceState::default();
        let context = trace::SpanContext::new(trace_id, span_id, flags, true, state);
        if context.is_valid() {
            return Ok(Self(context));
        }
        Err(malformed())
    }
}

//! W3C trace context, which carries one trace id from the caller through router and sidecar to the
//! endpoint.

use std::fmt;

const VERSION: &str = "00";
const TRACE_DIGITS: usize = 32;
const SPAN_DIGITS: usize = 16;
const SAMPLED: &str = "01";

/// The trace of a request and the span of the hop that sent it, displayed as a `traceparent`
/// header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TraceContext {
    trace_id: u128,
    span_id: u64,
}

impl TraceContext {
    /// Parses a `traceparent` header, or creates a new trace if the header is absent or malformed.
    pub(crate) fn from_header(header: Option<&str>) -> Self {
        header.and_then(Self::parse).unwrap_or_else(Self::new)
    }

    /// Returns the context for the next hop, with the same trace and a new span.
    pub(crate) fn child(&self) -> Self {
        Self { trace_id: self.trace_id, span_id: random_u64() }
    }

    /// Returns the trace id as 32 hexadecimal digits.
    pub(crate) fn trace_id(&self) -> String {
        format!("{:032x}", self.trace_id)
    }

    fn new() -> Self {
        let trace_id = (u128::from(random_u64()) << 64) | u128::from(random_u64());
        Self { trace_id, span_id: random_u64() }
    }

    fn parse(header: &str) -> Option<Self> {
        let mut parts = header.trim().split('-');
        let version = parts.next()?;
        let trace = hex_digits(parts.next()?, TRACE_DIGITS)?;
        let span = hex_digits(parts.next()?, SPAN_DIGITS)?;
        let known_version = hex_digits(version, VERSION.len()).is_some() && version != "ff";
        let context = Self {
            trace_id: u128::from_str_radix(trace, 16).ok()?,
            span_id: u64::from_str_radix(span, 16).ok()?,
        };
        let valid = known_version && context.trace_id != 0 && context.span_id != 0;
        valid.then_some(context)
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{VERSION}-{:032x}-{:016x}-{SAMPLED}", self.trace_id, self.span_id)
    }
}

fn hex_digits(text: &str, digits: usize) -> Option<&str> {
    let valid = text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    valid.then_some(text)
}

/// Returns a random number greater than zero, or 1 if the system can't provide random numbers.
pub(crate) fn random_u64() -> u64 {
    getrandom::u64().unwrap_or(1).max(1)
}

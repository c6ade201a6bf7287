//! Calls with an `Idempotency-Key` but without a claim.

use persimmon_records::Endpoint;

use super::Refusal;

/// Checks whether a call without a claim may be sent to `endpoint`.
///
/// A bare key doesn't say when it was first used, so a sidecar that has restarted or that has just
/// become the key's owner can't tell a first use from a second. Only calls that may be repeated
/// are run without a claim. Routers and sidecars both check, each by its own records.
///
/// # Errors
///
/// [`Refusal::NeedsClaim`] if the endpoint's calls may not be repeated.
pub fn check_unclaimed_call(endpoint: &Endpoint) -> Result<(), Refusal> {
    if endpoint.repeatable { Ok(()) } else { Err(Refusal::NeedsClaim) }
}

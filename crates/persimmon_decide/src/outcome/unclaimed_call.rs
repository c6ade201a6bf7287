//! Calls with an `Idempotency-Key` but without a claim.

use persimmon_records::Endpoint;

use super::Refusal;

/// Checks whether a call without a claim may be sent to `endpoint`.
///
/// An `Idempotency-Key` alone doesn't state when it was first used, so a sidecar that has restarted
/// or has just become the key's owner can't distinguish a first call from a duplicate. Therefore
/// only calls that may be repeated run without a claim. Routers and sidecars both make this check,
/// each against its own copy of the records.
///
/// # Errors
///
/// [`Refusal::NeedsClaim`] if the endpoint's calls must not be repeated.
pub fn check_unclaimed_call(endpoint: &Endpoint) -> Result<(), Refusal> {
    if endpoint.repeatable { Ok(()) } else { Err(Refusal::NeedsClaim) }
}

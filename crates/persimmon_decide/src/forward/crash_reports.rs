//! What gateways tell each other of crashes.

use serde::{Deserialize, Serialize};

use crate::MonoMs;
use crate::load::EndpointHash;

/// An endpoint that crashed while it ran requests with the same content or prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the content, or ID of the part.
    pub suspect: u64,
    /// Hash of the endpoint.
    pub endpoint: EndpointHash,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Time from the sending of the last of the requests to the crash, in milliseconds.
    pub ran_ms: u32,
    /// Number of requests with the suspect that the endpoint left without an answer.
    pub requests: u32,
}

/// A complete answer to a request whose content or prompt part was suspected to crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Fingerprint of the content, or ID of the part.
    pub suspect: u64,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// A trial of a refused suspect: a request with it that was sent all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Number that no other trial of the suspect has.
    pub number: u64,
    /// Time since it was sent, in milliseconds.
    pub age_ms: u32,
    /// Whether it ended without showing anything.
    pub is_void: bool,
}

/// A suspect that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// Fingerprint of the content, or ID of the part.
    pub suspect: u64,
    /// Time since a request was last refused for it, in milliseconds.
    pub refused_ms: u32,
    /// Trials since its last answer.
    pub trials: Vec<TrialReport>,
}

/// Crashes, what is refused for them, and answers that show that a suspect isn't the cause.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashReports {
    /// Contents that were in progress at endpoints that crashed.
    pub contents: Vec<CrashReport>,
    /// Prompt parts that were in progress at endpoints that crashed.
    pub parts: Vec<CrashReport>,
    /// Suspected contents that were answered since.
    pub content_answers: Vec<AnswerReport>,
    /// Suspected parts that were answered since.
    pub part_answers: Vec<AnswerReport>,
    /// Contents that are refused.
    pub content_refusals: Vec<RefusalReport>,
    /// Prompt parts that are refused.
    pub part_refusals: Vec<RefusalReport>,
}

/// Returns the time of something with this age, in milliseconds.
pub(super) fn before(now: MonoMs, age_ms: u32) -> MonoMs {
    MonoMs(now.0.saturating_sub(u64::from(age_ms)))
}

/// Returns the age of something in milliseconds, as reports hold it.
pub(super) fn age_ms(at: MonoMs, now: MonoMs) -> u32 {
    u32::try_from(now.ms_since(at)).unwrap_or(u32::MAX)
}

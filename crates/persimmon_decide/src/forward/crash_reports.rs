//! What gateways tell each other of crashes.

use serde::{Deserialize, Serialize};

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

/// Crashes, and answers that show that a suspect isn't the cause.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CrashReports {
    /// Contents that were in progress at endpoints that crashed.
    pub contents: Vec<CrashReport>,
    /// Prompt parts that were in progress at endpoints that crashed.
    pub parts: Vec<CrashReport>,
    /// Suspected contents that were answered since.
    pub content_answers: Vec<AnswerReport>,
    /// Suspected parts that were answered since.
    pub part_answers: Vec<AnswerReport>,
}

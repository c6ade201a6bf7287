//! State that each gateway sends to the others several times a second.

use std::net::IpAddr;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{
    AnswerReport, CrashReport, CrashReports, EndpointLoad, LimitReport, Outcomes, RefusalReport,
    SpeedReport,
};
use crate::load::EndpointHash;

/// An endpoint that has read one part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartHolder {
    /// ID of the part.
    pub part: u64,
    /// Hash of the endpoint.
    pub endpoint: EndpointHash,
}

/// Another gateway and the time since the last contact with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Address of the gateway.
    pub ip: IpAddr,
    /// Time since the last digest from it, in milliseconds.
    pub age_ms: u32,
}

/// Requests and retries to a service in one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceRetries {
    /// First sends of callers' requests.
    pub fresh: u32,
    /// Further sends of the same requests.
    pub repeated: u32,
}

/// What builds that know only [`Digest::crashes`] don't read of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDetail {
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Time from the sending of the last of the requests to the crash, in milliseconds.
    pub ran_ms: u32,
    /// Number of requests with the content that the endpoint left without an answer.
    pub requests: u32,
}

/// The state of one gateway, small enough for a datagram.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Digest {
    /// Random number for each run of a gateway process.
    pub incarnation: u64,
    /// Number of the digest within its incarnation; receivers drop a digest that arrives after a
    /// later one.
    pub sequence: u64,
    /// Position of the store up to which the gateway has every change.
    pub revision: u64,
    /// Time since the store last answered the gateway, in milliseconds; none if it doesn't watch
    /// the store.
    pub store_age_ms: Option<u32>,
    /// Whether the gateway is shutting down.
    pub is_leaving: bool,
    /// Load of each endpoint from this gateway's requests.
    pub loads: Vec<(EndpointHash, EndpointLoad)>,
    /// Ejected endpoints, each with the remaining time of its ejection in milliseconds.
    pub ejections: Vec<(EndpointHash, u64)>,
    /// Outcomes at endpoints that have recently failed this gateway or a peer.
    pub outcomes: Vec<(EndpointHash, Outcomes)>,
    /// Counts for the retry limit of each service.
    pub retries: Vec<(Arc<str>, ServiceRetries)>,
    /// Contents that crashed endpoints.
    pub crashes: Vec<(u64, EndpointHash)>,
    /// Endpoints that have read parts of prompts.
    pub holders: Vec<PartHolder>,
    /// Other gateways.
    pub peers: Vec<PeerAddress>,
    /// Endpoints that have said that they leave. Encoded after the other fields, where builds that
    /// don't know it ignore it.
    #[serde(skip)]
    pub leaving: Vec<EndpointHash>,
    /// Prompt parts that crashed endpoints. Encoded after `leaving`, with the next field.
    #[serde(skip)]
    pub part_crashes: Vec<CrashReport>,
    /// Suspected prompt parts that were answered.
    #[serde(skip)]
    pub part_answers: Vec<AnswerReport>,
    /// Limits that endpoints named to the gateway. Encoded after `part_answers`.
    #[serde(skip)]
    pub limits: Vec<LimitReport>,
    /// Details of `crashes`, in their order. Encoded after `limits`, with the next field.
    #[serde(skip)]
    pub crash_details: Vec<CrashDetail>,
    /// Suspected contents that were answered.
    #[serde(skip)]
    pub content_answers: Vec<AnswerReport>,
    /// Version of the routes in force; zero if none are. Encoded after `content_answers`.
    #[serde(skip)]
    pub routes_version: u64,
    /// Whether the gateway reads notices of changes. Encoded after `routes_version`, with the next field.
    #[serde(skip)]
    pub reads_notices: bool,
    /// Time since the store last confirmed the gateway's records, in milliseconds; none if it never has.
    #[serde(skip)]
    pub records_age_ms: Option<u32>,
    /// Speeds that endpoints stated to the gateway. Encoded after `records_age_ms`.
    #[serde(skip)]
    pub speeds: Vec<SpeedReport>,
    /// Contents that are refused. Encoded after `speeds`, with the next field.
    #[serde(skip)]
    pub content_refusals: Vec<RefusalReport>,
    /// Prompt parts that are refused.
    #[serde(skip)]
    pub part_refusals: Vec<RefusalReport>,
}

impl Digest {
    /// Encodes the digest for a datagram.
    ///
    /// # Errors
    ///
    /// The digest can't be encoded.
    pub fn to_bytes(&self) -> postcard::Result<Vec<u8>> {
        let mut bytes = postcard::to_allocvec(self)?;
        bytes.extend(postcard::to_allocvec(&self.leaving)?);
        bytes.extend(postcard::to_allocvec(&(&self.part_crashes, &self.part_answers))?);
        bytes.extend(postcard::to_allocvec(&self.limits)?);
        bytes.extend(postcard::to_allocvec(&(&self.crash_details, &self.content_answers))?);
        bytes.extend(postcard::to_allocvec(&self.routes_version)?);
        bytes.extend(postcard::to_allocvec(&(self.reads_notices, self.records_age_ms))?);
        bytes.extend(postcard::to_allocvec(&self.speeds)?);
        bytes.extend(postcard::to_allocvec(&(&self.content_refusals, &self.part_refusals))?);
        Ok(bytes)
    }

    /// Decodes a datagram, also one of a build that doesn't name leaving endpoints, prompt parts,
    /// limits, the details of crashes, the version of routes, notices, speeds or refusals.
    ///
    /// # Errors
    ///
    /// The bytes aren't a digest.
    pub fn from_bytes(bytes: &[u8]) -> postcard::Result<Self> {
        let (digest, mut rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let leaving = take_section(&mut rest)?;
        let (part_crashes, part_answers) = take_section(&mut rest)?;
        let limits = take_section(&mut rest)?;
        let (crash_details, content_answers) = take_section(&mut rest)?;
        let routes_version = take_section(&mut rest)?;
        let (reads_notices, records_age_ms) = take_section(&mut rest)?;
        let speeds = take_section(&mut rest)?;
        let (content_refusals, part_refusals) = take_section(&mut rest)?;
        Ok(Self {
            leaving,
            part_crashes,
            part_answers,
            limits,
            crash_details,
            content_answers,
            routes_version,
            reads_notices,
            records_age_ms,
            speeds,
            content_refusals,
            part_refusals,
            ..digest
        })
    }

    /// Returns what the digest says of crashes.
    pub fn crash_reports(&self) -> CrashReports {
        // Earlier builds send no details.
        let earlier = CrashDetail { age_ms: 0, ran_ms: 0, requests: 1 };
        let details = self.crash_details.iter().copied().chain(std::iter::repeat(earlier));
        let content = |((suspect, endpoint), detail): (&(u64, EndpointHash), CrashDetail)| {
            let CrashDetail { age_ms, ran_ms, requests } = detail;
            CrashReport { suspect: *suspect, endpoint: *endpoint, age_ms, ran_ms, requests }
        };
        CrashReports {
            contents: self.crashes.iter().zip(details).map(content).collect(),
            parts: self.part_crashes.clone(),
            content_answers: self.content_answers.clone(),
            part_answers: self.part_answers.clone(),
            content_refusals: self.content_refusals.clone(),
            part_refusals: self.part_refusals.clone(),
        }
    }
}

/// Decodes the next section of a message and removes it from `rest`. Builds that don't know the section
/// end the message before it.
pub(super) fn take_section<T: DeserializeOwned + Default>(rest: &mut &[u8]) -> postcard::Result<T> {
    if rest.is_empty() {
        return Ok(T::default());
    }
    let (section, following) = postcard::take_from_bytes(rest)?;
    *rest = following;
    Ok(section)
}

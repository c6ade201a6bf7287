//! Conversion of messages to and from Cap'n Proto.

use std::sync::Arc;

use persimmon_decide::load::{CreditDemand, CreditReply, LimitKey, LoadReport, Work};
use persimmon_decide::outcome::{FrameId, IdempotencyKey, Refusal, Settled, Stamp, StreamEnd};
use persimmon_decide::{Attempt, Fingerprint, Incarnation, MonoMs, Offset, RequestId};
use persimmon_records::Class;
use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::StrDeserializer;
use thiserror::Error;

use crate::fleet_capnp as schema;
use crate::message::{
    Admission, CallReply, ClaimReply, ClaimRequest, Frame, FrameBody, ModelRequest, Refused,
    RequestRef, ServiceCall, StreamPosition,
};

/// Number of bytes of a request id on the wire.
const REQUEST_ID_BYTES: usize = 16;

/// The reason why a message can't be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The message isn't well-formed.
    #[error("the peer sent a malformed message ({0}); check that both run the same version")]
    Malformed(#[from] capnp::Error),
    /// A text isn't UTF-8.
    #[error("the peer sent text that isn't UTF-8; check that both run the same version")]
    Text(#[from] std::str::Utf8Error),
    /// An enum has a value that this version doesn't know.
    #[error("the peer sent an unknown value; run the same version on both")]
    UnknownValue(#[from] capnp::NotInSchema),
    /// A field has a value that isn't permitted.
    #[error("the peer sent an invalid {0}; check that both run the same version")]
    Field(&'static str),
}

impl From<WireError> for capnp::Error {
    fn from(err: WireError) -> Self {
        Self::failed(err.to_string())
    }
}

fn read_request_id(bytes: &[u8]) -> Result<RequestId, WireError> {
    let bytes: [u8; REQUEST_ID_BYTES] =
        bytes.try_into().map_err(|_| WireError::Field("request id"))?;
    Ok(RequestId(u128::from_le_bytes(bytes)))
}

fn read_text(reader: capnp::text::Reader<'_>) -> Result<String, WireError> {
    Ok(reader.to_str()?.to_owned())
}

/// Writes a sidecar's stamp.
pub fn write_stamp(mut builder: schema::stamp::Builder<'_>, stamp: Stamp) {
    builder.set_incarnation(stamp.incarnation.0);
    builder.set_issued_at_ms(stamp.issued_at.0);
}

/// Reads a sidecar's stamp.
pub fn read_stamp(reader: schema::stamp::Reader<'_>) -> Stamp {
    Stamp {
        incarnation: Incarnation(reader.get_incarnation()),
        issued_at: MonoMs(reader.get_issued_at_ms()),
    }
}

fn write_class(class: Class) -> schema::Class {
    match class {
        Class::Quick => schema::Class::Quick,
        Class::Conversation => schema::Class::Conversation,
        Class::Drafting => schema::Class::Drafting,
    }
}

fn read_class(class: schema::Class) -> Class {
    match class {
        schema::Class::Quick => Class::Quick,
        schema::Class::Conversation => Class::Conversation,
        schema::Class::Drafting => Class::Drafting,
    }
}

impl RequestRef {
    /// Writes the message.
    pub fn write(&self, mut builder: schema::request_ref::Builder<'_>) {
        builder.set_workspace(self.workspace.as_str());
        builder.set_request_id(&self.id.0.to_le_bytes());
        write_stamp(builder.init_stamp(), self.stamp);
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::request_ref::Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            workspace: read_text(reader.get_workspace()?)?.as_str().into(),
            id: read_request_id(reader.get_request_id()?)?,
            stamp: read_stamp(reader.get_stamp()?),
        })
    }
}

impl ModelRequest {
    /// Writes the message.
    pub fn write(&self, mut builder: schema::model_request::Builder<'_>) {
        self.id.write(builder.reborrow().init_id());
        builder.set_attempt(self.attempt.0);
        builder.set_model(self.model.as_str());
        builder.set_class(write_class(self.class));
        builder.set_fingerprint(self.fingerprint.0);
        builder.set_uncached_tokens(self.uncached_tokens);
        builder.set_max_tokens(self.max_tokens);
        builder.set_deadline_ms(self.deadline_ms);
        builder.set_messages(&*self.messages);
        builder.set_traceparent(self.traceparent.as_str());
        builder.set_chat(self.chat);
        builder.set_told_per_slot(self.refused_mean_per_slot.unwrap_or(-1.0));
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::model_request::Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            id: RequestRef::read(reader.get_id()?)?,
            attempt: Attempt(reader.get_attempt()),
            model: read_text(reader.get_model()?)?.as_str().into(),
            class: read_class(reader.get_class()?),
            fingerprint: Fingerprint(reader.get_fingerprint()),
            uncached_tokens: reader.get_uncached_tokens(),
            max_tokens: reader.get_max_tokens(),
            deadline_ms: reader.get_deadline_ms(),
            messages: read_text(reader.get_messages()?)?.into(),
            traceparent: read_text(reader.get_traceparent()?)?,
            chat: reader.get_chat(),
            refused_mean_per_slot: Some(reader.get_told_per_slot()).filter(|mean| *mean >= 0.0),
        })
    }
}

impl Refused {
    /// Writes the message.
    pub fn write(&self, mut builder: schema::refusal::Builder<'_>) {
        builder.set_kind(self.refusal.as_str());
        builder.set_retry_after_ms(self.retry_after_ms);
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed or contains a refusal that this version doesn't
    /// know.
    pub fn read(reader: schema::refusal::Reader<'_>) -> Result<Self, WireError> {
        let kind = reader.get_kind()?.to_str()?;
        let kind: StrDeserializer<'_, serde::de::value::Error> = kind.into_deserializer();
        let refusal = Refusal::deserialize(kind).map_err(|_| WireError::Field("refusal"))?;
        Ok(Self { refusal, retry_after_ms: reader.get_retry_after_ms() })
    }
}

fn write_load(mut builder: schema::load::Builder<'_>, load: LoadReport) {
    builder.set_work(load.work.0);
    builder.set_running(load.running);
    builder.set_waiting(load.waiting);
    builder.set_slots(load.slots);
    builder.set_bound(load.bound.0);
}

fn read_load(reader: schema::load::Reader<'_>) -> LoadReport {
    LoadReport {
        work: Work(reader.get_work()),
        running: reader.get_running(),
        waiting: reader.get_waiting(),
        slots: reader.get_slots(),
        bound: Work(reader.get_bound()),
    }
}

impl Admission {
    /// Writes the message.
    pub fn write(&self, mut builder: schema::admission::Builder<'_>) {
        write_load(builder.reborrow().init_load(), self.load);
        write_stamp(builder.reborrow().init_stamp(), self.stamp);
        match &self.refused {
            Some(refused) => refused.write(builder.init_refused()),
            None => builder.set_accepted(()),
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::admission::Reader<'_>) -> Result<Self, WireError> {
        let refused = match reader.which()? {
            schema::admission::Accepted(()) => None,
            schema::admission::Refused(refused) => Some(Refused::read(refused?)?),
        };
        Ok(Self {
            load: read_load(reader.get_load()?),
            stamp: read_stamp(reader.get_stamp()?),
            refused,
        })
    }
}

impl StreamPosition {
    /// Writes the message.
    pub fn write(&self, mut builder: schema::stream_position::Builder<'_>) {
        self.id.write(builder.reborrow().init_id());
        builder.set_attempt(self.attempt.0);
        builder.set_offset(self.offset.0);
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::stream_position::Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            id: RequestRef::read(reader.get_id()?)?,
            attempt: Attempt(reader.get_attempt()),
            offset: Offset(reader.get_offset()),
        })
    }
}

impl Frame {
    /// Writes the message.
    pub fn write(&self, mut builder: schema::frame::Builder<'_>) {
        builder.set_request_id(&self.id.request.0.to_le_bytes());
        builder.set_attempt(self.id.attempt.0);
        builder.set_incarnation(self.id.incarnation.0);
        builder.set_offset(self.offset.0);
        match &self.body {
            FrameBody::Heartbeat(at) => builder.set_heartbeat(at.0),
            FrameBody::Data(data) => builder.set_data(data),
            FrameBody::End(end) => builder.set_end(write_stream_end(*end)),
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::frame::Reader<'_>) -> Result<Self, WireError> {
        let body = match reader.which()? {
            schema::frame::Heartbeat(at) => FrameBody::Heartbeat(MonoMs(at)),
            schema::frame::Data(data) => FrameBody::Data(data?.into()),
            schema::frame::End(end) => FrameBody::End(read_stream_end(end?)),
        };
        let id = FrameId {
            request: read_request_id(reader.get_request_id()?)?,
            attempt: Attempt(reader.get_attempt()),
            incarnation: Incarnation(reader.get_incarnation()),
        };
        Ok(Self { id, offset: Offset(reader.get_offset()), body })
    }
}

fn write_stream_end(end: StreamEnd) -> schema::StreamEnd {
    match end {
        StreamEnd::Whole => schema::StreamEnd::Whole,
        StreamEnd::Cancelled => schema::StreamEnd::Cancelled,
        StreamEnd::Cut => schema::StreamEnd::Cut,
        StreamEnd::Crashed => schema::StreamEnd::Crashed,
        StreamEnd::Withdrawn => schema::StreamEnd::Withdrawn,
    }
}

fn read_stream_end(end: schema::StreamEnd) -> StreamEnd {
    match end {
        schema::StreamEnd::Whole => StreamEnd::Whole,
        schema::StreamEnd::Cancelled => StreamEnd::Cancelled,
        schema::StreamEnd::Cut => StreamEnd::Cut,
        schema::StreamEnd::Crashed => StreamEnd::Crashed,
        schema::StreamEnd::Withdrawn => StreamEnd::Withdrawn,
    }
}

/// Converts a settlement to its Cap'n Proto enum.
pub fn write_settled(settled: Settled) -> schema::Settled {
    match settled {
        Settled::Started => schema::Settled::Started,
        Settled::Done => schema::Settled::Done,
        Settled::NotRun => schema::Settled::NotRun,
        Settled::Unknown => schema::Settled::Unknown,
    }
}

/// Converts the Cap'n Proto enum of a settlement.
pub fn read_settled(settled: schema::Settled) -> Settled {
    match settled {
        schema::Settled::Started => Settled::Started,
        schema::Settled::Done => Settled::Done,
        schema::Settled::NotRun => Settled::NotRun,
        schema::Settled::Unknown => Settled::Unknown,
    }
}

impl ClaimRequest {
    /// Writes the message.
    pub fn write(&self, mut builder: schema::claim_request::Builder<'_>) {
        builder.set_workspace(self.workspace.as_str());
        builder.set_service(self.service.as_str());
        builder.set_key(self.key.as_str());
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::claim_request::Reader<'_>) -> Result<Self, WireError> {
        let key = read_text(reader.get_key()?)?;
        Ok(Self {
            workspace: read_text(reader.get_workspace()?)?.as_str().into(),
            service: read_text(reader.get_service()?)?.as_str().into(),
            key: IdempotencyKey::try_from(key).map_err(|_| WireError::Field("idempotency key"))?,
        })
    }
}

impl ClaimReply {
    /// Writes the message.
    pub fn write(&self, builder: schema::claim_reply::Builder<'_>) {
        match self {
            Self::Issued { claim, expires_in_ms } => {
                let mut issued = builder.init_issued();
                issued.set_claim(claim.as_str());
                issued.set_expires_in_ms(*expires_in_ms);
            }
            Self::Refused(refused) => refused.write(builder.init_refused()),
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::claim_reply::Reader<'_>) -> Result<Self, WireError> {
        match reader.which()? {
            schema::claim_reply::Issued(issued) => {
                let issued = issued?;
                Ok(Self::Issued {
                    claim: read_text(issued.get_claim()?)?,
                    expires_in_ms: issued.get_expires_in_ms(),
                })
            }
            schema::claim_reply::Refused(refused) => Ok(Self::Refused(Refused::read(refused?)?)),
        }
    }
}

impl ServiceCall {
    /// Writes the message.
    pub fn write(&self, mut builder: schema::service_call::Builder<'_>) {
        self.id.write(builder.reborrow().init_id());
        builder.set_service(self.service.as_str());
        builder.set_claim(self.claim.as_deref().unwrap_or_default());
        builder.set_operation(self.operation.as_str());
        builder.set_body(&*self.body);
        builder.set_deadline_ms(self.deadline_ms);
        builder.set_traceparent(self.traceparent.as_str());
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::service_call::Reader<'_>) -> Result<Self, WireError> {
        let claim = read_text(reader.get_claim()?)?;
        Ok(Self {
            id: RequestRef::read(reader.get_id()?)?,
            service: read_text(reader.get_service()?)?.as_str().into(),
            claim: (!claim.is_empty()).then_some(claim),
            operation: read_text(reader.get_operation()?)?,
            body: Arc::from(read_text(reader.get_body()?)?),
            deadline_ms: reader.get_deadline_ms(),
            traceparent: read_text(reader.get_traceparent()?)?,
        })
    }
}

impl CallReply {
    /// Writes the message.
    pub fn write(&self, mut builder: schema::call_reply::Builder<'_>) {
        match self {
            Self::Answered { status, body, repeated } => {
                let mut answered = builder.init_answered();
                answered.set_status(*status);
                answered.set_body(&**body);
                answered.set_repeated(*repeated);
            }
            Self::Refused(refused) => refused.write(builder.init_refused()),
            Self::Unknown(reason) => builder.set_unknown(reason.as_str()),
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(reader: schema::call_reply::Reader<'_>) -> Result<Self, WireError> {
        match reader.which()? {
            schema::call_reply::Answered(answered) => {
                let answered = answered?;
                Ok(Self::Answered {
                    status: answered.get_status(),
                    body: Arc::from(read_text(answered.get_body()?)?),
                    repeated: answered.get_repeated(),
                })
            }
            schema::call_reply::Refused(refused) => Ok(Self::Refused(Refused::read(refused?)?)),
            schema::call_reply::Unknown(reason) => Ok(Self::Unknown(read_text(reason?)?)),
        }
    }
}

/// Writes a demand for credits of a limit.
pub fn write_credit_demand(mut builder: schema::credit_demand::Builder<'_>, demand: &CreditDemand) {
    builder.set_workspace(demand.key.workspace.as_str());
    builder.set_class(write_class(demand.key.class.unwrap_or_default()));
    builder.set_is_total(demand.key.class.is_none());
    builder.set_wanted(demand.wanted);
}

/// Reads a demand for credits of a limit.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_credit_demand(
    reader: schema::credit_demand::Reader<'_>,
) -> Result<CreditDemand, WireError> {
    let workspace = read_text(reader.get_workspace()?)?.as_str().into();
    let class = read_class(reader.get_class()?);
    let key = LimitKey { workspace, class: (!reader.get_is_total()).then_some(class) };
    Ok(CreditDemand { key, wanted: reader.get_wanted() })
}

/// Writes a batch of credits. Leaves the batch empty if the replying sidecar isn't the home of
/// the limit.
pub fn write_credit_batch(mut builder: schema::credit_batch::Builder<'_>, reply: CreditReply) {
    if let CreditReply::Batch { credits, ttl_ms, more_after_ms } = reply {
        builder.set_credits(credits);
        builder.set_ttl_ms(ttl_ms);
        builder.set_more_after_ms(more_after_ms);
    }
}

/// Reads a batch of credits.
pub fn read_credit_batch(reader: schema::credit_batch::Reader<'_>) -> CreditReply {
    CreditReply::Batch {
        credits: reader.get_credits(),
        ttl_ms: reader.get_ttl_ms(),
        more_after_ms: reader.get_more_after_ms(),
    }
}

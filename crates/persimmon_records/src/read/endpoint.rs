//! Reader of endpoint records.

use std::net::SocketAddr;

use crate::fault::Faults;
use crate::read::fields::Fields;
use crate::{Endpoint, EndpointName, Fencing, LenderName, Serves, UnixMs, ZoneName};

/// The fields of an endpoint record that could be read.
#[derive(Debug, Default)]
pub(crate) struct EndpointDraft {
    pub(crate) name: Option<EndpointName>,
    pub(crate) serves: Option<Serves>,
    address: Option<SocketAddr>,
    zone: Option<ZoneName>,
    slots: Option<u32>,
    lender: Option<LenderName>,
    fencing: Option<Fencing>,
    checks_identity: Option<bool>,
    repeatable: Option<bool>,
    loan_ends_at: Option<UnixMs>,
    draining: Option<bool>,
}

impl EndpointDraft {
    /// Reads an endpoint, reporting every fault of its fields.
    pub(crate) fn read(mut fields: Fields<'_>, faults: &mut Faults) -> Self {
        let name: Option<EndpointName> = fields.required("name", "a name", faults);
        if let Some(name) = &name {
            fields.set_name(name.as_str());
        }
        let draft = Self {
            name,
            serves: fields.required("serves", "{\"model\": NAME} or {\"service\": NAME}", faults),
            address: fields.required("address", "an IP address and port", faults),
            zone: fields.required("zone", "the name of an availability zone", faults),
            slots: fields.required("slots", "a whole number of at least 1", faults),
            lender: fields.required("lender", "the name of the lending team", faults),
            fencing: fields.optional("fencing", "refuses or ignores", faults),
            checks_identity: fields.optional("checks_identity", "true or false", faults),
            repeatable: fields.optional("repeatable", "true or false", faults),
            loan_ends_at: fields.optional("loan_ends_at", "milliseconds since 1970", faults),
            draining: fields.optional("draining", "true or false", faults),
        };
        fields.report_unknown(faults);
        draft
    }

    /// Returns the endpoint, or `None` if a required field couldn't be read.
    pub(crate) fn endpoint(&self) -> Option<Endpoint> {
        Some(Endpoint {
            name: self.name.clone()?,
            address: self.address?,
            zone: self.zone.clone()?,
            serves: self.serves.clone()?,
            slots: self.slots?,
            lender: self.lender.clone()?,
            fencing: self.fencing.unwrap_or_default(),
            checks_identity: self.checks_identity.unwrap_or_default(),
            repeatable: self.repeatable.unwrap_or_default(),
            loan_ends_at: self.loan_ends_at,
            draining: self.draining.unwrap_or_default(),
        })
    }
}

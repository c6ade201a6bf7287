//! Validation of endpoints.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use super::Positions;
use super::names::name_fault;
use crate::fault::Faults;
use crate::{Endpoint, EndpointName, FaultKind, Place, RecordKind, Serves};

/// Reports every fault of single endpoints, and names and addresses that occur twice.
pub(super) fn check_endpoints(endpoints: &[Endpoint], positions: &Positions, faults: &mut Faults) {
    let mut first_by_name = HashMap::<&EndpointName, usize>::with_capacity(endpoints.len());
    let mut first_by_address = HashMap::<SocketAddr, &EndpointName>::with_capacity(endpoints.len());
    for (i, endpoint) in endpoints.iter().enumerate() {
        let position = positions.endpoint(i);
        let place = Place::at(RecordKind::Endpoint, position).with_name(endpoint.name.as_str());
        check_endpoint(endpoint, &place, faults);
        match first_by_name.get(&endpoint.name) {
            Some(&first) => {
                faults.push(place.clone().with_field("name"), FaultKind::DuplicateName { first });
            }
            None => {
                first_by_name.insert(&endpoint.name, position);
            }
        }
        let address = canonical(endpoint.address);
        match first_by_address.get(&address) {
            Some(&other) => {
                let kind = FaultKind::DuplicateAddress { other: other.clone() };
                faults.push(place.with_field("address"), kind);
            }
            None => {
                first_by_address.insert(address, &endpoint.name);
            }
        }
    }
}

fn check_endpoint(endpoint: &Endpoint, place: &Place, faults: &mut Faults) {
    let (serves_field, serves) = match &endpoint.serves {
        Serves::Model(model) => ("serves.model", model.as_str()),
        Serves::Service(service) => ("serves.service", service.as_str()),
    };
    let names = [
        ("name", endpoint.name.as_str()),
        ("zone", endpoint.zone.as_str()),
        ("lender", endpoint.lender.as_str()),
        (serves_field, serves),
    ];
    for (field, name) in names {
        if let Some(kind) = name_fault(name) {
            faults.push(place.clone().with_field(field), kind);
        }
    }
    if endpoint.slots == 0 {
        faults.push(place.clone().with_field("slots"), FaultKind::ZeroSlots);
    }
    if endpoint.address.ip().is_unspecified() {
        faults.push(place.clone().with_field("address"), FaultKind::UnspecifiedAddress);
    }
    if endpoint.address.port() == 0 {
        faults.push(place.clone().with_field("address"), FaultKind::ZeroPort);
    }
}

/// Converts an IPv4-mapped IPv6 address to IPv4, so that both forms compare as equal.
fn canonical(address: SocketAddr) -> SocketAddr {
    let ip: IpAddr = address.ip().to_canonical();
    SocketAddr::new(ip, address.port())
}

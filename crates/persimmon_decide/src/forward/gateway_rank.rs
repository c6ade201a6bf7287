//! Rendezvous hashing of gateways.

use std::net::IpAddr;

use crate::load::{ChatKey, EndpointHash, rendezvous_score};

/// Key of a gateway for [`gateway_score`].
#[derive(Debug, Clone, Copy)]
pub(super) struct GatewayKey(EndpointHash);

impl GatewayKey {
    /// Returns the key of the gateway with this address.
    pub(super) fn of(ip: IpAddr) -> Self {
        Self(EndpointHash::of(&ip.to_string().as_str().into()))
    }
}

/// Returns a gateway's score for the subject with this hash. The gateway with the lowest score ranks
/// first.
pub(super) fn gateway_score(subject: u64, gateway: GatewayKey) -> f64 {
    rendezvous_score(ChatKey(subject), gateway.0, 1)
}

/// Ranks this gateway among others by their scores. Gateways that know the same ones agree on it.
#[derive(Debug, Default)]
pub(super) struct GatewayRank {
    own: Option<(IpAddr, GatewayKey)>,
    others: Vec<(IpAddr, GatewayKey)>,
}

impl GatewayRank {
    /// Sets this gateway and all, which may include it. Returns whether any of them has changed.
    pub(super) fn set(&mut self, own: IpAddr, all: impl Iterator<Item = IpAddr> + Clone) -> bool {
        let others = all.filter(|it| *it != own);
        let is_known = self.own.is_some_and(|(ip, _)| ip == own);
        if is_known && self.others.iter().map(|(ip, _)| *ip).eq(others.clone()) {
            return false;
        }
        let with_key = |ip| (ip, GatewayKey::of(ip));
        self.own = Some(with_key(own));
        self.others = others.map(with_key).collect();
        true
    }

    /// Returns the address of this gateway, once it is set.
    pub(super) fn own(&self) -> Option<IpAddr> {
        self.own.map(|(ip, _)| ip)
    }

    /// Returns the number of gateways, including this one.
    pub(super) fn gateways(&self) -> usize {
        1 + self.others.len()
    }

    /// Returns the addresses of the other gateways.
    pub(super) fn others(&self) -> impl Iterator<Item = IpAddr> {
        self.others.iter().map(|(ip, _)| *ip)
    }

    /// Returns the number of gateways that rank before this one for the subject with this hash.
    pub(super) fn before_own(&self, subject: u64) -> usize {
        let Some((_, own)) = self.own else { return 0 };
        let own = gateway_score(subject, own);
        self.others.iter().filter(|(_, key)| gateway_score(subject, *key) < own).count()
    }
}

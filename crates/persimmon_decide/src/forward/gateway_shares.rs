//! Division of an endpoint's limit among gateways.

use std::net::IpAddr;

use super::EndpointLimits;
use super::gateway_rank::GatewayRank;
use crate::load::EndpointHash;

/// Divides limits on the rate of requests among the gateways of a fleet.
///
/// Handles fleets of any size: with few requests per second for many gateways, only some gateways get
/// a share, others for each endpoint. Otherwise each could send one request at the same moment. A
/// gateway that hears at most half of those that it knows may be cut off, together with others that it
/// doesn't know, and takes much less than its share.
#[derive(Debug, Default)]
pub(super) struct GatewayShares {
    rank: GatewayRank,
    /// Number of gateways that are heard now, including this one.
    heard: usize,
}

impl GatewayShares {
    /// Gateways that share even a low limit, as long as it is at least [`Self::MIN_SHARED_PER_S`].
    const MIN_GATEWAYS: f64 = 4.0;
    /// Limit from which [`Self::MIN_GATEWAYS`] gateways share it, in requests per second.
    const MIN_SHARED_PER_S: f64 = 0.75;
    /// Factor on the share of a gateway that may be cut off, beside the share of gateways it hears.
    const CUT_OFF_FACTOR: f64 = 0.5;

    /// Sets the gateways of the fleet and the number of those that are heard; returns whether
    /// anything has changed.
    pub(super) fn set(&mut self, own: IpAddr, all: &[IpAddr], heard: usize) -> bool {
        let is_other_number = std::mem::replace(&mut self.heard, heard) != heard;
        self.rank.set(own, all.iter().copied()) || is_other_number
    }

    /// Returns this gateway's share of a limit, in requests per second; zero if other gateways share
    /// it.
    pub(super) fn share_per_s(&self, endpoint: EndpointHash, per_s: Option<f32>) -> f64 {
        let Some(per_s) = per_s else { return 0.0 };
        let per_s = f64::from(per_s).max(EndpointLimits::MIN_PER_S);
        let known = self.rank.gateways();
        let sharing = Self::sharing(per_s).min(known);
        if self.rank.before_own(endpoint.0) >= sharing {
            return 0.0;
        }
        let is_cut_off = 2 * self.heard <= known && known > 1;
        let heard_share = self.heard as f64 / known as f64;
        let factor = if is_cut_off { Self::CUT_OFF_FACTOR * heard_share } else { 1.0 };
        per_s / sharing as f64 * factor
    }

    /// Returns the maximum number of gateways that share a limit.
    fn sharing(per_s: f64) -> usize {
        let for_low = 1.0 + (per_s / Self::MIN_SHARED_PER_S * (Self::MIN_GATEWAYS - 1.0)).floor();
        for_low.min(Self::MIN_GATEWAYS + per_s.floor()) as usize
    }
}

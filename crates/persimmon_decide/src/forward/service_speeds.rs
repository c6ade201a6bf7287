//! Speeds of a service's endpoints relative to each other.

use super::{EndpointSpeeds, PickerSettings};
use crate::MonoMs;
use crate::load::EndpointHash;

/// The speeds of a service's endpoints relative to their mean, as one request counts them.
///
/// Both figures are rounded so that endpoints of about the same speed are equal, and gateways that know
/// slightly different values choose the same one of them. Neither prefers a fast endpoint: others would
/// do so at the same moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceSpeeds<'a> {
    speeds: &'a EndpointSpeeds,
    settings: &'a PickerSettings,
    /// Mean of the factors by which work usually takes longer, over the endpoints that state their
    /// speed; none if none does.
    mean: Option<f64>,
    /// Start of the steps to which delays are rounded, as a fraction of a step.
    start: f64,
    now: MonoMs,
}

impl<'a> ServiceSpeeds<'a> {
    /// Compares the endpoints of a service, given by the factors that are known of them, for the request
    /// with this random number.
    pub(super) fn new(
        speeds: &'a EndpointSpeeds,
        settings: &'a PickerSettings,
        lasting: impl Iterator<Item = f64>,
        draw: u64,
        now: MonoMs,
    ) -> Self {
        let (mut sum, mut stating) = (0.0, 0_u32);
        for factor in lasting {
            sum += factor;
            stating += 1;
        }
        let mean = (stating > 0).then(|| sum / f64::from(stating));
        Self { speeds, settings, mean, start: draw as f64 / u64::MAX as f64, now }
    }

    /// Reports whether an endpoint of the service states its speed.
    pub(super) fn is_stated(&self) -> bool {
        self.mean.is_some()
    }

    /// Returns the load that an endpoint should get where work usually takes longer by `lasting`, as a
    /// multiple of the mean: less than one if it is always slower than the others.
    pub(super) fn share(&self, lasting: Option<f64>) -> f64 {
        let Some((mean, lasting)) = self.mean.zip(lasting) else { return 1.0 };
        let steps = self.settings.speed_steps;
        ((mean / lasting * steps).round() / steps).clamp(1.0 / steps, 1.0)
    }

    /// Returns the factor by which work is expected to take longer there than it usually does at the
    /// service's endpoints.
    ///
    /// The factor is rounded up or down at random, in proportion to the rest. As the statement ages, an
    /// endpoint thus gets its usual requests back one by one, and not from all gateways at once.
    pub(super) fn delay(&self, endpoint: EndpointHash) -> f64 {
        let Some(mean) = self.mean else { return 1.0 };
        let excess = (self.speeds.slowdown(endpoint, self.now) / mean - 1.0).max(0.0);
        let step = self.settings.delay_step;
        1.0 + (excess / step + self.start).floor() * step
    }
}

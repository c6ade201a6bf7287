//! Where what began a stream is stored besides the gateways.

use std::net::IpAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Endpoint, HolderCandidate, Route, StreamHolders, StreamKey, StreamOrigin,
};

use super::Control;

impl Control {
    /// Returns the holders to store a stream at.
    pub(crate) fn select_holders(
        &self,
        stream: StreamKey,
        origin: &StreamOrigin,
        now: MonoMs,
    ) -> Vec<IpAddr> {
        let candidates = self.directory.ready(&origin.service).map(|it| candidate(it));
        self.holders.select(stream, &origin.version, candidates, now)
    }

    /// Returns the holders that may have stored a stream of a route. Endpoints that leave are included,
    /// as their VMs may still be there.
    pub(crate) fn holders_to_ask(&self, stream: StreamKey, route: &Route) -> Vec<IpAddr> {
        let services = route.services.iter().map(|it| &*it.service);
        let of_service = |service: &str| {
            let candidates = self.directory.of_service(service).iter().map(|it| candidate(it));
            StreamHolders::asked(stream, candidates)
        };
        services.flat_map(of_service).collect()
    }
}

fn candidate(endpoint: &Endpoint) -> HolderCandidate {
    HolderCandidate {
        ip: endpoint.address.ip(),
        version: endpoint.version.clone(),
        started_unix_ms: endpoint.started_unix_ms().unwrap_or(0),
    }
}

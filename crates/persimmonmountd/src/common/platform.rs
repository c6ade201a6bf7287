//! Reading the platform's configuration service. Nothing is ever written to it.

use std::net::SocketAddr;

use serde::Deserialize;
use thiserror::Error;

use persimmon_decide::membership::VmList;

use super::Metrics;

/// Time that the platform has beyond the wait that a watch asks for, in seconds.
const ANSWER_TIMEOUT_S: u64 = 3;

/// Why a read of the platform failed.
#[derive(Debug, Error)]
pub(crate) enum PlatformError {
    /// The platform didn't answer.
    #[error("the platform doesn't answer ({0}); the last good records stay in force")]
    Unreachable(#[from] minreq::Error),
    /// The platform refused the read.
    #[error("the platform answered with status {0}; check the service and the key's name")]
    Status(u16),
}

/// A value with the version that the platform gave it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct PlatformValue {
    pub(crate) version: u64,
    pub(crate) value: String,
}

/// A reader of the platform.
#[derive(Debug, Clone)]
pub(crate) struct Platform {
    address: SocketAddr,
    metrics: Metrics,
}

impl Platform {
    /// A reader of the platform at `address`.
    pub(crate) fn new(address: SocketAddr, metrics: Metrics) -> Self {
        Self { address, metrics }
    }

    /// The value of `key` if it is newer than `after`, waiting up to `wait_ms` for one.
    ///
    /// # Errors
    ///
    /// The platform can't be reached or refuses.
    pub(crate) fn value(
        &self,
        key: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Option<PlatformValue>, PlatformError> {
        self.read("value", &format!("/v1/values/{key}?after={after}&wait_ms={wait_ms}"), wait_ms)
    }

    /// The list of VMs if it is newer than `after`, waiting up to `wait_ms` for one.
    ///
    /// # Errors
    ///
    /// The platform can't be reached or refuses.
    pub(crate) fn vms(&self, after: u64, wait_ms: u64) -> Result<Option<VmList>, PlatformError> {
        self.read("vms", &format!("/v1/vms?after={after}&wait_ms={wait_ms}"), wait_ms)
    }

    fn read<T: for<'de> Deserialize<'de>>(
        &self,
        kind: &str,
        path: &str,
        wait_ms: u64,
    ) -> Result<Option<T>, PlatformError> {
        let result = self.request(path, wait_ms);
        let label = match &result {
            Ok(Some(_)) => "new",
            Ok(None) => "unchanged",
            Err(_) => "failed",
        };
        self.metrics.platform_reads.with_label_values(&[kind, label]).inc();
        result
    }

    fn request<T: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        wait_ms: u64,
    ) -> Result<Option<T>, PlatformError> {
        let url = format!("http://{}{path}", self.address);
        let timeout_s = ANSWER_TIMEOUT_S + wait_ms.div_ceil(1_000);
        let response = minreq::get(url).with_timeout(timeout_s).send()?;
        match response.status_code {
            200 => Ok(Some(response.json()?)),
            204 | 404 => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }
}

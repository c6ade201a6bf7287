//! Reading the platform's configuration service. Nothing is ever written to it.

use std::io;
use std::net::SocketAddr;

use serde::Deserialize;
use thiserror::Error;

use persimmon_decide::membership::VmList;
use persimmon_records::ModelName;

use super::Metrics;

/// Time that the platform has beyond the wait that a watch asks for, in seconds.
const ANSWER_TIMEOUT_S: u64 = 3;

/// Time that a read of a model's weights may take, in seconds.
const WEIGHTS_TIMEOUT_S: u64 = 300;
/// Delay after which the weight store is asked again if it names none, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

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

/// What the weight store answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WeightsRead {
    /// The weights were read whole.
    Whole,
    /// Too many read at once.
    Throttled {
        /// Milliseconds until the store wants to be asked again.
        retry_after_ms: u64,
    },
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

    /// Reads the weights of a model through to the end, keeping none of them in memory.
    ///
    /// # Errors
    ///
    /// The platform can't be reached or refuses.
    pub(crate) fn weights(&self, model: &ModelName) -> Result<WeightsRead, PlatformError> {
        let result = self.request_weights(model);
        let label = match &result {
            Ok(WeightsRead::Whole) => "new",
            Ok(WeightsRead::Throttled { .. }) => "throttled",
            Err(_) => "failed",
        };
        self.metrics.platform_reads.with_label_values(&["weights", label]).inc();
        result
    }

    fn request_weights(&self, model: &ModelName) -> Result<WeightsRead, PlatformError> {
        let url = format!("http://{}/v1/weights/{model}", self.address);
        let mut response = minreq::get(url).with_timeout(WEIGHTS_TIMEOUT_S).send_lazy()?;
        match response.status_code {
            200 => {
                io::copy(&mut response, &mut io::sink()).map_err(minreq::Error::IoError)?;
                Ok(WeightsRead::Whole)
            }
            429 => {
                let after_s = response
                    .headers
                    .iter()
                    .find(|(name, _)| name.eq_ignore_ascii_case("retry-after"))
                    .and_then(|(_, text)| text.parse().ok());
                let retry_after_ms =
                    after_s.map_or(DEFAULT_RETRY_AFTER_MS, |s: u64| s.saturating_mul(1_000));
                Ok(WeightsRead::Throttled { retry_after_ms })
            }
            status => Err(PlatformError::Status(status)),
        }
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

//! Read-only HTTP client for the platform's configuration service.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use persimmon_decide::membership::VmList;
use persimmon_records::ModelName;

use super::{HttpError, HttpRequest, Metrics};

/// Time allowed for an answer in addition to the requested wait, in seconds.
const ANSWER_TIMEOUT_S: u64 = 3;

/// Maximum length of an answer, in bytes: that of a value of 1 MB with each character escaped.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Timeout of reading a model's weights, in seconds.
const WEIGHTS_TIMEOUT_S: u64 = 300;
/// Retry delay if the weight store throttles a read without a `Retry-After` header, in
/// milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Why a read from the platform failed.
#[derive(Debug, Error)]
pub(crate) enum PlatformError {
    /// The platform didn't answer, or its answer couldn't be read.
    #[error("the platform doesn't answer ({0}); the current records stay in force")]
    Unreachable(#[from] HttpError),
    /// The platform refused the read with this HTTP status.
    #[error("the platform answered with status {0}; check the service and the key's name")]
    Status(u16),
}

/// A value and its version on the platform.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct PlatformValue {
    pub(crate) version: u64,
    pub(crate) value: String,
}

/// Answer of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WeightsRead {
    /// The weights were read completely.
    Whole,
    /// The store throttled the read because too many are in progress.
    Throttled {
        /// Retry delay, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Client for the platform.
#[derive(Debug, Clone)]
pub(crate) struct Platform {
    address: SocketAddr,
    metrics: Metrics,
}

impl Platform {
    /// Creates a client for the platform at `address`.
    pub(crate) fn new(address: SocketAddr, metrics: Metrics) -> Self {
        Self { address, metrics }
    }

    /// Returns the value of `key` if its version is higher than `after`, waiting for at most
    /// `wait_ms` for a higher version.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or refuses the read.
    pub(crate) fn value(
        &self,
        key: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Option<PlatformValue>, PlatformError> {
        self.read("value", &format!("/v1/values/{key}?after={after}&wait_ms={wait_ms}"), wait_ms)
    }

    /// Returns the VM list if its version is higher than `after`, waiting for at most `wait_ms` for
    /// a higher version.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or refuses the read.
    pub(crate) fn vms(&self, after: u64, wait_ms: u64) -> Result<Option<VmList>, PlatformError> {
        self.read("vms", &format!("/v1/vms?after={after}&wait_ms={wait_ms}"), wait_ms)
    }

    /// Reads the weights of a model to the end and discards them.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or refuses the read.
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
        let path = format!("/v1/weights/{model}");
        let timeout = Duration::from_secs(WEIGHTS_TIMEOUT_S);
        let answer = HttpRequest::get(self.address, &path, timeout).send()?;
        match answer.status().as_u16() {
            200 => {
                answer.discard()?;
                Ok(WeightsRead::Whole)
            }
            429 => {
                let after_s = answer.header("retry-after").and_then(|text| text.parse().ok());
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
        let timeout = Duration::from_secs(ANSWER_TIMEOUT_S + wait_ms.div_ceil(1_000));
        let answer = HttpRequest::get(self.address, path, timeout).send()?;
        match answer.status().as_u16() {
            200 => Ok(Some(answer.json(MAX_ANSWER_BYTES)?)),
            204 | 404 => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }
}

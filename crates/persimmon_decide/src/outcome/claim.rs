//! Claims: what a caller carries so that its call runs at most once.

use persimmon_records::{EndpointName, ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::{IdempotencyKey, LedgerKey, PresentedCall, Refusal, Repeatability, Stamp};
use crate::{Fingerprint, RequestId};

/// Permission for one call at one life of one sidecar, carried by the caller between routers.
///
/// Its expiry follows from [`Stamp::issued_at`] and the issuing sidecar's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The workspace that may present the claim.
    pub workspace: WorkspaceName,
    /// The service that the claim is for.
    pub service: ServiceName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The endpoint whose sidecar alone may run the call.
    pub owner: EndpointName,
    /// When the claim was issued, and by which life of the owner's sidecar.
    pub stamp: Stamp,
    /// Identifies the call in traces and frames.
    pub call_id: RequestId,
}

impl Claim {
    /// Checks that a caller of `workspace` may use the claim at `service`.
    ///
    /// # Errors
    ///
    /// [`Refusal::BadClaim`] if the claim was made for another workspace or service.
    pub fn check_use(
        &self,
        workspace: &WorkspaceName,
        service: &ServiceName,
    ) -> Result<(), Refusal> {
        let permitted = self.workspace == *workspace && self.service == *service;
        if permitted { Ok(()) } else { Err(Refusal::BadClaim) }
    }

    /// Checks that `endpoint` is the owner.
    ///
    /// # Errors
    ///
    /// [`Refusal::WrongOwner`] if another endpoint is.
    pub fn check_owner(&self, endpoint: &EndpointName) -> Result<(), Refusal> {
        if self.owner == *endpoint { Ok(()) } else { Err(Refusal::WrongOwner) }
    }

    /// What identifies the call in the owner's ledger.
    pub fn ledger_key(&self) -> LedgerKey {
        LedgerKey::of_call(&self.workspace, &self.service, &self.key)
    }

    /// The call with its body, as it is presented to the owner's ledger.
    pub fn present(&self, body: &[u8]) -> PresentedCall {
        PresentedCall {
            key: self.ledger_key(),
            stamp: self.stamp,
            fingerprint: Fingerprint::of(body),
            repeatability: Repeatability::Once,
        }
    }
}

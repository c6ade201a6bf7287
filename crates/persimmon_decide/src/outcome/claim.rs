//! Claims: tokens that ensure that a call runs at most once.

use persimmon_records::{EndpointName, ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::{IdempotencyKey, LedgerKey, PresentedCall, Refusal, Repeatability, Stamp};
use crate::{Fingerprint, RequestId};

/// Permission to run one call at one incarnation of one sidecar. The caller may present it to any
/// router.
///
/// Its expiry follows from [`Stamp::issued_at`] and the settings of the sidecar that issued it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The workspace that may present the claim.
    pub workspace: WorkspaceName,
    /// The service that the claim is for.
    pub service: ServiceName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The only endpoint that may run the call.
    pub owner: EndpointName,
    /// When the claim was issued, and by which incarnation of the owner's sidecar.
    pub stamp: Stamp,
    /// The identifier of the call in traces and frames.
    pub call_id: RequestId,
}

impl Claim {
    /// Checks that a caller of `workspace` may use the claim at `service`.
    ///
    /// # Errors
    ///
    /// [`Refusal::BadClaim`] if the claim was issued for another workspace or service.
    pub fn check_use(
        &self,
        workspace: &WorkspaceName,
        service: &ServiceName,
    ) -> Result<(), Refusal> {
        let permitted = self.workspace == *workspace && self.service == *service;
        if permitted { Ok(()) } else { Err(Refusal::BadClaim) }
    }

    /// Checks that `endpoint` is the claim's owner.
    ///
    /// # Errors
    ///
    /// [`Refusal::WrongOwner`] if another endpoint is the owner.
    pub fn check_owner(&self, endpoint: &EndpointName) -> Result<(), Refusal> {
        if self.owner == *endpoint { Ok(()) } else { Err(Refusal::WrongOwner) }
    }

    /// Returns the key of the call in the owner's ledger.
    pub fn ledger_key(&self) -> LedgerKey {
        LedgerKey::of_call(&self.workspace, &self.service, &self.key)
    }

    /// Builds the call with this body, for [`super::Ledger::begin`] at the owner.
    pub fn present(&self, body: &[u8]) -> PresentedCall {
        PresentedCall {
            key: self.ledger_key(),
            stamp: self.stamp,
            fingerprint: Fingerprint::of(body),
            repeatability: Repeatability::Once,
        }
    }
}

//! One suspect at a time, alone on its endpoint.

use thiserror::Error;

use crate::{Fingerprint, MonoMs};

/// A definite refusal: the request wasn't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProbationRefusal {
    /// Another suspect runs or waits to run alone here.
    #[error("another suspect runs alone here; send the request again later")]
    Taken,
    /// A suspect runs or waits to run alone here, so others go elsewhere.
    #[error("the endpoint is kept free for a request that must run alone; try the next endpoint")]
    KeptFree,
    /// The endpoint didn't become idle in time.
    #[error("the endpoint didn't become idle in time; send the request again later")]
    NotIdle,
}

/// What a suspect does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbationStep {
    /// Wait until other work has ended, and ask again.
    Wait,
    /// Run now, alone.
    Run,
}

#[derive(Debug, Clone, Copy)]
struct Tenant {
    fingerprint: Fingerprint,
    since: MonoMs,
    is_running: bool,
}

/// Keeps a sidecar's endpoint free for one suspect, so that a crash condemns nobody else.
///
/// ```
/// use persimmon_decide::recovery::{Probation, ProbationStep};
/// use persimmon_decide::{Fingerprint, MonoMs};
///
/// let mut probation = Probation::default();
/// assert_eq!(probation.ask(Fingerprint(1), 2, MonoMs(0)), Ok(ProbationStep::Wait));
/// assert!(probation.check_other().is_err());
/// assert_eq!(probation.ask(Fingerprint(1), 0, MonoMs(500)), Ok(ProbationStep::Run));
/// probation.end(Fingerprint(1));
/// assert!(probation.check_other().is_ok());
/// ```
#[derive(Debug, Default)]
pub struct Probation {
    tenant: Option<Tenant>,
}

impl Probation {
    /// Milliseconds for which an endpoint is kept free before other work has ended.
    pub const MAX_WAIT_MS: u64 = 10_000;

    /// A suspect wants to run while `running` other requests are in progress.
    ///
    /// # Errors
    ///
    /// Another suspect is here, or the endpoint didn't become idle in time.
    pub fn ask(
        &mut self,
        fingerprint: Fingerprint,
        running: usize,
        now: MonoMs,
    ) -> Result<ProbationStep, ProbationRefusal> {
        let fresh = Tenant { fingerprint, since: now, is_running: false };
        let tenant = self.tenant.get_or_insert(fresh);
        if tenant.fingerprint != fingerprint || tenant.is_running {
            return Err(ProbationRefusal::Taken);
        }
        if running == 0 {
            tenant.is_running = true;
            return Ok(ProbationStep::Run);
        }
        if now.ms_since(tenant.since) < Self::MAX_WAIT_MS {
            return Ok(ProbationStep::Wait);
        }
        self.tenant = None;
        Err(ProbationRefusal::NotIdle)
    }

    /// A suspect ended, gave up waiting or crashed the endpoint.
    pub fn end(&mut self, fingerprint: Fingerprint) {
        if self.tenant.is_some_and(|tenant| tenant.fingerprint == fingerprint) {
            self.tenant = None;
        }
    }

    /// Whether a request that isn't a suspect may be admitted.
    ///
    /// # Errors
    ///
    /// A suspect runs or waits here.
    pub fn check_other(&self) -> Result<(), ProbationRefusal> {
        if self.tenant.is_some() { Err(ProbationRefusal::KeptFree) } else { Ok(()) }
    }
}

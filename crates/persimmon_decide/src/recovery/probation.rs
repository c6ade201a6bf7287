//! Exclusive runs of suspect requests on an endpoint.

use thiserror::Error;

use crate::{Fingerprint, MonoMs};

/// A definite refusal: the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProbationRefusal {
    /// The endpoint is already reserved for a suspect.
    #[error("the endpoint is reserved for another run of a suspect request; send it again later")]
    AlreadyReserved,
    /// The endpoint is reserved for a suspect, so other requests must go to other endpoints.
    #[error("the endpoint is reserved for a request that must run alone; try the next endpoint")]
    Reserved,
    /// The endpoint didn't become idle within [`Probation::MAX_WAIT_MS`].
    #[error("the endpoint didn't become idle in time; send the request again later")]
    NotIdle,
}

/// The next step of a suspect request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbationStep {
    /// Wait until the other requests have ended, and call [`Probation::reserve`] again.
    Wait,
    /// Run now, alone.
    Run,
}

#[derive(Debug, Clone, Copy)]
struct Reservation {
    fingerprint: Fingerprint,
    reserved_at: MonoMs,
    is_running: bool,
}

/// Reserves a sidecar's endpoint for one suspect at a time, so that a crash casts suspicion on no
/// other request.
///
/// ```
/// use persimmon_decide::recovery::{Probation, ProbationStep};
/// use persimmon_decide::{Fingerprint, MonoMs};
///
/// let mut probation = Probation::default();
/// assert_eq!(probation.reserve(Fingerprint(1), 2, MonoMs(0)), Ok(ProbationStep::Wait));
/// assert!(probation.check_regular().is_err());
/// assert_eq!(probation.reserve(Fingerprint(1), 0, MonoMs(500)), Ok(ProbationStep::Run));
/// probation.release(Fingerprint(1));
/// assert!(probation.check_regular().is_ok());
/// ```
#[derive(Debug, Default)]
pub struct Probation {
    reservation: Option<Reservation>,
}

impl Probation {
    /// Maximum milliseconds that a reservation waits for other requests to end.
    pub const MAX_WAIT_MS: u64 = 10_000;

    /// Reserves the endpoint for a suspect, and returns whether it may run now or must wait for the
    /// `running` other requests.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is reserved already, or didn't become idle in time.
    pub fn reserve(
        &mut self,
        fingerprint: Fingerprint,
        running: usize,
        now: MonoMs,
    ) -> Result<ProbationStep, ProbationRefusal> {
        let new = Reservation { fingerprint, reserved_at: now, is_running: false };
        let reservation = self.reservation.get_or_insert(new);
        if reservation.fingerprint != fingerprint || reservation.is_running {
            return Err(ProbationRefusal::AlreadyReserved);
        }
        if running == 0 {
            reservation.is_running = true;
            return Ok(ProbationStep::Run);
        }
        if now.ms_since(reservation.reserved_at) < Self::MAX_WAIT_MS {
            return Ok(ProbationStep::Wait);
        }
        self.reservation = None;
        Err(ProbationRefusal::NotIdle)
    }

    /// Releases the reservation of a suspect that ended, stopped waiting or crashed the endpoint.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        if self.reservation.is_some_and(|reservation| reservation.fingerprint == fingerprint) {
            self.reservation = None;
        }
    }

    /// Checks whether a request that isn't a suspect may be admitted.
    ///
    /// # Errors
    ///
    /// Fails while the endpoint is reserved for a suspect.
    pub fn check_regular(&self) -> Result<(), ProbationRefusal> {
        if self.reservation.is_some() { Err(ProbationRefusal::Reserved) } else { Ok(()) }
    }
}

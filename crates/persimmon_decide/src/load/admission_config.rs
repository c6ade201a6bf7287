//! Settings of admission.

use persimmon_records::{Class, Policy};

use super::Work;

/// Settings of [`super::Admission`].
///
/// ```
/// use persimmon_decide::load::AdmissionConfig;
///
/// let cfg = AdmissionConfig::default().with_slots(8).with_ageing_ms(20_000);
/// assert_eq!(cfg.reserved_slots(), 2);
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionConfig {
    policy: Policy,
    slots: u32,
    max_waiting: u32,
    ageing_ms: u64,
    unit_ms: u64,
    peers: u32,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            slots: 1,
            max_waiting: 64,
            ageing_ms: 15_000,
            unit_ms: 30,
            peers: 1,
        }
    }
}

impl AdmissionConfig {
    /// Work below the load bound that is reserved for quick requests, per reserved slot.
    pub const QUICK_WORK_PER_SLOT: Work = Work(16);

    /// Sets the policy with the load multiple, the load floor and the share reserved for quick
    /// requests.
    #[must_use]
    pub fn with_policy(mut self, policy: &Policy) -> Self {
        self.policy = policy.clone();
        self
    }

    /// Sets the maximum number of requests that run at once.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots.max(1);
        self
    }

    /// Sets the maximum number of queued requests.
    #[must_use]
    pub fn with_max_waiting(mut self, max_waiting: u32) -> Self {
        self.max_waiting = max_waiting;
        self
    }

    /// Sets the wait after which a request takes precedence over younger requests of every class,
    /// in milliseconds.
    #[must_use]
    pub fn with_ageing_ms(mut self, ageing_ms: u64) -> Self {
        self.ageing_ms = ageing_ms;
        self
    }

    /// Sets how long the engine takes for one unit of work on one slot, in milliseconds.
    #[must_use]
    pub fn with_unit_ms(mut self, unit_ms: u64) -> Self {
        self.unit_ms = unit_ms;
        self
    }

    /// Sets how many other endpoints the records list for the model. Without any, there is no mean
    /// load to compare with, so the endpoint has no load bound.
    #[must_use]
    pub fn with_peers(mut self, peers: u32) -> Self {
        self.peers = peers;
        self
    }

    /// Returns the slots reserved for quick requests: at least one if the share isn't zero, but
    /// never every slot.
    pub fn reserved_slots(&self) -> u32 {
        let share = self.policy.quick_share.clamp(0.0, 1.0);
        let reserved = (share * f64::from(self.slots)).ceil() as u32;
        reserved.min(self.slots - 1)
    }

    /// Returns the slots that requests of a class may use.
    pub(super) fn slots_for(&self, class: Class) -> u32 {
        match class {
            Class::Quick => self.slots,
            Class::Conversation | Class::Drafting => self.slots - self.reserved_slots(),
        }
    }

    /// Returns the queue length at which new requests of a class are refused.
    pub(super) fn queue_limit_for(&self, class: Class) -> u32 {
        match class {
            Class::Quick => self.max_waiting,
            Class::Conversation | Class::Drafting => {
                let share = self.policy.quick_share.clamp(0.0, 1.0);
                let reserved = (share * f64::from(self.max_waiting)).ceil() as u32;
                self.max_waiting - reserved.min(self.max_waiting)
            }
        }
    }

    /// Returns the maximum number of queued requests of one workspace.
    pub(super) fn queue_limit_per_workspace(&self) -> u32 {
        self.max_waiting.div_ceil(2)
    }

    pub(super) fn policy(&self) -> &Policy {
        &self.policy
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn ageing_ms(&self) -> u64 {
        self.ageing_ms
    }

    pub(super) fn unit_ms(&self) -> u64 {
        self.unit_ms
    }

    pub(super) fn peers(&self) -> u32 {
        self.peers
    }
}

//! Admission control of one endpoint.

use std::collections::BTreeMap;

use persimmon_records::{Class, WorkspaceName};
use slotmap::SlotMap;

use super::waiting_requests::WaitingRequests;
use super::{
    AdmissionConfig, AdmittedKey, Decision, LoadReport, MeanLoad, Offer, QueueUpdate,
    QueuedRequest, Refusal, RefuseReason, Work,
};
use crate::MonoMs;

#[derive(Debug)]
struct AdmittedRequest {
    workspace: WorkspaceName,
    class: Class,
    work: Work,
    running: bool,
}

/// Decides which requests one endpoint accepts and when they start. It never admits work beyond the
/// load bound, reserves a share of the slots for quick requests, lets workspaces take turns, and
/// gives precedence to requests that have waited long. Requests that aren't admitted are refused
/// immediately.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::load::{Admission, AdmissionConfig, Decision, Offer, Work};
/// use persimmon_records::Class;
///
/// let mut admission = Admission::new(AdmissionConfig::default().with_slots(2));
/// let offer = Offer {
///     workspace: "swap-desk".into(),
///     class: Class::Conversation,
///     work: Work(300),
///     deadline: None,
///     refused_mean_per_slot: None,
///     in_progress_limit: 8,
/// };
/// let Decision::Start(first) = admission.offer(&offer, MonoMs(0)) else { panic!() };
/// let Decision::Wait { key, .. } = admission.offer(&offer, MonoMs(0)) else { panic!() };
/// assert_eq!(admission.finish(first, MonoMs(9_000)).started, [key]);
/// ```
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    mean: MeanLoad,
    admitted: SlotMap<AdmittedKey, AdmittedRequest>,
    waiting: WaitingRequests,
    in_progress: BTreeMap<(WorkspaceName, Class), u32>,
    work: Work,
    running: u32,
    running_unreserved: u32,
    aged_started_last: bool,
    now: MonoMs,
}

impl Admission {
    /// Maximum retry delay in a refusal, in milliseconds.
    pub const MAX_RETRY_AFTER_MS: u64 = 60_000;

    /// Minimum retry delay in a refusal, in milliseconds.
    pub const MIN_RETRY_AFTER_MS: u64 = 100;

    /// Creates the admission of an idle endpoint.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            mean: MeanLoad::default(),
            admitted: SlotMap::with_key(),
            waiting: WaitingRequests::default(),
            in_progress: BTreeMap::new(),
            work: Work::ZERO,
            running: 0,
            running_unreserved: 0,
            aged_started_last: false,
            now: MonoMs::default(),
        }
    }

    /// Replaces the settings. Running and queued requests are kept.
    pub fn set_config(&mut self, cfg: AdmissionConfig) {
        self.cfg = cfg;
    }

    /// Returns the estimate of the mean load, for recording reports of the model's other endpoints.
    pub fn mean_mut(&mut self) -> &mut MeanLoad {
        &mut self.mean
    }

    /// Returns the estimate of the mean load.
    pub fn mean(&self) -> &MeanLoad {
        &self.mean
    }

    /// Returns the current load of the endpoint.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            work: self.work,
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.cfg.slots(),
            bound: self.bound_for(Class::Conversation, None),
        }
    }

    /// Returns the load bound. `refused_mean_per_slot` is the mean load per slot that an offer
    /// reports, see [`Offer::refused_mean_per_slot`].
    pub fn bound(&self, refused_mean_per_slot: Option<f64>, now: MonoMs) -> Work {
        if self.cfg.peers() == 0 {
            return Work(u64::MAX);
        }
        self.mean.bound(self.cfg.policy(), self.cfg.slots(), refused_mean_per_slot, now)
    }

    /// Starts, queues or refuses an offered request immediately.
    pub fn offer(&mut self, offer: &Offer, now: MonoMs) -> Decision {
        self.advance(now);
        let expected_ms = self.expected_wait_ms(offer.class);
        if let Some(refusal) = self.refusal(offer, expected_ms) {
            return Decision::Refuse(refusal);
        }
        let key = self.admit(offer);
        if expected_ms == 0 {
            self.run(key);
            return Decision::Start(key);
        }
        let queued =
            QueuedRequest { key, work: offer.work, since: self.now, deadline: offer.deadline };
        self.waiting.of(offer.class).push(&offer.workspace, queued);
        Decision::Wait { key, expected_ms }
    }

    /// Updates the remaining work of a running request as its tokens arrive. The work never grows.
    pub fn progress(&mut self, key: AdmittedKey, left: Work) {
        let Some(admitted) = self.admitted.get_mut(key) else { return };
        let done = admitted.work.saturating_sub(left);
        admitted.work = admitted.work.min(left);
        self.work = self.work.saturating_sub(done);
    }

    /// Removes a request that ended, or that its caller cancelled while it was queued.
    pub fn finish(&mut self, key: AdmittedKey, now: MonoMs) -> QueueUpdate {
        self.advance(now);
        if let Some(ended) = self.remove(key)
            && !ended.running
        {
            self.waiting.of(ended.class).remove_where(|queued| queued.key == key);
        }
        self.update_queue()
    }

    /// Expires queued requests whose deadline has passed, and updates the estimate of the mean
    /// load.
    pub fn tick(&mut self, now: MonoMs) -> QueueUpdate {
        self.advance(now);
        self.mean.tick(now);
        self.update_queue()
    }

    fn update_queue(&mut self) -> QueueUpdate {
        let expired = self.expire_waiting();
        QueueUpdate { started: self.start_waiting(), expired }
    }

    fn expire_waiting(&mut self) -> Vec<AdmittedKey> {
        let expired = self.waiting.remove_expired(self.now);
        for key in &expired {
            self.remove(*key);
        }
        expired
    }

    /// Advances the time to `now`. A clock that steps back stays at its latest reading.
    fn advance(&mut self, now: MonoMs) {
        self.now = self.now.max(now);
    }

    fn refusal(&self, offer: &Offer, expected_ms: u64) -> Option<Refusal> {
        let (reason, retry_after_ms) = self
            .over_workspace_limit(offer)
            .or_else(|| self.over_bound(offer))
            .or_else(|| self.over_queue(offer, expected_ms))
            .or_else(|| self.over_deadline(offer, expected_ms))?;
        let retry_after_ms =
            retry_after_ms.clamp(Self::MIN_RETRY_AFTER_MS, Self::MAX_RETRY_AFTER_MS);
        Some(Refusal { reason, retry_after_ms, load: self.load() })
    }

    fn over_workspace_limit(&self, offer: &Offer) -> Option<(RefuseReason, u64)> {
        let id = (offer.workspace.clone(), offer.class);
        let in_progress = self.in_progress.get(&id).copied().unwrap_or(0);
        let over = in_progress >= offer.in_progress_limit;
        over.then(|| (RefuseReason::WorkspaceLimit, self.first_end_ms(Some(&offer.workspace))))
    }

    fn over_bound(&self, offer: &Offer) -> Option<(RefuseReason, u64)> {
        let bound = self.bound_for(offer.class, offer.refused_mean_per_slot);
        let total = self.work + offer.work;
        let excess = total.saturating_sub(bound);
        let drain_ms = excess.0.saturating_mul(self.cfg.unit_ms()) / u64::from(self.cfg.slots());
        (total > bound).then_some((RefuseReason::OverBound, drain_ms))
    }

    fn over_queue(&self, offer: &Offer, expected_ms: u64) -> Option<(RefuseReason, u64)> {
        if expected_ms == 0 {
            return None;
        }
        let full = self.waiting.len() >= self.cfg.queue_limit_for(offer.class) as usize;
        if full {
            return Some((RefuseReason::QueueFull, expected_ms));
        }
        let own = self.waiting_in_workspace(&offer.workspace);
        let over = own >= self.cfg.queue_limit_per_workspace() as usize;
        over.then_some((RefuseReason::WorkspaceLimit, expected_ms))
    }

    fn over_deadline(&self, offer: &Offer, expected_ms: u64) -> Option<(RefuseReason, u64)> {
        let left_ms = offer.deadline?.ms_since(self.now);
        (expected_ms > left_ms).then(|| (RefuseReason::Deadline, expected_ms - left_ms))
    }

    /// Returns the load bound for a class. A small part is reserved for quick requests, unless the
    /// rest would be too small for a request of any size.
    fn bound_for(&self, class: Class, refused_mean_per_slot: Option<f64>) -> Work {
        let bound = self.bound(refused_mean_per_slot, self.now);
        if class == Class::Quick {
            return bound;
        }
        let slots = u64::from(self.cfg.reserved_slots());
        let reserved = Work(slots * AdmissionConfig::QUICK_WORK_PER_SLOT.0);
        bound.saturating_sub(reserved).max(bound.min(Work::MAX_PER_REQUEST))
    }

    fn has_slot(&self, class: Class) -> bool {
        let unreserved = class != Class::Quick;
        self.running < self.cfg.slots()
            && (!unreserved || self.running_unreserved < self.cfg.slots_for(class))
    }

    /// Returns the expected wait of a new request of `class` in milliseconds, or zero if it can
    /// start.
    fn expected_wait_ms(&self, class: Class) -> u64 {
        if self.has_slot(class) {
            return 0;
        }
        let before = self.waiting.work_before(class).0.saturating_mul(self.cfg.unit_ms());
        let first = self.first_end_ms(None);
        (first + before / u64::from(self.cfg.slots_for(class))).max(1)
    }

    /// Returns the time until the first running request is expected to end, of one workspace or of
    /// all, in milliseconds.
    fn first_end_ms(&self, workspace: Option<&WorkspaceName>) -> u64 {
        let running = self.admitted.values().filter(|admitted| admitted.running);
        let own = running.filter(|admitted| workspace.is_none_or(|own| admitted.workspace == *own));
        let least = own.map(|admitted| admitted.work.0).min().unwrap_or(0);
        least.saturating_mul(self.cfg.unit_ms())
    }

    fn waiting_in_workspace(&self, workspace: &WorkspaceName) -> usize {
        let own =
            |admitted: &&AdmittedRequest| !admitted.running && admitted.workspace == *workspace;
        self.admitted.values().filter(own).count()
    }

    fn admit(&mut self, offer: &Offer) -> AdmittedKey {
        let id = (offer.workspace.clone(), offer.class);
        *self.in_progress.entry(id).or_default() += 1;
        self.work += offer.work;
        self.admitted.insert(AdmittedRequest {
            workspace: offer.workspace.clone(),
            class: offer.class,
            work: offer.work,
            running: false,
        })
    }

    fn run(&mut self, key: AdmittedKey) {
        let admitted = &mut self.admitted[key];
        admitted.running = true;
        self.running += 1;
        self.running_unreserved += u32::from(admitted.class != Class::Quick);
    }

    fn remove(&mut self, key: AdmittedKey) -> Option<AdmittedRequest> {
        let ended = self.admitted.remove(key)?;
        self.work = self.work.saturating_sub(ended.work);
        if ended.running {
            self.running -= 1;
            self.running_unreserved -= u32::from(ended.class != Class::Quick);
        }
        let id = (ended.workspace.clone(), ended.class);
        if let Some(count) = self.in_progress.get_mut(&id) {
            *count -= 1;
            if *count == 0 {
                self.in_progress.remove(&id);
            }
        }
        Some(ended)
    }

    fn start_waiting(&mut self) -> Vec<AdmittedKey> {
        let mut started = Vec::new();
        while let Some(queued) = self.next_waiting() {
            self.run(queued.key);
            started.push(queued.key);
        }
        started
    }

    /// Removes and returns the next request to start. A request that has waited long goes first,
    /// but only at every other start, so that many of them don't block other requests.
    fn next_waiting(&mut self) -> Option<QueuedRequest> {
        if self.has_slot(Class::Drafting) && !self.aged_started_last {
            let before = self.now.0.checked_sub(self.cfg.ageing_ms()).map(MonoMs);
            let aged = before.and_then(|before| self.waiting.pop_older_than(before));
            if aged.is_some() {
                self.aged_started_last = true;
                return aged;
            }
        }
        self.aged_started_last = false;
        let urgent_first = Class::ALL;
        urgent_first.into_iter().find_map(|class| {
            let free = self.has_slot(class);
            free.then(|| self.waiting.of(class).pop()).flatten()
        })
    }
}

//! Which processes read the platform, and when.

use super::WatchSettings;
use crate::MonoMs;
use crate::membership::{NodeId, Vm, VmName, VmState};
use crate::recovery::scale;

/// A read of the platform to send now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformRead {
    /// How long the platform may hold the read until something is newer; 0 answers at once.
    pub wait_ms: u64,
}

/// The rank of the VM `own` among the VMs of its zone that stay, or none if the list lacks it.
///
/// Every process that holds the same list computes the same ranks.
///
/// ```
/// use persimmon_decide::config::watch_rank;
/// use persimmon_decide::membership::{Vm, VmRole, VmState};
///
/// let vm = |name: &str| Vm {
///     name: name.into(),
///     role: VmRole::Router,
///     peer: "127.0.0.1:7000".parse().unwrap(),
///     zone: "zone-a".into(),
///     state: VmState::Live,
/// };
/// let vms = [vm("router-1"), vm("router-2")];
/// let mut ranks = [watch_rank(&vms, &"router-1".into()), watch_rank(&vms, &"router-2".into())];
/// ranks.sort();
/// assert_eq!(ranks, [Some(0), Some(1)]);
/// ```
pub fn watch_rank(vms: &[Vm], own: &VmName) -> Option<usize> {
    let zone = &vms.iter().find(|vm| vm.name == *own)?.zone;
    let weight = |vm: &Vm| (NodeId::of(&vm.name).weight_for(zone.as_str()), vm.name.clone());
    let own_weight = weight(vms.iter().find(|vm| vm.name == *own)?);
    let in_zone = vms.iter().filter(|vm| vm.zone == *zone && vm.name != *own);
    let staying = in_zone.filter(|vm| vm.state == VmState::Live);
    Some(staying.filter(|vm| weight(vm) > own_weight).count())
}

/// Decides when this process reads the platform.
///
/// The first few of each zone watch. Everyone else learns from peers, whose digests carry the age
/// of the freshest platform contact; when that grows old the next few in rank read, one after the
/// other. A process that hears of no contact at all reads now and then on its own, so slowly that
/// the whole fleet at once stays far inside the platform's rate.
#[derive(Debug)]
pub struct Watch {
    settings: WatchSettings,
    rank: Option<usize>,
    contact_at: MonoMs,
    own_contact_at: Option<MonoMs>,
    next_at: MonoMs,
    idle_read_at: Option<MonoMs>,
    is_reading: bool,
    failures: u32,
    reads: u64,
}

enum Duty {
    Watch,
    StandBy { place: u64 },
    Idle,
}

impl Watch {
    /// A contact that is this much newer than the process's own, in milliseconds, is another's.
    const OTHERS_LEAD_MS: u64 = 1_000;
    /// Milliseconds between an answer and the next read, which bounds the reads of a process whose
    /// watches are answered at once.
    const MIN_GAP_MS: u64 = 200;

    /// A process that has just become ready and had contact with the platform, or with a peer that
    /// had, at `now`.
    pub fn new(settings: WatchSettings, now: MonoMs) -> Self {
        Self {
            settings,
            rank: None,
            contact_at: now,
            own_contact_at: None,
            next_at: now,
            idle_read_at: None,
            is_reading: false,
            failures: 0,
            reads: 0,
        }
    }

    /// Sets the rank from [`watch_rank`] whenever the VM list changes.
    pub fn set_rank(&mut self, rank: Option<usize>) {
        self.rank = rank;
    }

    /// A digest told that somebody had contact with the platform `age_ms` ago.
    pub fn note_contact(&mut self, age_ms: u64, now: MonoMs) {
        let contact_at = MonoMs(now.0.saturating_sub(age_ms));
        self.contact_at = self.contact_at.max(contact_at);
        let is_others =
            self.own_contact_at.is_some_and(|own| contact_at.ms_since(own) > Self::OTHERS_LEAD_MS);
        if is_others {
            self.own_contact_at = None;
        }
    }

    /// The read to send now, if any. At most one is under way. `random` spreads reads.
    pub fn next_read(&mut self, now: MonoMs, random: u64) -> Option<PlatformRead> {
        if self.is_reading || now < self.next_at {
            return None;
        }
        let wait_ms = match self.duty() {
            Duty::Watch => self.settings.wait_ms,
            Duty::StandBy { place } if self.takes_over(place, now) => self.settings.wait_ms,
            Duty::Idle if self.is_idle_read_due(now, random) => 0,
            Duty::StandBy { .. } | Duty::Idle => return None,
        };
        self.is_reading = true;
        self.reads += 1;
        Some(PlatformRead { wait_ms })
    }

    /// The platform answered, also if it had nothing newer.
    pub fn answered(&mut self, now: MonoMs) {
        self.is_reading = false;
        self.failures = 0;
        self.idle_read_at = None;
        self.contact_at = self.contact_at.max(now);
        self.own_contact_at = Some(now);
        self.next_at = now.plus_ms(Self::MIN_GAP_MS);
    }

    /// The read failed or was refused; `random` spreads the next one.
    pub fn failed(&mut self, now: MonoMs, random: u64) {
        self.is_reading = false;
        self.idle_read_at = None;
        self.next_at = now.plus_ms(self.settings.pacer.delay_ms(self.failures, random));
        self.failures = self.failures.saturating_add(1);
    }

    /// Reads sent so far, a waiting watch counted as one.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    /// Age in milliseconds of the freshest platform contact that this process knows of.
    pub fn contact_age_ms(&self, now: MonoMs) -> u64 {
        now.ms_since(self.contact_at)
    }

    fn duty(&self) -> Duty {
        let watchers = self.settings.watchers_per_zone;
        match self.rank {
            Some(rank) if rank < watchers => Duty::Watch,
            Some(rank) if rank < watchers + self.settings.standbys_per_zone => {
                Duty::StandBy { place: (rank - watchers) as u64 }
            }
            _ => Duty::Idle,
        }
    }

    fn takes_over(&self, place: u64, now: MonoMs) -> bool {
        let patience_ms = self.settings.silence_ms + place * self.settings.standby_step_ms;
        self.own_contact_at.is_some() || self.contact_age_ms(now) > patience_ms
    }

    /// Draws the time of a read of its own once silence has lasted twice as long as standbys wait.
    fn is_idle_read_due(&mut self, now: MonoMs, random: u64) -> bool {
        if self.contact_age_ms(now) <= 2 * self.settings.silence_ms {
            self.idle_read_at = None;
            return false;
        }
        let spread_ms = 2 * self.settings.idle_ms;
        let drawn_at = now.plus_ms(scale(random, spread_ms + 1));
        now >= *self.idle_read_at.get_or_insert(drawn_at)
    }
}

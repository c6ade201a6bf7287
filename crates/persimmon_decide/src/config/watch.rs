//! The choice of the processes that read the platform, and the times of their reads.

use super::WatchSettings;
use crate::MonoMs;
use crate::membership::{NodeId, Vm, VmName, VmState};
use crate::recovery::scale;

/// A read that the process sends to the platform now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformRead {
    /// Long-poll time in milliseconds: how long the platform may wait for a newer version before it
    /// answers; 0 for an immediate answer.
    pub wait_ms: u64,
}

/// Returns the rank of the VM `own` among the VMs of its zone that aren't leaving, or `None` if
/// the list lacks it.
///
/// All processes with the same list compute the same ranks.
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
/// The processes with the lowest ranks in each zone are watchers: they always have a read in
/// progress. All others get changes from peers, whose digests contain the age of the latest
/// successful contact with the platform. When that age exceeds a limit, the standbys (the next
/// ranks) start to read one after the other. Any other process that gets no report of a contact
/// reads rarely, so that even the whole fleet doing this stays far below the platform's rate limit.
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
    Standby { position: u64 },
    Idle,
}

impl Watch {
    /// Milliseconds by which a reported contact must be newer than this process's own to count as
    /// another process's. A report of the own contact looks newer by its transit time.
    const OTHERS_MIN_LEAD_MS: u64 = 1_000;
    /// Minimum time in milliseconds between an answer and the next read. Limits the rate of reads
    /// if the platform answers at once.
    const MIN_GAP_MS: u64 = 200;

    /// Creates the state of a process that has just become ready, and that contacted the platform,
    /// or a peer that had done so, at `now`.
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

    /// Sets the rank from [`watch_rank`]. Call it whenever the VM list changes.
    pub fn set_rank(&mut self, rank: Option<usize>) {
        self.rank = rank;
    }

    /// Records a report that some process successfully contacted the platform `age_ms` ago.
    pub fn note_contact(&mut self, age_ms: u64, now: MonoMs) {
        let contact_at = MonoMs(now.0.saturating_sub(age_ms));
        self.contact_at = self.contact_at.max(contact_at);
        let is_from_other = self
            .own_contact_at
            .is_some_and(|own| contact_at.ms_since(own) > Self::OTHERS_MIN_LEAD_MS);
        if is_from_other {
            self.own_contact_at = None;
        }
    }

    /// Returns the read to send now, if any. At most one is in flight. `random` spreads the reads
    /// of different processes.
    pub fn next_read(&mut self, now: MonoMs, random: u64) -> Option<PlatformRead> {
        if self.is_reading || now < self.next_at {
            return None;
        }
        let wait_ms = match self.duty() {
            Duty::Watch => self.settings.wait_ms,
            Duty::Standby { position } if self.takes_over(position, now) => self.settings.wait_ms,
            Duty::Idle if self.is_idle_read_due(now, random) => 0,
            Duty::Standby { .. } | Duty::Idle => return None,
        };
        self.is_reading = true;
        self.reads += 1;
        Some(PlatformRead { wait_ms })
    }

    /// Records an answer of the platform, including one without anything newer.
    pub fn answered(&mut self, now: MonoMs) {
        self.is_reading = false;
        self.failures = 0;
        self.idle_read_at = None;
        self.contact_at = self.contact_at.max(now);
        self.own_contact_at = Some(now);
        self.next_at = now.plus_ms(Self::MIN_GAP_MS);
    }

    /// Records that the read failed or was refused. `random` spreads the retries of different
    /// processes.
    pub fn failed(&mut self, now: MonoMs, random: u64) {
        self.is_reading = false;
        self.idle_read_at = None;
        self.next_at = now.plus_ms(self.settings.pacer.delay_ms(self.failures, random));
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the number of reads sent so far. A long poll counts as one.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    /// Returns the age in milliseconds of the latest successful contact with the platform, by this
    /// process or by any other that reported one.
    pub fn contact_age_ms(&self, now: MonoMs) -> u64 {
        now.ms_since(self.contact_at)
    }

    fn duty(&self) -> Duty {
        let watchers = self.settings.watchers_per_zone;
        match self.rank {
            Some(rank) if rank < watchers => Duty::Watch,
            Some(rank) if rank < watchers + self.settings.standbys_per_zone => {
                Duty::Standby { position: (rank - watchers) as u64 }
            }
            _ => Duty::Idle,
        }
    }

    fn takes_over(&self, position: u64, now: MonoMs) -> bool {
        let limit_ms = self.settings.silence_ms + position * self.settings.standby_step_ms;
        self.own_contact_at.is_some() || self.contact_age_ms(now) > limit_ms
    }

    /// Reports whether a process that is neither watcher nor standby should read. Draws the time of
    /// the read once the latest contact is older than twice `silence_ms`.
    fn is_idle_read_due(&mut self, now: MonoMs, random: u64) -> bool {
        if self.contact_age_ms(now) <= 2 * self.settings.silence_ms {
            self.idle_read_at = None;
            return false;
        }
        let spread_ms = 2 * self.settings.idle_interval_ms;
        let drawn_at = now.plus_ms(scale(random, spread_ms + 1));
        now >= *self.idle_read_at.get_or_insert(drawn_at)
    }
}

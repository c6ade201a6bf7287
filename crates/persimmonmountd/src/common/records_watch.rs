//! Watches the platform for records and the list of VMs, each on a thread of its own.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use persimmon_decide::MonoMs;
use persimmon_records::{Generation, RecordSet};

use super::{Clock, Platform, VmList};

/// The platform's key for the record set.
const RECORDS_KEY: &str = "records";
/// How long a watch waits for news, in milliseconds.
const WATCH_MS: u64 = 10_000;
/// Pause after a read that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// News of records, the VM list or peers.
#[derive(Debug)]
pub(crate) enum RecordsEvent {
    /// Records that were checked and are newer than those in force.
    Adopted {
        /// The records.
        records: Arc<RecordSet>,
        /// Their text, for peers.
        text: Arc<str>,
        /// Where they came from.
        source: &'static str,
    },
    /// Published records that can't be used. Those in force stay.
    Refused {
        /// Every fault found.
        reason: String,
    },
    /// The platform or a peer answered with the generation that it knows.
    Confirmed {
        /// When it was asked.
        asked_at: MonoMs,
        /// The generation that it knows.
        heard: Generation,
    },
    /// The platform's list of VMs.
    Listed {
        /// The list.
        vms: VmList,
    },
}

/// Watches the platform.
#[derive(Debug, Clone)]
pub(crate) struct RecordsWatch {
    platform: Platform,
    clock: Clock,
}

impl RecordsWatch {
    /// A watch of `platform`.
    pub(crate) fn new(platform: Platform, clock: Clock) -> Self {
        Self { platform, clock }
    }

    /// Starts the threads. They end once `tell` returns false.
    ///
    /// # Errors
    ///
    /// A thread can't be started.
    pub(crate) fn start(
        self,
        tell: impl Fn(RecordsEvent) -> bool + Clone + Send + 'static,
    ) -> io::Result<()> {
        let lists = self.clone();
        let tell_lists = tell.clone();
        thread::Builder::new()
            .name("watch-records".into())
            .spawn(move || self.watch_records(&tell))?;
        thread::Builder::new()
            .name("watch-vms".into())
            .spawn(move || lists.watch_vms(&tell_lists))?;
        Ok(())
    }

    fn watch_records(&self, tell: &impl Fn(RecordsEvent) -> bool) {
        let mut version = 0;
        let mut in_force = Generation::default();
        loop {
            let asked_at = self.clock.now();
            let wait_ms = if version == 0 { 0 } else { WATCH_MS };
            let goes_on = match self.platform.value(RECORDS_KEY, version, wait_ms) {
                Ok(Some(value)) => {
                    version = value.version;
                    let event = offered(&value.value, in_force);
                    if let Some(RecordsEvent::Adopted { records, .. }) = &event {
                        in_force = records.generation;
                    }
                    event.is_none_or(tell)
                        && tell(RecordsEvent::Confirmed { asked_at, heard: in_force })
                }
                Ok(None) if version == 0 => {
                    thread::sleep(FAILURE_PAUSE);
                    true
                }
                Ok(None) => tell(RecordsEvent::Confirmed { asked_at, heard: in_force }),
                Err(err) => {
                    tracing::warn!("records: {err}.");
                    thread::sleep(FAILURE_PAUSE);
                    true
                }
            };
            if !goes_on {
                return;
            }
        }
    }

    fn watch_vms(&self, tell: &impl Fn(RecordsEvent) -> bool) {
        let mut version = 0;
        loop {
            let wait_ms = if version == 0 { 0 } else { WATCH_MS };
            match self.platform.vms(version, wait_ms) {
                Ok(Some(vms)) => {
                    version = vms.version;
                    if !tell(RecordsEvent::Listed { vms }) {
                        return;
                    }
                }
                Ok(None) if version > 0 => {}
                Ok(None) => thread::sleep(FAILURE_PAUSE),
                Err(err) => {
                    tracing::warn!("vms: {err}.");
                    thread::sleep(FAILURE_PAUSE);
                }
            }
        }
    }
}

/// What to do about a text that the platform holds; none if it isn't newer.
fn offered(text: &str, in_force: Generation) -> Option<RecordsEvent> {
    match RecordSet::parse(text) {
        Ok(records) if records.generation > in_force => Some(RecordsEvent::Adopted {
            records: Arc::new(records),
            text: text.into(),
            source: "platform",
        }),
        Ok(_) => None,
        Err(errors) => Some(RecordsEvent::Refused { reason: errors.to_string() }),
    }
}

//! Decides which events of a resumable stream may be passed on.

use super::EventPosition;

/// The number of the last event that the caller got, and the step to the next one.
///
/// Checking events records nothing: the numbers move only when the events are passed on, so that a
/// stream that breaks goes on after what the caller really got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventNumbers {
    last: Option<u64>,
    /// Difference between the numbers of consecutive events, once known.
    step: Option<u64>,
}

/// The part of received events that may be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoundEvents {
    /// Length of the part, in bytes.
    pub length: usize,
    /// The numbers once the part has been passed on.
    pub numbers: EventNumbers,
    /// Whether an event after the part doesn't follow.
    pub is_broken: bool,
}

impl EventNumbers {
    /// Creates the numbers of a stream that continues after event `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { last, step: None }
    }

    /// Returns the number of the last event.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Returns the sound part of `events`, which are complete. If an event doesn't follow, the part
    /// ends with the last numbered event before it: what lies between may belong to the wrong bytes,
    /// and otherwise comes again when the stream is resumed.
    pub fn check(self, events: &[u8]) -> SoundEvents {
        match self.after(events) {
            Some(numbers) => SoundEvents { length: events.len(), numbers, is_broken: false },
            None => self.sound_part(events),
        }
    }

    /// Returns the sound part of `events`, one of which doesn't follow.
    fn sound_part(self, events: &[u8]) -> SoundEvents {
        let mut sound = SoundEvents { length: 0, numbers: self, is_broken: true };
        let mut position = EventPosition::default();
        let mut start = 0;
        for (at, byte) in events.iter().enumerate() {
            if position.advance(std::slice::from_ref(byte)).is_none() {
                continue;
            }
            let event = &events[start..=at];
            let Some(numbers) = sound.numbers.after(event) else { break };
            // The LF of a CRLF belongs to the event that the CR ended.
            if numbers != sound.numbers || (start == sound.length && event == b"\n") {
                sound.length = at + 1;
            }
            sound.numbers = numbers;
            start = at + 1;
        }
        sound
    }

    /// Returns the numbers after these events, or `None` if the number of one doesn't follow.
    fn after(mut self, events: &[u8]) -> Option<Self> {
        for line in events.split(|byte| matches!(byte, b'\n' | b'\r')) {
            let Some(rest) = line.strip_prefix(b"id:") else { continue };
            let text = std::str::from_utf8(rest).unwrap_or_default().trim();
            // Only streams with numbered events can be resumed; other ids are ignored.
            let Ok(number) = text.parse::<u64>() else { continue };
            if let Some(last) = self.last {
                let step = number.checked_sub(last).filter(|step| *step > 0)?;
                if *self.step.get_or_insert(step) != step {
                    return None;
                }
            }
            self.last = Some(number);
        }
        Some(self)
    }
}

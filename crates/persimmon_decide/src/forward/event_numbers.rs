//! Decides which events of a resumable stream may be passed on.

use super::EventPosition;

/// The number of the last event that the caller got, and the step to the next one.
///
/// Checking events records nothing: the numbers move only when the events are passed on, so that a
/// stream that breaks goes on after what the caller really got.
///
/// What another endpoint sends for a stream that has begun goes on with it only if its first event carries
/// the next number: the text of an error carries none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventNumbers {
    last: Option<u64>,
    /// Difference between the numbers of consecutive events, once known.
    step: Option<u64>,
    /// Whether the next event has to carry a number.
    needs_number: bool,
    /// Whether numbers only have to increase.
    has_any_step: bool,
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
        Self { last, step: None, needs_number: last.is_some(), has_any_step: false }
    }

    /// Creates the numbers of a stream that can't be resumed. No event may be missing from it unnoticed, so
    /// that its numbers only have to increase: lower ones are those of a second copy.
    pub fn increasing() -> Self {
        Self { has_any_step: true, ..Self::new(None) }
    }

    /// Returns the numbers at the start of the part that another endpoint sends.
    #[must_use]
    pub fn at_next_part(self) -> Self {
        Self { needs_number: true, ..self }
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

    /// Returns the numbers after these events, or `None` if one doesn't follow.
    fn after(mut self, events: &[u8]) -> Option<Self> {
        let mut event = EventFields::default();
        for line in lines(events) {
            if line.is_empty() {
                self = self.after_event(std::mem::take(&mut event))?;
            } else {
                event.add(line);
            }
        }
        self.after_event(event)
    }

    /// Returns the numbers after an event, or `None` if it doesn't follow.
    fn after_event(mut self, event: EventFields) -> Option<Self> {
        if event.is_empty {
            return Some(self);
        }
        let Some(number) = event.number else {
            return (!self.needs_number && !event.has_unknown_field).then_some(self);
        };
        if let Some(last) = self.last {
            let step = number.checked_sub(last).filter(|step| *step > 0)?;
            if *self.step.get_or_insert(step) != step && !self.has_any_step {
                return None;
            }
        }
        self.last = Some(number);
        self.needs_number = false;
        Some(self)
    }
}

/// What the lines of an event say of its place in the stream.
#[derive(Debug, Clone, Copy)]
struct EventFields {
    /// Whether there are no lines but comments.
    is_empty: bool,
    number: Option<u64>,
    /// Whether a line has no field of events, as those of an error's head or text.
    has_unknown_field: bool,
}

impl Default for EventFields {
    fn default() -> Self {
        Self { is_empty: true, number: None, has_unknown_field: false }
    }
}

impl EventFields {
    fn add(&mut self, line: &[u8]) {
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let (name, value) = (parts.next().unwrap_or_default(), parts.next());
        match name {
            b"" => return,
            // Only streams with numbered events can be resumed; other ids are ignored.
            b"id" => {
                let text = std::str::from_utf8(value.unwrap_or_default()).unwrap_or_default();
                self.number = text.trim().parse().ok().or(self.number);
            }
            b"data" | b"event" | b"retry" => {}
            _ => self.has_unknown_field = true,
        }
        self.is_empty = false;
    }
}

/// Returns the lines of events, which end with LF, CR or CRLF.
fn lines(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
        let line = &rest[..end];
        let length = if rest[end..].starts_with(b"\r\n") { end + 2 } else { end + 1 };
        rest = &rest[length..];
        Some(line)
    })
}

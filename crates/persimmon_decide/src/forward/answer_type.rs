//! What an answer on a route for streams consists of.

/// The type of an answer on a route for streams.
///
/// A stream that has begun is continued only by what shows that it is its next part. A success alone shows
/// nothing: an endpoint may report an error with it, or end after its answer's head.
///
/// ```
/// use persimmon_decide::forward::AnswerType;
///
/// assert!(AnswerType::Unstated.continues_stream(200));
/// assert!(!AnswerType::Other.continues_stream(200));
/// assert!(!AnswerType::Events.continues_stream(204));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerType {
    /// Events, as the answer states.
    Events,
    /// Events, since the answer states no type.
    Unstated,
    /// The type that the answer states.
    Other,
}

impl AnswerType {
    /// Status of the answers that streams consist of.
    const OK: u16 = 200;

    /// Reports whether the answer consists of events.
    pub fn has_events(self) -> bool {
        self != Self::Other
    }

    /// Reports whether an answer with this status may continue a stream that has begun. Its events then
    /// have to follow, too.
    pub fn continues_stream(self, status: u16) -> bool {
        status == Self::OK && self.has_events()
    }

    /// Reports whether an answer without any byte may be complete. `is_end_framed` says whether a length, a
    /// last chunk or its status shows its end, and `is_continued` whether it is part of a stream that has
    /// begun: only an answer that says that it is a stream then says that nothing is left of it.
    pub fn may_be_empty(self, is_end_framed: bool, is_continued: bool) -> bool {
        is_end_framed && (!is_continued || self == Self::Events)
    }
}

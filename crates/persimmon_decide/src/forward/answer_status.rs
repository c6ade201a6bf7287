//! Which statuses an answer may have.

/// What the status of a message says of it.
///
/// An endpoint in trouble may send a status that HTTP doesn't define, or end with an interim one. Such a message
/// is no answer, whatever else it says: whether its request has run is unknown.
///
/// ```
/// use persimmon_decide::forward::AnswerStatus;
///
/// assert_eq!(AnswerStatus::of(404), AnswerStatus::Final);
/// assert_eq!(AnswerStatus::of(600), AnswerStatus::Invalid);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerStatus {
    /// The message is the answer.
    Final,
    /// The answer follows. If the connection ends before, there is none.
    Interim,
    /// The message is no answer, and its connection carries no further one.
    Invalid,
}

impl AnswerStatus {
    /// Status with which the other end begins to speak another protocol. It answers a request that asks for
    /// one, which requests of the fleet never do.
    const SWITCHING_PROTOCOLS: u16 = 101;

    /// Judges a status.
    pub fn of(status: u16) -> Self {
        match status {
            Self::SWITCHING_PROTOCOLS => Self::Invalid,
            100..=199 => Self::Interim,
            200..=599 => Self::Final,
            _ => Self::Invalid,
        }
    }
}

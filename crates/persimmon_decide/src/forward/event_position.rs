//! Position of a byte stream relative to its server-sent events.

/// Position of an event stream: inside an event, or between two. A stream that ends inside an event
/// has been broken off.
///
/// Lines end with LF, CR or CRLF; a blank line ends an event. Needed for streams whose framing doesn't
/// show their end, such as those that end with their connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EventPosition {
    /// Between events.
    #[default]
    Between,
    /// Between events, after a CR to which a following LF belongs.
    BetweenAfterCr,
    /// Inside a comment line, which belongs to no event.
    InComment,
    /// Inside a line of an event.
    InLine,
    /// Inside an event, at the start of a line.
    AtLineStart,
    /// Inside an event, after a CR to which a following LF belongs.
    AtLineStartAfterCr,
}

impl EventPosition {
    /// Moves the position past `bytes`. Returns the length of the part of `bytes` that ends with the
    /// last boundary between events, or `None` if `bytes` reach no boundary.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in bytes.iter().enumerate() {
            *self = self.after(*byte);
            if self.is_between_events() {
                end = Some(at + 1);
            }
        }
        end
    }

    /// Reports whether everything so far consists of complete events and comments.
    pub fn is_between_events(self) -> bool {
        matches!(self, Self::Between | Self::BetweenAfterCr)
    }

    fn after(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::InLine | Self::AtLineStartAfterCr, b'\n') => Self::AtLineStart,
            (Self::InLine, b'\r') => Self::AtLineStartAfterCr,
            (_, b'\n') => Self::Between,
            (_, b'\r') => Self::BetweenAfterCr,
            (Self::Between | Self::BetweenAfterCr, b':') | (Self::InComment, _) => Self::InComment,
            _ => Self::InLine,
        }
    }
}

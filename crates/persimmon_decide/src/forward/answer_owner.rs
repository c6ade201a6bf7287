//! Whose answer arrives on a connection to an endpoint.

/// The request to which an answer belongs, by the request id that it carries.
///
/// An endpoint may send an answer a second time, at any later moment. The copy looks like the answer
/// to the request that is waiting then, unless it carries another request's id. So a connection is
/// kept only while each of its answers has carried the id of its request.
///
/// ```
/// use persimmon_decide::forward::AnswerOwner;
///
/// assert!(AnswerOwner::of(Some(b"a"), b"a").keeps_connection());
/// assert!(!AnswerOwner::of(None, b"a").keeps_connection());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOwner {
    /// The request that waits for it.
    Waiting,
    /// Another request.
    Other,
    /// The answer carries no id. Since its connection has brought no such answer before, it isn't a
    /// copy.
    Unnamed,
}

impl AnswerOwner {
    /// Compares the id that an answer carries with that of the request that waits for an answer.
    pub fn of(answered: Option<&[u8]>, waiting: &[u8]) -> Self {
        match answered {
            Some(id) if id == waiting => Self::Waiting,
            Some(_) => Self::Other,
            None => Self::Unnamed,
        }
    }

    /// Reports whether the answer's connection may carry a further request.
    pub fn keeps_connection(self) -> bool {
        self == Self::Waiting
    }
}

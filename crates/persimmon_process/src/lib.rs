//! Clocks, metrics and answers to callers, which processes of the fleet need in any role.

mod answer_body;
mod answer_socket;
mod clock;
mod metric_set;

pub use answer_body::{PieceReceiver, PieceSender, TruncatedAnswer, piece_channel};
pub use answer_socket::{AnswerSocket, AnswerState};
pub use clock::Clock;
pub use metric_set::MetricSet;

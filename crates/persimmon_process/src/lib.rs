//! Clocks, metrics, and connections, bodies and answers of callers, which processes of the fleet need in any
//! role.

mod answer_body;
mod answer_socket;
mod body_buffer;
mod caller_connection;
mod caller_connections;
mod clock;
mod log_limiter;
mod metric_set;
mod read_body;

pub use answer_body::{PieceReceiver, PieceSender, TruncatedAnswer, piece_channel};
pub use answer_socket::{AnswerSocket, AnswerState};
pub use body_buffer::{BodyBuffer, BodyBuffers, BodyError};
pub use caller_connection::{CallerAnswer, CallerConnection, limit_unread_bytes, serve_caller};
pub use caller_connections::{CallerConnections, ConnectionKey};
pub use clock::Clock;
pub use log_limiter::LogLimiter;
pub use metric_set::MetricSet;
pub use read_body::{ReadError, discard_body, header_bytes, read_pieces};

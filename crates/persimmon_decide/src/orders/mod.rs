//! Orders to engines: which sidecar may give them, and when.

mod fence;
mod load_pacer;
mod order;
mod order_dispatcher;
mod order_settings;

pub use fence::Fence;
pub use load_pacer::{LoadPacer, LoadRate, LoadWait, WaitReason};
pub use order::{EngineRole, EngineState, Order};
pub use order_dispatcher::{Dispatch, OrderDispatcher, OrderRefusal, OrderReply, OrderStatus};
pub use order_settings::OrderSettings;

//! Placement, admission and rate limits: which endpoint runs a request, and when.
//!
//! Routers rank endpoints ([`Placement`] over a [`Directory`]) and pay for requests with credits
//! ([`CreditPool`]). The sidecar of an endpoint decides which requests the endpoint accepts
//! ([`Admission`]) and grants credits ([`CreditHome`]).

mod admission;
mod admission_config;
mod chat_key;
mod chat_token;
mod credit;
mod credit_home;
mod credit_pool;
mod directory;
mod endpoint_hash;
mod fair_queue;
mod import_budget;
mod mean_load;
mod offer;
mod placement;
mod rank;
mod try_order;
mod waiting_requests;
mod work;

pub use admission::Admission;
pub use admission_config::AdmissionConfig;
pub use chat_key::ChatKey;
pub use chat_token::{ChatToken, ChatTokenError, Holder, TokenKey};
pub use credit::{CreditBatch, CreditDemand, CreditReply, LimitKey};
pub use credit_home::{CreditHome, credit_home_of};
pub use credit_pool::{CreditPool, Spend};
pub use directory::{Directory, DirectoryError, EndpointKey, EndpointView};
pub use endpoint_hash::EndpointHash;
pub use fair_queue::{FairQueue, QueuedRequest, WorkspaceKey};
pub use import_budget::ImportBudget;
pub use mean_load::MeanLoad;
pub use offer::{AdmittedKey, Decision, Offer, QueueUpdate, Refusal, RefuseReason};
pub use placement::{Candidate, Placement, PlacementRequest};
pub use rank::{rank_by_slots, rendezvous_score};
pub use try_order::{Try, TryOrder};
pub use work::{LoadReport, Work};

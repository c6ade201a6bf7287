//! Membership: what processes tell each other about endpoints.

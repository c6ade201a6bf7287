//! Settings of orders.

/// Time limits of [`super::OrderDispatcher`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// Time to live of an order: how long after its dispatch it may be written to the connection,
    /// in milliseconds.
    pub ttl_ms: u64,
    /// Maximum time in which a sent order reaches the engine, in milliseconds, enforced by the
    /// timeout of the connection.
    pub transit_ms: u64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { ttl_ms: 5_000, transit_ms: 2_000 }
    }
}

impl OrderSettings {
    /// Sets how long after its dispatch an order may be sent.
    #[must_use]
    pub fn with_ttl_ms(mut self, ms: u64) -> Self {
        self.ttl_ms = ms;
        self
    }

    /// Sets the maximum time in which a sent order reaches the engine.
    #[must_use]
    pub fn with_transit_ms(mut self, ms: u64) -> Self {
        self.transit_ms = ms;
        self
    }

    /// Returns the time after start in which an order of an earlier incarnation may still reach the
    /// engine, in milliseconds.
    pub fn quiet_ms(&self) -> u64 {
        self.ttl_ms + self.transit_ms
    }
}

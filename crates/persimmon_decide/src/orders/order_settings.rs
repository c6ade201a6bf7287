//! Settings of orders.

/// Bounds that [`super::OrderDispatcher`] applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// Milliseconds after which an order may no longer be sent.
    pub ttl_ms: u64,
    /// Milliseconds that an order which was sent may take to reach the engine, by the timeout of
    /// the connection.
    pub transit_ms: u64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { ttl_ms: 5_000, transit_ms: 2_000 }
    }
}

impl OrderSettings {
    /// Sets how long an order may wait to be sent.
    #[must_use]
    pub fn with_ttl_ms(mut self, ms: u64) -> Self {
        self.ttl_ms = ms;
        self
    }

    /// Sets how long a sent order may take.
    #[must_use]
    pub fn with_transit_ms(mut self, ms: u64) -> Self {
        self.transit_ms = ms;
        self
    }

    /// Milliseconds after start in which an order of an earlier life may still reach the engine.
    pub fn quiet_ms(&self) -> u64 {
        self.ttl_ms + self.transit_ms
    }
}

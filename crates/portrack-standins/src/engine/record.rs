//! What an engine remembers for the judge.

/// An order that came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSeen {
    /// `load`, `unload` or `fence`.
    pub kind: &'static str,
    /// The adapter; empty for a fence.
    pub adapter: String,
    /// The fence it carried.
    pub fence: u64,
    /// Whether it was carried out.
    pub done: bool,
    /// Requests that were running on the adapter.
    pub in_use: usize,
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSeen {
    /// The request.
    pub id: String,
    /// The adapter it was sent for.
    pub model: String,
    /// Its prompt, as JSON text.
    pub prompt: String,
    /// Whether it came to its end.
    pub whole: bool,
}

/// Everything of one engine since its beginning, restarts included.
#[derive(Debug, Clone, Default)]
pub struct EngineRecord {
    /// Orders, in order.
    pub orders: Vec<OrderSeen>,
    /// Runs, in order of their start.
    pub runs: Vec<RunSeen>,
    /// Steps made with at least one request.
    pub steps: u64,
    /// Requests in those steps, added up.
    pub stepped: u64,
    /// Requests that came for an adapter that was not there.
    pub misses: u64,
    /// Requests that came to a full batch.
    pub overfull: u64,
}

impl EngineRecord {
    /// Unloads that were carried out while requests ran on the adapter.
    pub fn unloads_in_use(&self) -> usize {
        let broken = |o: &&OrderSeen| o.kind == "unload" && o.done && o.in_use > 0;
        self.orders.iter().filter(broken).count()
    }

    /// Requests a step carried on average.
    pub fn depth(&self) -> f64 {
        self.stepped as f64 / self.steps.max(1) as f64
    }
}

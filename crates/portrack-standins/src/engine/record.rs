//! What an engine records, for checks after a test or a demonstration.

/// An order that the engine received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSeen {
    /// `load`, `unload` or `fence`.
    pub kind: &'static str,
    /// The adapter; empty for a fence.
    pub adapter: String,
    /// The fence that the order carried.
    pub fence: u64,
    /// Whether it was carried out.
    pub done: bool,
    /// Requests that were running on the adapter.
    pub in_use: usize,
}

/// A request that the engine ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSeen {
    /// The request's id.
    pub id: String,
    /// The adapter that it was sent for.
    pub model: String,
    /// Its prompt, as JSON text.
    pub prompt: String,
    /// Whether it ran to its end.
    pub whole: bool,
}

/// Everything that one engine recorded since it was created, across restarts.
#[derive(Debug, Clone, Default)]
pub struct EngineRecord {
    /// Orders in the order of their arrival.
    pub orders: Vec<OrderSeen>,
    /// Runs in the order of their start.
    pub runs: Vec<RunSeen>,
    /// Steps with at least one request.
    pub steps: u64,
    /// Sum of the batch sizes of those steps.
    pub stepped: u64,
    /// Requests rejected because their adapter was not loaded.
    pub misses: u64,
    /// Requests rejected because the batch was full.
    pub full_batch: u64,
}

impl EngineRecord {
    /// Unloads that were carried out while requests ran on the adapter.
    pub fn unloads_in_use(&self) -> usize {
        let unload_in_use = |o: &&OrderSeen| o.kind == "unload" && o.done && o.in_use > 0;
        self.orders.iter().filter(unload_in_use).count()
    }

    /// Average number of requests in a step.
    pub fn mean_batch_size(&self) -> f64 {
        self.stepped as f64 / self.steps.max(1) as f64
    }
}

//! The weight store, with a limited rate and concurrency of loads for all engines together.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Limits of the store and the duration of a load.
#[derive(Debug, Clone, Copy)]
pub struct WeightsConfig {
    /// Loads per second before throttling starts.
    pub per_second: f64,
    /// Concurrent loads at full speed; more loads slow each other down.
    pub at_once: usize,
    /// Duration of a load at full speed.
    pub load: Duration,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        Self { per_second: 3.0, at_once: 2, load: Duration::from_millis(300) }
    }
}

/// A weight store shared by engines on one thread.
#[derive(Clone)]
pub struct Weights(Rc<Inner>);

struct Inner {
    config: Cell<WeightsConfig>,
    running: Cell<usize>,
    starts: RefCell<VecDeque<Instant>>,
    most_at_once: Cell<usize>,
    over_rate: Cell<usize>,
    loads: Cell<usize>,
}

impl Weights {
    /// Creates a store without running loads.
    pub fn new(config: WeightsConfig) -> Self {
        Self(Rc::new(Inner {
            config: Cell::new(config),
            running: Cell::new(0),
            starts: RefCell::default(),
            most_at_once: Cell::new(0),
            over_rate: Cell::new(0),
            loads: Cell::new(0),
        }))
    }

    /// Waits as long as a load takes at the current concurrency. Loads beyond the rate take one
    /// second more.
    pub async fn load(&self) {
        let inner = &self.0;
        inner.loads.set(inner.loads.get() + 1);
        let config = inner.config.get();
        let penalty = self.throttle(config);
        inner.running.set(inner.running.get() + 1);
        inner.most_at_once.set(inner.most_at_once.get().max(inner.running.get()));
        let slowdown = inner.running.get().max(config.at_once) as f64 / config.at_once as f64;
        actix_rt::time::sleep(config.load.mul_f64(slowdown) + penalty).await;
        inner.running.set(inner.running.get() - 1);
    }

    fn throttle(&self, config: WeightsConfig) -> Duration {
        let now = Instant::now();
        let mut starts = self.0.starts.borrow_mut();
        let second = Duration::from_secs(1);
        while starts.front().is_some_and(|at| now.duration_since(*at) > second) {
            starts.pop_front();
        }
        starts.push_back(now);
        if starts.len() as f64 <= config.per_second.max(1.0) + 1.0 {
            return Duration::ZERO;
        }
        self.0.over_rate.set(self.0.over_rate.get() + 1);
        second
    }

    /// Highest number of concurrent loads so far.
    pub fn most_at_once(&self) -> usize {
        self.0.most_at_once.get()
    }

    /// Number of loads that were throttled.
    pub fn over_rate(&self) -> usize {
        self.0.over_rate.get()
    }

    /// Number of all loads.
    pub fn loads(&self) -> usize {
        self.0.loads.get()
    }
}

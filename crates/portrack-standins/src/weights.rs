//! The weight store: a rate and a concurrency of loads, for all engines together.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What the store bears and how long a load takes.
#[derive(Debug, Clone, Copy)]
pub struct WeightsConfig {
    /// Loads a second.
    pub per_second: f64,
    /// Loads at full speed at the same time; further ones share the speed.
    pub at_once: usize,
    /// Time of one load at full speed.
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
    /// A store with nothing running.
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

    /// Takes as long as a load takes now. Loads beyond the rate are throttled.
    pub async fn load(&self) {
        let inner = &self.0;
        inner.loads.set(inner.loads.get() + 1);
        let config = inner.config.get();
        let penalty = self.throttle(config);
        inner.running.set(inner.running.get() + 1);
        inner.most_at_once.set(inner.most_at_once.get().max(inner.running.get()));
        let crowd = inner.running.get().max(config.at_once) as f64 / config.at_once as f64;
        actix_rt::time::sleep(config.load.mul_f64(crowd) + penalty).await;
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

    /// The most loads that ran at the same time.
    pub fn most_at_once(&self) -> usize {
        self.0.most_at_once.get()
    }

    /// Loads that came faster than the rate.
    pub fn over_rate(&self) -> usize {
        self.0.over_rate.get()
    }

    /// All loads.
    pub fn loads(&self) -> usize {
        self.0.loads.get()
    }
}

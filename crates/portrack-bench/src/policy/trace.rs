//! Generates seeded request traces of the users' sizes.

use portrack::types::{AdapterVersion, Class, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One request of a trace.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time.
    pub at: Time,
    /// Hall where it enters.
    pub hall: usize,
    /// Number of its adapter.
    pub adapter: usize,
    /// Tokens it generates.
    pub tokens: u32,
    /// Urgency class.
    pub class: Class,
}

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Name in tables.
    pub name: &'static str,
    /// Data halls.
    pub halls: usize,
    /// Engines in each hall.
    pub engines: usize,
    /// Adapter slots of an engine.
    pub slots: usize,
    /// Most requests in one batch.
    pub batch: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Zipf exponent of the adapters' popularity.
    pub zipf: f64,
    /// Requests per second outside bursts.
    pub rate: f64,
    /// Requests per second within bursts.
    pub burst_rate: f64,
    /// Seconds between starts of bursts, 0 for no bursts. A burst lasts a quarter of this time.
    pub burst_every: f64,
    /// Consecutive requests of one caller for the same adapter.
    pub run_length: usize,
    /// Share of background work, in percent.
    pub background: u32,
    /// Loads per second of the weight store.
    pub loads_per_second: f64,
    /// Concurrent loads of the weight store at full speed.
    pub loads_at_once: usize,
    /// Duration of a load, in milliseconds.
    pub load_ms: u64,
    /// Weight of load stalls against batch efficiency, 0 to 100, as in the settings.
    pub stall_weight: u64,
    /// Length of the trace, in seconds.
    pub seconds: u64,
}

impl Shape {
    /// Steady chat traffic; load stalls have most weight.
    pub fn pedala() -> Self {
        Self {
            name: "Pedala-shaped",
            halls: 3,
            engines: 4,
            slots: 8,
            batch: 32,
            adapters: 5_000,
            zipf: 1.2,
            rate: 8.0,
            burst_rate: 8.0,
            burst_every: 0.0,
            run_length: 1,
            background: 10,
            loads_per_second: 3.0,
            loads_at_once: 2,
            load_ms: 600,
            stall_weight: 90,
            seconds: 1_200,
        }
    }

    /// Bursts of form processing; batch efficiency has most weight.
    pub fn gopherline() -> Self {
        Self {
            name: "Gopherline-shaped",
            halls: 4,
            engines: 3,
            rate: 4.0,
            burst_rate: 24.0,
            burst_every: 120.0,
            run_length: 4,
            loads_at_once: 10,
            stall_weight: 10,
            ..Self::pedala()
        }
    }

    /// Generates the trace of a seed. In the middle, the adapters' popularity shifts.
    pub fn trace(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let weights: Vec<f64> =
            (1..=self.adapters).map(|rank| (rank as f64).powf(-self.zipf)).collect();
        let mut sums = Vec::with_capacity(weights.len());
        let mut total = 0.0;
        for weight in &weights {
            total += weight;
            sums.push(total);
        }
        let mut names = self.shuffled(&mut rng);
        let shifted = self.shuffled(&mut rng);
        let mut arrivals = Vec::new();
        let (mut now, mut has_shifted) = (0.0, false);
        while now < self.seconds as f64 {
            if !has_shifted && now > self.seconds as f64 / 2.0 {
                self.shift(&mut names, &shifted);
                has_shifted = true;
            }
            now += -rng.random::<f64>().ln() * self.run_length as f64 / self.rate_at(now);
            let rank = sums.partition_point(|sum| *sum < rng.random::<f64>() * total);
            let adapter = names[rank.min(self.adapters - 1)];
            let hall = rng.random_range(0..self.halls);
            self.session(&mut rng, now, hall, adapter, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    fn shuffled(&self, rng: &mut SmallRng) -> Vec<usize> {
        let mut names: Vec<usize> = (0..self.adapters).collect();
        for at in (1..names.len()).rev() {
            names.swap(at, rng.random_range(0..=at));
        }
        names
    }

    /// Assigns other adapters to a third of the popularity ranks, so that cold adapters become hot.
    fn shift(&self, names: &mut [usize], shifted: &[usize]) {
        for (at, wanted) in shifted.iter().enumerate().filter(|(at, _)| at % 3 == 0) {
            if let Some(other) = names.iter().position(|name| name == wanted) {
                names.swap(at, other);
            }
        }
    }

    fn rate_at(&self, now: f64) -> f64 {
        let in_burst = self.burst_every > 0.0 && now % self.burst_every < self.burst_every / 4.0;
        if in_burst { self.burst_rate } else { self.rate }
    }

    /// Adds one caller's consecutive requests, 0.5 to 1.5 s apart.
    fn session(
        &self,
        rng: &mut SmallRng,
        start: f64,
        hall: usize,
        adapter: usize,
        arrivals: &mut Vec<Arrival>,
    ) {
        let mut at = start;
        for _ in 0..self.run_length {
            let background = rng.random_range(0..100) < self.background;
            arrivals.push(Arrival {
                at: Time((at * 1_000.0) as u64),
                hall,
                adapter,
                tokens: rng.random_range(40..200),
                class: if background { Class::Background } else { Class::Interactive },
            });
            at += 0.5 + rng.random::<f64>();
        }
    }
}

/// Name of the adapter with this number.
pub fn adapter(number: usize) -> AdapterVersion {
    format!("ad{number:05}@v1").parse().expect("a valid name")
}

//! The keys of the settings tree, defined in one table with units, ranges, defaults and meanings.

use serde::{Deserialize, Serialize};

/// Definition of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySpec {
    /// Its name.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Value if no tree node sets it.
    pub default: u64,
    /// Minimum value.
    pub min: u64,
    /// Maximum value.
    pub max: u64,
    /// Description.
    pub meaning: &'static str,
}

macro_rules! keys {
    ($($name:ident: $unit:literal, $default:literal, $min:literal..=$max:literal, $meaning:literal;)*) => {
        /// All keys, in the order of the documentation.
        pub const KEYS: &[KeySpec] = &[$(KeySpec {
            name: stringify!($name),
            unit: $unit,
            default: $default,
            min: $min,
            max: $max,
            meaning: $meaning,
        }),*];

        /// The values that a tree node sets; other values are inherited.
        #[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Overrides {
            $(
                #[doc = $meaning]
                #[serde(default, skip_serializing_if = "Option::is_none")]
                pub $name: Option<u64>,
            )*
        }

        impl Overrides {
            /// The value of a key, if this node sets it.
            pub fn get(&self, key: &str) -> Option<u64> {
                match key {
                    $(stringify!($name) => self.$name,)*
                    _ => None,
                }
            }

            /// Sets or unsets a key. Returns false if the key does not exist.
            pub fn put(&mut self, key: &str, value: Option<u64>) -> bool {
                match key {
                    $(stringify!($name) => self.$name = value,)*
                    _ => return false,
                }
                true
            }
        }
    };
}

keys! {
    deadline_ms: "ms", 30000, 10..=3600000, "Time within which a request must start, where the caller names none.";
    queue_len: "requests", 64, 0..=100000, "Requests of each class that may wait at one engine.";
    background_every: "grants", 8, 1..=1000, "One grant in this many looks at background work first.";
    stall_weight: "percent", 50, 0..=100, "Weight of load stalls against batch efficiency: 100 keeps room free, 0 fills batches.";
    load_per_second: "loads/s", 32, 1..=10000, "Rate of adapter loads that the region's weight store allows.";
    load_at_once: "loads", 8, 1..=10000, "Adapter loads at the same time that the region's weight store allows.";
    report_lag_ms: "ms", 500, 0..=60000, "How far an engine's report may lag.";
    min_hold_ms: "ms", 2000, 0..=3600000, "How long a loaded adapter stays at least.";
    demand_half_life_s: "s", 80, 1..=86400, "Time in which half of an adapter's measured demand is forgotten.";
    key_window_s: "s", 60, 1..=86400, "How long an idempotency key is remembered.";
    retry_budget: "percent", 10, 0..=100, "Retries allowed, as a share of requests.";
    body_limit: "bytes", 1048576, 1024..=16777216, "The largest body of a caller's request.";
    drain_s: "s", 60, 1..=3600, "How long a planned stop waits for requests in flight before it reports them.";
}

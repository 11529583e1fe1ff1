//! Decides whether another copy of an adapter is worth a fetch from the weight store.
//!
//! The requests of a batch hardly slow each other down until the slots run out. A server therefore
//! counts as crowded by the share of its slots in use, and only frequently requested adapters are
//! worth a copy.

/// Share of slots in use above which a server is crowded.
const CROWDED_SHARE: f64 = 0.5;
/// Difference in slot usage, as a share of the slots, by which the least loaded server must be less
/// loaded.
const IDLER_SHARE: f64 = 0.3;
/// Minimum decayed count of recent requests for the adapter at this daemon.
const MIN_REQUESTS_FOR_COPY: f64 = 2.5;
/// Share of slots in use above which a server is overloaded: requests begin to wait.
const OVERLOADED_SHARE: f64 = 0.85;
/// Share of slots in use up to which a server may receive replicas.
const IDLE_SHARE: f64 = 0.4;
/// Difference in slot usage, as a share of the slots, by which a lower-ranked load target must be
/// less loaded to be preferred.
const TARGET_IDLER_SHARE: f64 = 0.4;

/// Minimum decayed count of recent requests at this daemon for an adapter that only the other
/// region holds. What one daemon of a region is asked for twice, the region's other daemons are
/// asked for too, and a local copy saves all of them the cross-region round trip.
const MIN_REQUESTS_FOR_LOCAL_COPY: f64 = 1.5;

/// Returns whether an adapter with this many recent requests is worth a copy in this region in
/// addition to the one in another region.
pub fn is_local_copy_worthwhile(recent_requests: f64) -> bool {
    recent_requests >= MIN_REQUESTS_FOR_LOCAL_COPY
}

/// Returns whether a server with `cost` waiting requests is crowded.
pub fn is_crowded(slots: usize, cost: f64) -> bool {
    cost > slots as f64 * CROWDED_SHARE
}

/// Returns whether requests begin to wait at a server with this many requests.
pub fn is_overloaded(slots: usize, requests: u32) -> bool {
    f64::from(requests) > slots as f64 * OVERLOADED_SHARE
}

/// Returns whether a server with this many requests may receive adapters in high demand.
pub fn is_idle(slots: usize, requests: u32) -> bool {
    f64::from(requests) <= slots as f64 * IDLE_SHARE
}

/// Returns whether a crowded server, where a request costs `cost`, should be relieved by the server
/// with the lowest cost, `idlest`, for an adapter with this many recent requests.
pub fn is_copy_worthwhile(slots: usize, cost: f64, idlest: f64, recent_requests: f64) -> bool {
    let idler = cost > idlest + slots as f64 * IDLER_SHARE;
    is_crowded(slots, cost) && idler && recent_requests >= MIN_REQUESTS_FOR_COPY
}

/// How much cheaper a server must be than an adapter's first-ranked load target to be preferred.
pub fn target_margin(slots: usize) -> f64 {
    slots as f64 * TARGET_IDLER_SHARE
}

//! Whether a further copy of an adapter is worth a fetch from the weight store.
//!
//! The requests of a batch hardly slow each other down until the slots run out, so a server counts
//! as crowded by its share of slots, and only what is asked for often is worth a copy.

/// A server with this share of its slots taken is crowded.
const CROWDED_SHARE: f64 = 0.5;
/// The idlest server must be idler by this share of the slots.
const IDLER_SHARE: f64 = 0.3;
/// Requests of the last seconds, fading, that this daemon must have seen for the adapter.
const LEAST_ASKS: f64 = 2.5;
/// A server with this share of its slots taken is overloaded: requests begin to wait.
const OVERLOADED_SHARE: f64 = 0.85;
/// A server with at most this share of its slots taken may be given replicas.
const IDLE_SHARE: f64 = 0.4;
/// A later home is taken only if it is idler by this share of the slots.
const HOME_IDLER_SHARE: f64 = 0.4;

/// Requests of the last seconds, fading, that this daemon must have seen for an adapter that only the
/// other region holds: what one of a region's daemons is asked for twice, its others are asked for as
/// well, and a copy spares all of them the way.
const LEAST_ASKS_FROM_AFAR: f64 = 1.5;

/// True if an adapter that was asked for `asks` times lately is worth a copy in this region beside the
/// one in another.
pub fn is_local_copy_worthwhile(asks: f64) -> bool {
    asks >= LEAST_ASKS_FROM_AFAR
}

/// True if a server with `cost` requests waiting is crowded.
pub fn is_crowded(slots: usize, cost: f64) -> bool {
    cost > slots as f64 * CROWDED_SHARE
}

/// True if requests begin to wait at a server with so many of them.
pub fn is_overloaded(slots: usize, requests: u32) -> bool {
    f64::from(requests) > slots as f64 * OVERLOADED_SHARE
}

/// True if a server with so many requests may be given adapters with much demand.
pub fn is_idle(slots: usize, requests: u32) -> bool {
    f64::from(requests) <= slots as f64 * IDLE_SHARE
}

/// True if a crowded server, where a request costs `cost`, should get help from the `idlest` one
/// for an adapter that was asked for `asks` times lately.
pub fn is_copy_worthwhile(slots: usize, cost: f64, idlest: f64, asks: f64) -> bool {
    let idler = cost > idlest + slots as f64 * IDLER_SHARE;
    is_crowded(slots, cost) && idler && asks >= LEAST_ASKS
}

/// How much cheaper a server must be than an adapter's home to be taken in its place.
pub fn home_margin(slots: usize) -> f64 {
    slots as f64 * HOME_IDLER_SHARE
}

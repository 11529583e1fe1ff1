//! The header names that portrack reads and writes, in lower case.

/// The caller's id of a request; toward engines, the id of the reservation.
pub const REQUEST_ID: &str = "x-request-id";
/// Time within which the request must start, in milliseconds.
pub const DEADLINE: &str = "portrack-deadline-ms";
/// `interactive` or `background`.
pub const CLASS: &str = "portrack-class";
/// The service that the request belongs to, for rules and settings.
pub const SERVICE: &str = "portrack-service";
/// `no` for a request that must not run twice, `yes` for one that may.
pub const REPEATABLE: &str = "portrack-repeatable";
/// The key under which a request runs at most once, at whichever node it arrives.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Milliseconds from a request's arrival to its start on an engine; on completion responses.
pub const WAIT: &str = "portrack-wait-ms";
/// `no` or `unknown` on every refusal.
pub const RUN: &str = "portrack-run";
/// The fence of an order, toward engines.
pub const FENCE: &str = "portrack-fence";
/// The priority of a request, toward engines; lower values go first.
pub const PRIORITY: &str = "portrack-priority";

//! How much of what a server sends is read and held before its connection is given up. Servers may send bytes that are
//! no response, without end.

/// Maximum size of a response head in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of fields of a response head.
pub const MAX_FIELDS: usize = 128;
/// Maximum number of informational heads before a response.
pub const MAX_INFORMATIONAL_HEADS: usize = 16;
/// Maximum length in bytes of the line that gives the size of a chunk.
pub const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Maximum size in bytes of what follows the last chunk.
pub const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Maximum size in bytes of an event that is forwarded as a whole.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum size in bytes of a body that is read to its end and dropped, to use the connection again.
pub const MAX_SKIPPED_BYTES: usize = 256 * 1024;
/// Maximum size in bytes of a response to an order or of a report.
pub const MAX_REPORT_BYTES: usize = 1024 * 1024;
/// Maximum size in bytes of a response body that is collected before it is forwarded.
pub const MAX_COLLECTED_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size in bytes of a response body of a plain service of the product's own interface.
pub const MAX_PLAIN_BYTES: usize = 32 * 1024 * 1024;
/// Maximum size in bytes of all such bodies that are held: a quarter of the memory of a small node.
pub const MAX_PLAIN_TOTAL_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size in bytes of a line of a watch of the key-value service.
pub const MAX_WATCH_LINE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size in bytes of all bodies that are being collected: a fifth of the memory of a small node.
pub const MAX_COLLECTED_TOTAL_BYTES: usize = 32 * 1024 * 1024;

//! The audit trail: who changed what, when and why.

mod record;

pub use record::{AuditRecord, ChangeId};

//! Accepts changes: a compare-and-swap writes the value and its audit record together.

use super::change::Change;
use super::entry::{Entry, decode};
use crate::audit::{AuditRecord, ChangeId};
use crate::store::{Kv, KvError, KvPut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::rc::Rc;

/// Maximum number of attempts for a change that conflicts with other changes.
const MAX_ATTEMPTS: usize = 5;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision at which it took effect.
    pub revision: u64,
    /// Its record.
    pub record: AuditRecord,
}

/// Error of a change that was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// The change is not valid.
    #[snafu(display("{why}"))]
    Invalid {
        /// The problem.
        why: String,
    },
    /// The value differs from the expected one.
    #[snafu(display("changed meanwhile by {by}: expected {expected}, found {found}"))]
    Conflict {
        /// The expected value.
        expected: String,
        /// The current value.
        found: String,
        /// Author of the last change of the entry.
        by: String,
    },
    /// The key-value service does not respond; nothing was changed.
    #[snafu(display("the key-value service does not answer; nothing was changed"))]
    Unavailable,
    /// The key-value service stopped responding; the change may have been accepted.
    #[snafu(display("no answer from the key-value service; look for change {id} later"))]
    Unknown {
        /// The change.
        id: ChangeId,
    },
    /// Too many concurrent changes of the same entry.
    #[snafu(display("too many changes at once; try again"))]
    Busy,
}

/// Settings in the key-value service.
#[derive(Clone)]
pub struct Store {
    kv: Rc<dyn Kv>,
    prefix: String,
}

impl Store {
    /// Creates a store for settings under `prefix`.
    pub fn new(kv: Rc<dyn Kv>, prefix: impl Into<String>) -> Self {
        Self { kv, prefix: prefix.into() }
    }

    /// Key prefix of the settings entries.
    pub fn entries_prefix(&self) -> String {
        format!("{}settings/", self.prefix)
    }

    fn trail_key(&self, id: ChangeId) -> String {
        format!("{}trail/{id}", self.prefix)
    }

    /// Key prefix of the audit trail.
    pub fn trail_prefix(&self) -> String {
        format!("{}trail/", self.prefix)
    }

    /// Accepts a change. A change that was accepted before is reported as accepted without being
    /// applied again.
    pub async fn accept(
        &self,
        who: &str,
        at_unix_ms: u64,
        change: &Change,
    ) -> Result<Accepted, ChangeError> {
        if let Some(why) = change.problem() {
            return Err(ChangeError::Invalid { why });
        }
        let mut maybe_accepted = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.try_once(who, at_unix_ms, change).await {
                Ok(Some(accepted)) => return Ok(accepted),
                Ok(None) => {}
                Err(AttemptError::Final(error)) => return Err(error),
                Err(AttemptError::Unknown) => maybe_accepted = true,
                Err(AttemptError::Unavailable) if maybe_accepted => {
                    return Err(ChangeError::Unknown { id: change.id });
                }
                Err(AttemptError::Unavailable) => return Err(ChangeError::Unavailable),
            }
        }
        match maybe_accepted {
            true => Err(ChangeError::Unknown { id: change.id }),
            false => Err(ChangeError::Busy),
        }
    }

    /// One attempt; `None` if another change was written concurrently.
    async fn try_once(
        &self,
        who: &str,
        at_unix_ms: u64,
        change: &Change,
    ) -> Result<Option<Accepted>, AttemptError> {
        if let Some(accepted) = self.find(change.id).await? {
            return Ok(Some(accepted));
        }
        let key = format!("{}{}", self.entries_prefix(), change.edit.entry_key());
        let held = self.kv.get(&key).await.map_err(|_| AttemptError::Unavailable)?;
        let revision = held.as_ref().map_or(0, |held| held.revision);
        let old = match held {
            Some(held) => Some(decode(&held.value).map_err(invalid)?),
            None => None,
        };
        check_expected(change, old.as_ref())?;
        let (value, record) = change.build(who, at_unix_ms, old).map_err(invalid)?;
        let trail = serde_json::to_vec(&record).expect("a record can be encoded as JSON");
        let puts = vec![
            KvPut { key: key.clone(), value },
            KvPut { key: self.trail_key(change.id), value: trail },
        ];
        match self.kv.swap(&key, revision, puts).await {
            Ok(Some(revision)) => Ok(Some(Accepted { revision, record })),
            Ok(None) => Ok(None),
            Err(KvError::Unavailable) => Err(AttemptError::Unavailable),
            Err(KvError::Unknown) => Err(AttemptError::Unknown),
        }
    }

    /// Looks up a change in the audit trail.
    async fn find(&self, id: ChangeId) -> Result<Option<Accepted>, AttemptError> {
        let key = self.trail_key(id);
        let Some(held) = self.kv.get(&key).await.map_err(|_| AttemptError::Unavailable)? else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&held.value).map_err(|e| invalid(e.to_string()))?;
        Ok(Some(Accepted { revision: held.revision, record }))
    }

    /// The audit trail, oldest record first.
    pub async fn trail(&self) -> Result<Vec<AuditRecord>, KvError> {
        let held = self.kv.list(&self.trail_prefix()).await?;
        let records = held.entries.into_iter();
        let mut records: Vec<AuditRecord> =
            records.filter_map(|held| serde_json::from_slice(&held.value).ok()).collect();
        records.sort_by_key(|record| (record.at_unix_ms, record.id));
        Ok(records)
    }
}

enum AttemptError {
    /// No response to a read.
    Unavailable,
    /// No response to the compare-and-swap.
    Unknown,
    /// The change is rejected.
    Final(ChangeError),
}

fn invalid(why: String) -> AttemptError {
    AttemptError::Final(ChangeError::Invalid { why })
}

fn check_expected(change: &Change, old: Option<&Entry>) -> Result<(), AttemptError> {
    let Some(expected) = &change.expected else { return Ok(()) };
    let found = change.edit.current(old.map(|entry| &entry.body));
    if found == *expected {
        return Ok(());
    }
    let by = old.map_or_else(|| "nobody".to_owned(), |entry| entry.change.who.clone());
    let expected = expected.clone();
    Err(AttemptError::Final(ChangeError::Conflict { expected, found, by }))
}

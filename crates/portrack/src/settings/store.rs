//! Accepting a change: one compare-and-swap that carries value and record together.

use super::bucket::{Entry, decode};
use super::change::Change;
use crate::audit::{AuditRecord, ChangeId};
use crate::store::{Kv, KvError, KvPut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::rc::Rc;

/// Tries until a change that keeps losing races is given up.
const TRIES: usize = 5;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision at which it took effect.
    pub revision: u64,
    /// Its record.
    pub record: AuditRecord,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// It is not valid.
    #[snafu(display("{why}"))]
    Invalid {
        /// What is wrong.
        why: String,
    },
    /// Somebody else changed the same value.
    #[snafu(display("changed meanwhile by {by}: expected {expected}, found {found}"))]
    Conflict {
        /// What the operator had seen.
        expected: String,
        /// What is there.
        found: String,
        /// Who changed the entry last.
        by: String,
    },
    /// The key-value service does not answer; nothing was changed.
    #[snafu(display("the key-value service does not answer; nothing was changed"))]
    Unavailable,
    /// The key-value service stopped answering; the change may have been accepted.
    #[snafu(display("no answer from the key-value service; look for change {id} later"))]
    Unknown {
        /// The change.
        id: ChangeId,
    },
    /// Too many other changes of the same entry at once.
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
    /// Settings under `prefix`.
    pub fn new(kv: Rc<dyn Kv>, prefix: impl Into<String>) -> Self {
        Self { kv, prefix: prefix.into() }
    }

    /// What the keys of settings begin with.
    pub fn entries_prefix(&self) -> String {
        format!("{}settings/", self.prefix)
    }

    fn trail_key(&self, id: ChangeId) -> String {
        format!("{}trail/{id}", self.prefix)
    }

    /// What the keys of the trail begin with.
    pub fn trail_prefix(&self) -> String {
        format!("{}trail/", self.prefix)
    }

    /// Accepts a change, or says why not. A change that was accepted before is accepted again
    /// without effect.
    pub async fn accept(
        &self,
        who: &str,
        at_unix_ms: u64,
        change: &Change,
    ) -> Result<Accepted, ChangeError> {
        if let Some(why) = change.problem() {
            return Err(ChangeError::Invalid { why });
        }
        let mut unsure = false;
        for _ in 0..TRIES {
            match self.try_once(who, at_unix_ms, change).await {
                Ok(Some(accepted)) => return Ok(accepted),
                Ok(None) => {}
                Err(TryError::Final(error)) => return Err(error),
                Err(TryError::Lost) => unsure = true,
                Err(TryError::Away) if unsure => {
                    return Err(ChangeError::Unknown { id: change.id });
                }
                Err(TryError::Away) => return Err(ChangeError::Unavailable),
            }
        }
        match unsure {
            true => Err(ChangeError::Unknown { id: change.id }),
            false => Err(ChangeError::Busy),
        }
    }

    /// One round; `None` if another change came between.
    async fn try_once(
        &self,
        who: &str,
        at_unix_ms: u64,
        change: &Change,
    ) -> Result<Option<Accepted>, TryError> {
        if let Some(accepted) = self.find(change.id).await? {
            return Ok(Some(accepted));
        }
        let key = format!("{}{}", self.entries_prefix(), change.edit.entry_key());
        let held = self.kv.get(&key).await.map_err(|_| TryError::Away)?;
        let revision = held.as_ref().map_or(0, |held| held.revision);
        let old = match held {
            Some(held) => Some(decode(&held.value).map_err(invalid)?),
            None => None,
        };
        check_expected(change, old.as_ref())?;
        let (value, record) = change.build(who, at_unix_ms, old).map_err(invalid)?;
        let trail = serde_json::to_vec(&record).expect("a record has string keys only");
        let puts = vec![
            KvPut { key: key.clone(), value },
            KvPut { key: self.trail_key(change.id), value: trail },
        ];
        match self.kv.swap(&key, revision, puts).await {
            Ok(Some(revision)) => Ok(Some(Accepted { revision, record })),
            Ok(None) => Ok(None),
            Err(KvError::Unavailable) => Err(TryError::Away),
            Err(KvError::Unknown) => Err(TryError::Lost),
        }
    }

    /// The change, if the trail has it.
    async fn find(&self, id: ChangeId) -> Result<Option<Accepted>, TryError> {
        let key = self.trail_key(id);
        let Some(held) = self.kv.get(&key).await.map_err(|_| TryError::Away)? else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&held.value).map_err(|e| invalid(e.to_string()))?;
        Ok(Some(Accepted { revision: held.revision, record }))
    }

    /// The trail, oldest first.
    pub async fn trail(&self) -> Result<Vec<AuditRecord>, KvError> {
        let held = self.kv.list(&self.trail_prefix()).await?;
        let records = held.entries.into_iter();
        let mut records: Vec<AuditRecord> =
            records.filter_map(|held| serde_json::from_slice(&held.value).ok()).collect();
        records.sort_by_key(|record| (record.at_unix_ms, record.id));
        Ok(records)
    }
}

enum TryError {
    /// No answer to a read.
    Away,
    /// No answer to the swap.
    Lost,
    /// Decided.
    Final(ChangeError),
}

fn invalid(why: String) -> TryError {
    TryError::Final(ChangeError::Invalid { why })
}

fn check_expected(change: &Change, old: Option<&Entry>) -> Result<(), TryError> {
    let Some(expected) = &change.expected else { return Ok(()) };
    let found = change.edit.current(old.map(|entry| &entry.body));
    if found == *expected {
        return Ok(());
    }
    let by = old.map_or_else(|| "nobody".to_owned(), |entry| entry.change.who.clone());
    let expected = expected.clone();
    Err(TryError::Final(ChangeError::Conflict { expected, found, by }))
}

//! What the state service answers: keys, lists, changes, transactions and leases.

use crate::ids::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A stored key, from a read or a list.
#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    /// Key.
    pub k: String,
    /// Value.
    pub value: Value,
    /// Revision of its last change.
    pub stamp: Revision,
}

/// A page of a list.
#[derive(Debug, Clone, Deserialize)]
pub struct Items {
    /// The keys.
    pub items: Vec<Item>,
    /// The list goes on.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store.
    pub ledger: u64,
}

/// One change that a watch reports.
#[derive(Debug, Clone, Deserialize)]
pub struct Change {
    /// Key written.
    #[serde(default)]
    pub write: Option<String>,
    /// Key removed.
    #[serde(default)]
    pub delete: Option<String>,
    /// New value.
    #[serde(default)]
    pub value: Value,
    /// Revision of the change.
    pub stamp: Revision,
}

/// Answer of a watch.
#[derive(Debug, Clone, Deserialize)]
pub struct Changes {
    /// Revision up to which it speaks.
    pub ledger: u64,
    /// The changes.
    #[serde(default)]
    pub news: Vec<Change>,
}

/// Answer to a transaction.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct TxnAnswer {
    /// Revision after it.
    #[serde(default)]
    pub ledger: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// Its number.
    pub permit: u64,
}

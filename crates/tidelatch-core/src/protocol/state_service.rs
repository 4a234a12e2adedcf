//! Answers of the state service: keys, lists, changes, transactions and leases.

use crate::ids::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A stored key with its value, from a read or a list.
#[derive(Debug, Clone, Deserialize)]
pub struct StoredItem {
    /// The key.
    pub k: String,
    /// The value.
    pub value: Value,
    /// Revision of the key's last change.
    pub stamp: Revision,
}

/// A page of a list.
#[derive(Debug, Clone, Deserialize)]
pub struct StoredItems {
    /// Keys on this page, with their values.
    pub items: Vec<StoredItem>,
    /// Whether the list continues after this page.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store at which the list was read.
    pub ledger: u64,
}

/// One change that a watch reports.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreChange {
    /// Key that was written, if the change is a write.
    #[serde(default)]
    pub write: Option<String>,
    /// Key that was deleted, if the change is a deletion.
    #[serde(default)]
    pub delete: Option<String>,
    /// New value, if the change is a write.
    #[serde(default)]
    pub value: Value,
    /// Revision of the change.
    pub stamp: Revision,
}

/// Answer to a watch request.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreChanges {
    /// Revision up to which the answer contains all changes.
    pub ledger: u64,
    /// The changes, oldest first.
    #[serde(default)]
    pub news: Vec<StoreChange>,
}

/// Answer to a transaction.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct TxnAnswer {
    /// Revision of the store after the transaction.
    #[serde(default)]
    pub ledger: u64,
    /// Keys whose conditions did not hold. If there are any, nothing was changed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A lease that the state service has granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// Number of the lease.
    pub permit: u64,
}

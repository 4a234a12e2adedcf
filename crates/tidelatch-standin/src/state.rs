//! A simulated state service: keys, leases, transactions, lists and watches.

use serde_json::{Value, json};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
struct Entry {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    key: String,
    value: Option<Value>,
}

/// The key-value store of the state service. All times are in milliseconds.
#[derive(Debug, Default)]
pub struct Store {
    keys: BTreeMap<String, Entry>,
    /// Expiry time and time to live, by lease number.
    leases: BTreeMap<u64, (u64, u64)>,
    changes: Vec<Change>,
    revision: u64,
    next_lease: u64,
    /// Changes up to this revision are compacted: a watch from an earlier revision gets status 410.
    pub compacted_revision: u64,
    /// Maximum number of keys on a page of a list, below the limit that the request names.
    pub max_page_keys: Option<usize>,
    /// Whether the service is down: all requests get status 503, and no lease expires.
    pub is_down: bool,
    /// Maximum bytes of a value and maximum changes of a transaction. Larger transactions get status 400, and so do
    /// those with more than four times as many conditions as changes are allowed.
    pub transaction_limits: Option<(usize, usize)>,
    /// The largest value written, in bytes, and the most changes in one transaction, since the test last cleared this.
    pub largest_transaction: (usize, usize),
    /// Descriptions of the transactions that were refused as too large.
    pub oversized_transactions: Vec<String>,
    /// Rate limit in changes per second, if there is one. Transactions beyond it get status 429.
    pub max_changes_per_s: Option<f64>,
    rate_tokens: f64,
    rate_updated_ms: u64,
    /// Number of requests that got status 429.
    pub throttled_requests: u64,
}

/// The reply to a request: immediate, or a watch that waits for changes.
pub enum StoreReply {
    /// HTTP status and body.
    Immediate(u16, Value),
    /// A watch: key prefix, last revision seen, and the time at which it ends without changes.
    Watch(String, u64, u64),
}

/// Returns the value of a query parameter.
fn parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    path.split_once('?')?
        .1
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl Store {
    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|e| &e.value)
    }

    /// Returns the revision of a key's last change; 0: there is no such key.
    pub fn key_revision(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |e| e.revision)
    }

    /// Sets a key without a lease and without notifying watches, as if it had been written before the test.
    pub fn set_key(&mut self, key: &str, value: Value) {
        self.revision += 1;
        let (revision, lease) = (self.revision, None);
        self.keys.insert(key.to_owned(), Entry { value, revision, lease });
    }

    /// Returns all keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Ends the expired leases and deletes their keys. Returns whether a key was deleted.
    pub fn expire_leases(&mut self, now: u64) -> bool {
        if self.is_down {
            // After an outage every lease has its full time to live again.
            for (expires_ms, ttl_ms) in self.leases.values_mut() {
                *expires_ms = now + *ttl_ms;
            }
            return false;
        }
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (expires_ms, _))| *expires_ms <= now)
            .map(|(l, _)| *l)
            .collect();
        let mut changed = false;
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, e)| e.lease == Some(lease))
                .map(|(k, _)| k.clone())
                .collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                changed = true;
                self.remove(&key);
            }
        }
        changed
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.changes.push(Change {
                revision: self.revision,
                key: key.to_owned(),
                value: None,
            });
        }
    }

    /// Returns the body that a watch would get now, or `None` if no key with the prefix has changed since the revision.
    pub fn changes_since(&self, prefix: &str, since: u64) -> Option<Value> {
        let changes: Vec<Value> = self
            .changes
            .iter()
            .filter(|c| c.revision > since && c.key.starts_with(prefix))
            .map(|c| match &c.value {
                Some(v) => json!({ "write": c.key, "value": v, "stamp": c.revision }),
                None => json!({ "delete": c.key, "stamp": c.revision }),
            })
            .collect();
        (!changes.is_empty()).then(|| json!({ "ledger": self.revision, "news": changes }))
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Executes one HTTP request.
    pub fn request(&mut self, now: u64, method: &str, path: &str, body: &str) -> StoreReply {
        if self.is_down {
            return StoreReply::Immediate(503, json!({ "error": "trouble" }));
        }
        let body: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let route = path.split('?').next().unwrap_or(path);
        if route == "/leases" && method == "POST" {
            let ttl_ms = body["ttlMs"].as_u64().unwrap_or(0);
            self.next_lease += 1;
            self.leases.insert(self.next_lease, (now + ttl_ms, ttl_ms));
            return StoreReply::Immediate(200, json!({ "permit": self.next_lease }));
        }
        if let Some(id) = route.strip_prefix("/leases/").and_then(|r| r.strip_suffix("/extend")) {
            let lease = id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id));
            return match lease {
                Some((expires_ms, ttl_ms)) => {
                    *expires_ms = now + *ttl_ms;
                    StoreReply::Immediate(200, json!({}))
                }
                None => StoreReply::Immediate(404, json!({})),
            };
        }
        if route == "/changes" {
            let prefix = parameter(path, "prefix").unwrap_or("").to_owned();
            let since = parameter(path, "since").and_then(|s| s.parse().ok()).unwrap_or(0);
            let wait: u64 = parameter(path, "waitMs").and_then(|s| s.parse().ok()).unwrap_or(0);
            if since < self.compacted_revision {
                return StoreReply::Immediate(410, json!({ "error": "too old" }));
            }
            return match self.changes_since(&prefix, since) {
                Some(changes) => StoreReply::Immediate(200, changes),
                None => StoreReply::Watch(prefix, since, now + wait),
            };
        }
        if route == "/store" {
            let prefix = parameter(path, "prefix").unwrap_or("");
            let since = parameter(path, "since").unwrap_or("");
            let page_limit = parameter(path, "most")
                .and_then(|s| s.parse().ok())
                .unwrap_or(1000usize)
                .min(self.max_page_keys.unwrap_or(1000));
            let all: Vec<Value> = self
                .keys
                .iter()
                .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since)
                .map(|(k, e)| json!({ "k": k, "value": e.value, "stamp": e.revision }))
                .collect();
            let more = all.len() > page_limit;
            let items: Vec<Value> = all.into_iter().take(page_limit).collect();
            return StoreReply::Immediate(200, json!({ "items": items, "more": more, "ledger": self.revision }));
        }
        if let Some(key) = route.strip_prefix("/store/") {
            return match self.keys.get(key) {
                Some(e) => StoreReply::Immediate(200, json!({ "k": key, "value": e.value, "stamp": e.revision })),
                None => StoreReply::Immediate(404, json!({ "ledger": self.revision })),
            };
        }
        if route == "/txn" {
            return self.transaction(now, &body);
        }
        StoreReply::Immediate(400, json!({ "error": "no such path" }))
    }

    /// Executes a transaction: checks the rate, the sizes, the leases and the conditions, then applies the changes.
    fn transaction(&mut self, now: u64, body: &Value) -> StoreReply {
        let empty = Vec::new();
        let changes = body["then"].as_array().unwrap_or(&empty);
        if !self.take_rate_tokens(now, changes.len()) {
            return StoreReply::Immediate(429, json!({ "error": "too many" }));
        }
        let sizes = changes.iter().filter(|c| c["write"].is_string());
        let value = sizes.map(|c| c["value"].to_string().len()).max().unwrap_or(0);
        let conditions = body["if"].as_array().map_or(0, Vec::len);
        if let Some((bytes, ops)) = self.transaction_limits
            && (value > bytes || changes.len() > ops || conditions > 4 * ops)
        {
            self.oversized_transactions
                .push(format!("{value} bytes, {} changes: {body}", changes.len()));
            return StoreReply::Immediate(400, json!({ "error": "too large" }));
        }
        self.largest_transaction = (
            self.largest_transaction.0.max(value),
            self.largest_transaction.1.max(changes.len()),
        );
        let lost_lease = changes
            .iter()
            .filter_map(|c| c["permit"].as_u64())
            .any(|p| !self.leases.contains_key(&p));
        if lost_lease {
            return StoreReply::Immediate(400, json!({ "error": "no such lease" }));
        }
        let failed: Vec<&str> = body["if"]
            .as_array()
            .unwrap_or(&empty)
            .iter()
            .filter_map(|c| {
                let key = c["k"].as_str()?;
                let revision = self.keys.get(key).map_or(0, |e| e.revision);
                (c["stamp"].as_u64() != Some(revision)).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return StoreReply::Immediate(409, json!({ "failed": failed, "ledger": self.revision }));
        }
        self.apply(changes);
        StoreReply::Immediate(200, json!({ "ledger": self.revision }))
    }

    /// Takes this many changes from the token bucket of the rate limit. Returns whether the bucket had enough.
    fn take_rate_tokens(&mut self, now: u64, changes: usize) -> bool {
        let Some(rate) = self.max_changes_per_s else {
            return true;
        };
        let elapsed_s = now.saturating_sub(self.rate_updated_ms) as f64 / 1000.0;
        self.rate_tokens = (self.rate_tokens + elapsed_s * rate).min(rate);
        self.rate_updated_ms = now;
        if self.rate_tokens < changes as f64 {
            self.throttled_requests += 1;
            return false;
        }
        self.rate_tokens -= changes as f64;
        true
    }

    /// Applies changes under one new revision.
    fn apply(&mut self, changes: &[Value]) {
        if !changes.is_empty() {
            self.revision += 1;
        }
        for c in changes {
            if let Some(key) = c["write"].as_str() {
                let entry = Entry {
                    value: c["value"].clone(),
                    revision: self.revision,
                    lease: c["permit"].as_u64(),
                };
                self.keys.insert(key.to_owned(), entry);
                self.changes.push(Change {
                    revision: self.revision,
                    key: key.to_owned(),
                    value: Some(c["value"].clone()),
                });
            } else if let Some(key) = c["delete"].as_str() {
                self.remove(key);
            }
        }
    }
}

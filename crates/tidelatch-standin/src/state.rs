//! The state service: keys, leases, transactions, lists and watches.

use serde_json::{Value, json};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
struct Entry {
    value: Value,
    stamp: u64,
    lease: Option<u64>,
}

#[derive(Debug, Clone)]
struct Change {
    stamp: u64,
    key: String,
    value: Option<Value>,
}

/// The store. Times are milliseconds.
#[derive(Debug, Default)]
pub struct Store {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (u64, u64)>,
    changes: Vec<Change>,
    revision: u64,
    next_lease: u64,
    /// Changes up to this revision are not kept any more: older watches get 410.
    pub kept_from: u64,
    /// All requests get 503, and no lease ends.
    pub down: bool,
    /// Bytes that a value may have, and changes that a transaction may have; more than that gets 400.
    pub limits: Option<(usize, usize)>,
    /// The largest value that was written, and the most changes in a transaction, since this was cleared.
    pub largest: (usize, usize),
    /// Changes that were refused as too large.
    pub refused: Vec<String>,
    /// Changes a second, if they are counted: more than that gets 429.
    pub rate: Option<f64>,
    level: f64,
    level_at: u64,
    /// Requests that got 429.
    pub slowed: u64,
}

/// What the store says: at once, or once there is news.
pub enum Said {
    /// Status and body.
    Now(u16, Value),
    /// A watch: prefix, revision, and until when it waits.
    Later(String, u64, u64),
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    path.split_once('?')?
        .1
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl Store {
    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|e| &e.value)
    }

    /// Sets a key, as somebody did earlier.
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        let (stamp, lease) = (self.revision, None);
        self.keys.insert(key.to_owned(), Entry { value, stamp, lease });
    }

    /// All keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Ends the leases whose time is over; true if a key went with one.
    pub fn expire(&mut self, now: u64) -> bool {
        if self.down {
            // After an outage every lease has its full time again.
            for (until, ttl) in self.leases.values_mut() {
                *until = now + *ttl;
            }
            return false;
        }
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
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
                stamp: self.revision,
                key: key.to_owned(),
                value: None,
            });
        }
    }

    /// What a watch would say now, if there is news for it.
    pub fn news(&self, prefix: &str, since: u64) -> Option<Value> {
        let news: Vec<Value> = self
            .changes
            .iter()
            .filter(|c| c.stamp > since && c.key.starts_with(prefix))
            .map(|c| match &c.value {
                Some(v) => json!({ "write": c.key, "value": v, "stamp": c.stamp }),
                None => json!({ "delete": c.key, "stamp": c.stamp }),
            })
            .collect();
        (!news.is_empty()).then(|| json!({ "ledger": self.revision, "news": news }))
    }

    /// The revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Carries out one request.
    pub fn request(&mut self, now: u64, method: &str, path: &str, body: &str) -> Said {
        if self.down {
            return Said::Now(503, json!({ "error": "trouble" }));
        }
        let body: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let plain = path.split('?').next().unwrap_or(path);
        if plain == "/leases" && method == "POST" {
            let ttl = body["ttlMs"].as_u64().unwrap_or(0);
            self.next_lease += 1;
            self.leases.insert(self.next_lease, (now + ttl, ttl));
            return Said::Now(200, json!({ "permit": self.next_lease }));
        }
        if let Some(id) = plain.strip_prefix("/leases/").and_then(|r| r.strip_suffix("/extend")) {
            let known = id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id));
            return match known {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    Said::Now(200, json!({}))
                }
                None => Said::Now(404, json!({})),
            };
        }
        if plain == "/changes" {
            let prefix = query(path, "prefix").unwrap_or("").to_owned();
            let since = query(path, "since").and_then(|s| s.parse().ok()).unwrap_or(0);
            let wait: u64 = query(path, "waitMs").and_then(|s| s.parse().ok()).unwrap_or(0);
            if since < self.kept_from {
                return Said::Now(410, json!({ "error": "too old" }));
            }
            return match self.news(&prefix, since) {
                Some(news) => Said::Now(200, news),
                None => Said::Later(prefix, since, now + wait),
            };
        }
        if plain == "/store" {
            let prefix = query(path, "prefix").unwrap_or("");
            let since = query(path, "since").unwrap_or("");
            let most = query(path, "most").and_then(|s| s.parse().ok()).unwrap_or(1000usize);
            let all: Vec<Value> = self
                .keys
                .iter()
                .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since)
                .map(|(k, e)| json!({ "k": k, "value": e.value, "stamp": e.stamp }))
                .collect();
            let more = all.len() > most;
            let items: Vec<Value> = all.into_iter().take(most).collect();
            return Said::Now(200, json!({ "items": items, "more": more, "ledger": self.revision }));
        }
        if let Some(key) = plain.strip_prefix("/store/") {
            return match self.keys.get(key) {
                Some(e) => Said::Now(200, json!({ "k": key, "value": e.value, "stamp": e.stamp })),
                None => Said::Now(404, json!({ "ledger": self.revision })),
            };
        }
        if plain == "/txn" {
            return self.txn(now, &body);
        }
        Said::Now(400, json!({ "error": "no such path" }))
    }

    fn txn(&mut self, now: u64, body: &Value) -> Said {
        let empty = Vec::new();
        let changes = body["then"].as_array().unwrap_or(&empty);
        if !self.admits(now, changes.len()) {
            return Said::Now(429, json!({ "error": "too many" }));
        }
        let sizes = changes.iter().filter(|c| c["write"].is_string());
        let value = sizes.map(|c| c["value"].to_string().len()).max().unwrap_or(0);
        let conditions = body["if"].as_array().map_or(0, Vec::len);
        if let Some((bytes, ops)) = self.limits
            && (value > bytes || changes.len() > ops || conditions > 4 * ops)
        {
            self.refused
                .push(format!("{value} bytes, {} changes: {body}", changes.len()));
            return Said::Now(400, json!({ "error": "too large" }));
        }
        self.largest = (self.largest.0.max(value), self.largest.1.max(changes.len()));
        let lost_lease = changes
            .iter()
            .filter_map(|c| c["permit"].as_u64())
            .any(|p| !self.leases.contains_key(&p));
        if lost_lease {
            return Said::Now(400, json!({ "error": "no such lease" }));
        }
        let failed: Vec<&str> = body["if"]
            .as_array()
            .unwrap_or(&empty)
            .iter()
            .filter_map(|c| {
                let key = c["k"].as_str()?;
                let stamp = self.keys.get(key).map_or(0, |e| e.stamp);
                (c["stamp"].as_u64() != Some(stamp)).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return Said::Now(409, json!({ "failed": failed, "ledger": self.revision }));
        }
        self.apply(changes);
        Said::Now(200, json!({ "ledger": self.revision }))
    }

    /// Whether the rate of changes leaves room for so many.
    fn admits(&mut self, now: u64, changes: usize) -> bool {
        let Some(rate) = self.rate else { return true };
        let passed = now.saturating_sub(self.level_at) as f64 / 1000.0;
        self.level = (self.level + passed * rate).min(rate);
        self.level_at = now;
        if self.level < changes as f64 {
            self.slowed += 1;
            return false;
        }
        self.level -= changes as f64;
        true
    }

    /// Carries out changes under one new revision.
    fn apply(&mut self, changes: &[Value]) {
        if !changes.is_empty() {
            self.revision += 1;
        }
        for c in changes {
            if let Some(key) = c["write"].as_str() {
                let entry = Entry {
                    value: c["value"].clone(),
                    stamp: self.revision,
                    lease: c["permit"].as_u64(),
                };
                self.keys.insert(key.to_owned(), entry);
                self.changes.push(Change {
                    stamp: self.revision,
                    key: key.to_owned(),
                    value: Some(c["value"].clone()),
                });
            } else if let Some(key) = c["delete"].as_str() {
                self.remove(key);
            }
        }
    }
}

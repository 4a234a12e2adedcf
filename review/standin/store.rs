//! The state service, by the page "Controller nodes -> state service".

use crate::http::{Request, serve};
use crate::json::Json;
use crate::site::site;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const KEPT_CHANGES: usize = 10_000;

struct Entry {
    value: Json,
    stamp: u64,
    lease: Option<u64>,
}

/// A rate limit with a burst of one second's worth.
struct Rate {
    per_s: f64,
    left: f64,
    at: Instant,
}

impl Rate {
    fn new(per_s: f64) -> Self {
        Self {
            per_s,
            left: per_s,
            at: Instant::now(),
        }
    }
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + (now - self.at).as_secs_f64() * self.per_s).min(self.per_s);
        self.at = now;
        let enough = self.left >= n;
        if enough {
            self.left -= n;
        }
        enough
    }
}

pub struct Store {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    changes: VecDeque<(u64, String, Option<Json>)>,
    dropped_up_to: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    requests: Rate,
    writes: Rate,
    /// Bodies of the transactions that were carried out, in order.
    carried_out: Vec<String>,
    /// An outage: all requests get 503, open watches stay open, leases do not run out.
    pub down: bool,
}

fn error(status: u16, text: &str) -> (u16, String) {
    (status, Json::obj(&[("error", Json::text(text))]).to_string())
}

fn parameter<'a>(path: &'a str, name: &str) -> &'a str {
    let query = path.split_once('?').map_or("", |(_, q)| q);
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(k, _)| *k == name).map_or("", |(_, v)| v)
}

impl Store {
    pub fn start() -> std::io::Result<(SocketAddr, Arc<Mutex<Store>>)> {
        let store = Arc::new(Mutex::new(Store {
            revision: 0,
            keys: BTreeMap::new(),
            changes: VecDeque::new(),
            dropped_up_to: 0,
            leases: BTreeMap::new(),
            next_lease: 0,
            requests: Rate::new(site().state_rps),
            writes: Rate::new(site().write_rps),
            carried_out: Vec::new(),
            down: false,
        }));
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                expiring.lock().unwrap().expire();
                sleep(Duration::from_millis(10));
            }
        });
        let serving = store.clone();
        let address = serve(Arc::new(move |request| Some(answer(&serving, request))))?;
        Ok((address, store))
    }

    fn expire(&mut self) {
        let now = Instant::now();
        if self.down {
            self.leases.values_mut().for_each(|(until, ttl)| *until = now + *ttl);
            return;
        }
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.keys.remove(&key);
            self.note(key, None);
        }
    }

    fn note(&mut self, key: String, value: Option<Json>) {
        self.changes.push_back((self.revision, key, value));
        if self.changes.len() > KEPT_CHANGES {
            self.dropped_up_to = self.changes.pop_front().map_or(0, |c| c.0);
        }
    }

    fn news(&self, prefix: &str, since: u64) -> Vec<Json> {
        let changes = self
            .changes
            .iter()
            .filter(|(r, key, _)| *r > since && key.starts_with(prefix));
        let news = changes.map(|(r, key, value)| match value {
            Some(value) => Json::obj(&[
                ("write", Json::text(key)),
                ("value", value.clone()),
                ("stamp", Json::num(r)),
            ]),
            None => Json::obj(&[("delete", Json::text(key)), ("stamp", Json::num(r))]),
        });
        news.collect()
    }

    fn ledger(&self) -> (&'static str, Json) {
        ("ledger", Json::num(self.revision))
    }

    fn list(&self, path: &str) -> (u16, String) {
        let (prefix, since) = (parameter(path, "prefix"), parameter(path, "since"));
        let most = parameter(path, "most").parse().unwrap_or(1000).min(1000);
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, e) in self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since)
        {
            let item = Json::obj(&[
                ("k", Json::text(key)),
                ("value", e.value.clone()),
                ("stamp", Json::num(e.stamp)),
            ]);
            bytes += item.to_string().len();
            if items.len() >= most || bytes > 500 * 1024 {
                more = true;
                break;
            }
            items.push(item);
        }
        let body = Json::obj(&[("items", Json::Arr(items)), ("more", Json::Bool(more)), self.ledger()]);
        (200, body.to_string())
    }

    /// The network delivers once more the first transaction that was carried out and contains a text. Returns its body
    /// and the answer.
    pub fn repeat_txn(&mut self, text: &str) -> Option<(String, (u16, String))> {
        let body = self.carried_out.iter().find(|body| body.contains(text))?.clone();
        let answer = self.txn(&body);
        Some((body, answer))
    }

    fn txn(&mut self, body: &str) -> (u16, String) {
        let Some(txn) = Json::parse(body) else {
            return error(400, "malformed");
        };
        let (conditions, changes) = (txn.get("if").arr(), txn.get("then").arr());
        if !self.writes.take(changes.len() as f64) {
            return error(429, "too many");
        }
        let too_large = |c: &Json| c.get("value").to_string().len() as f64 > site().value_kb * 1024.0;
        if changes.len() > site().txn_ops
            || conditions.len() > 4 * site().txn_ops
            || body.len() > 64 * 1024
            || changes.iter().any(too_large)
        {
            return error(400, "too large");
        }
        if changes
            .iter()
            .filter_map(|c| c.get("permit").u64())
            .any(|id| !self.leases.contains_key(&id))
        {
            return error(400, "no such lease");
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |e| e.stamp);
        let failed: Vec<Json> = conditions
            .iter()
            .filter(|c| c.get("stamp").u64() != Some(stamp(c.get("k").str())))
            .map(|c| c.get("k").clone())
            .collect();
        if !failed.is_empty() {
            return (
                409,
                Json::obj(&[("failed", Json::Arr(failed)), self.ledger()]).to_string(),
            );
        }
        if !changes.is_empty() {
            self.revision += 1;
            self.carried_out.push(body.to_owned());
        }
        for change in changes {
            if let Json::Str(key) = change.get("write") {
                let entry = Entry {
                    value: change.get("value").clone(),
                    stamp: self.revision,
                    lease: change.get("permit").u64(),
                };
                self.note(key.clone(), Some(entry.value.clone()));
                self.keys.insert(key.clone(), entry);
            } else if self.keys.remove(change.get("delete").str()).is_some() {
                self.note(change.get("delete").str().to_owned(), None);
            }
        }
        (200, Json::obj(&[self.ledger()]).to_string())
    }
}

fn answer(store: &Mutex<Store>, request: &Request) -> (u16, String) {
    let route = request.path.split('?').next().unwrap_or("");
    let mut s = store.lock().unwrap();
    if s.down {
        return error(503, "trouble");
    }
    if !s.requests.take(1.0) {
        return error(429, "too many");
    }
    match (request.method.as_str(), route) {
        ("POST", "/txn") => s.txn(&request.body),
        ("POST", "/leases") => {
            let ttl = Json::parse(&request.body)
                .and_then(|b| b.get("ttlMs").u64())
                .unwrap_or(0);
            if !(100..=600_000).contains(&ttl) {
                return error(400, "malformed");
            }
            s.next_lease += 1;
            let (id, ttl) = (s.next_lease, Duration::from_millis(ttl));
            s.leases.insert(id, (Instant::now() + ttl, ttl));
            (200, Json::obj(&[("permit", Json::num(id))]).to_string())
        }
        ("GET", "/store") => s.list(&request.path),
        ("GET", "/changes") => {
            let (prefix, since) = (parameter(&request.path, "prefix"), parameter(&request.path, "since"));
            let since = since.parse().unwrap_or(0);
            let wait: u64 = parameter(&request.path, "waitMs").parse().unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait.min(60_000));
            loop {
                if since < s.dropped_up_to {
                    return error(410, "too old");
                }
                let news = s.news(prefix, since);
                if !s.down && (!news.is_empty() || Instant::now() >= until) {
                    return (200, Json::obj(&[s.ledger(), ("news", Json::Arr(news))]).to_string());
                }
                drop(s);
                sleep(Duration::from_millis(4));
                s = store.lock().unwrap();
            }
        }
        (method, route) => {
            if let Some(key) = route.strip_prefix("/store/").filter(|_| method == "GET") {
                return match s.keys.get(key) {
                    Some(e) => {
                        let mut body = vec![
                            ("k", Json::text(key)),
                            ("value", e.value.clone()),
                            ("stamp", Json::num(e.stamp)),
                        ];
                        body.extend(e.lease.map(|id| ("permit", Json::num(id))));
                        (200, Json::obj(&body).to_string())
                    }
                    None => (404, Json::obj(&[s.ledger()]).to_string()),
                };
            }
            let Some(rest) = route.strip_prefix("/leases/") else {
                return error(400, "no such path");
            };
            let (id, extend) = rest.strip_suffix("/extend").map_or((rest, false), |id| (id, true));
            let id = id.parse().unwrap_or(0);
            let Some((until, ttl)) = s.leases.get_mut(&id) else {
                return error(404, "no such lease");
            };
            if extend {
                *until = Instant::now() + *ttl;
            } else {
                s.end_lease(id);
            }
            (200, "{}".to_owned())
        }
    }
}

//! The state service, by the operators' protocol. Each controller has a port of its own to it, which can be cut.

use crate::http::{Request, Response};
use crate::json::{quote, Json};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

struct Entry {
    value: Json,
    stamp: u64,
    permit: Option<u64>,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (Instant, u64)>,
    news: Vec<(u64, String, Option<Json>)>,
    ledger: u64,
    next_lease: u64,
    /// All requests get 503, open watches wait.
    down: bool,
    /// Controllers that alone get 503; their open watches wait.
    refused: Vec<usize>,
    /// Of a thousand transactions, how many get no answer and are carried out later; and how many are carried out at
    /// once without an answer.
    late: (u64, u64),
    seed: u64,
    /// Answers take up to so many milliseconds longer, before and after a request is carried out.
    slow_ms: u64,
}

fn random(seed: &mut u64) -> u64 {
    *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
    *seed >> 33
}

#[derive(Default)]
pub struct State {
    store: Mutex<Store>,
    changed: Condvar,
}

fn parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let query = path.split_once('?')?.1;
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl Store {
    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.news.push((self.ledger, key.to_owned(), None));
        }
    }
    fn is_refused(&self, from: usize) -> bool {
        self.down || self.refused.contains(&from)
    }
    fn news_since(&self, prefix: &str, since: u64) -> Option<String> {
        let at = self.news.partition_point(|n| n.0 <= since);
        let news: Vec<String> = self.news[at..]
            .iter()
            .filter(|n| n.1.starts_with(prefix))
            .map(|(stamp, key, value)| match value {
                Some(v) => format!("{{\"write\":{},\"value\":{v},\"stamp\":{stamp}}}", quote(key)),
                None => format!("{{\"delete\":{},\"stamp\":{stamp}}}", quote(key)),
            })
            .collect();
        (!news.is_empty()).then(|| format!("{{\"ledger\":{},\"news\":[{}]}}", self.ledger, news.join(",")))
    }
    fn txn(&mut self, body: &Json) -> (u16, String) {
        let then = body.get("then").items();
        if then
            .iter()
            .any(|c| c.get("permit").u64().is_some_and(|p| !self.leases.contains_key(&p)))
        {
            return (400, "{\"error\":\"no such lease\"}".into());
        }
        let stamp = |k: &str| self.keys.get(k).map_or(0, |e| e.stamp);
        let conditions = body.get("if").items().iter();
        let failed: Vec<String> = conditions
            .filter(|c| c.get("stamp").u64() != Some(stamp(c.get("k").str())))
            .map(|c| quote(c.get("k").str()))
            .collect();
        if !failed.is_empty() {
            return (
                409,
                format!("{{\"failed\":[{}],\"ledger\":{}}}", failed.join(","), self.ledger),
            );
        }
        if !then.is_empty() {
            self.ledger += 1;
        }
        for c in then {
            let key = c.get("write").str();
            if key.is_empty() {
                self.remove(c.get("delete").str());
                continue;
            }
            let value = c.get("value").clone();
            self.news.push((self.ledger, key.to_owned(), Some(value.clone())));
            let entry = Entry {
                value,
                stamp: self.ledger,
                permit: c.get("permit").u64(),
            };
            self.keys.insert(key.to_owned(), entry);
        }
        (200, format!("{{\"ledger\":{}}}", self.ledger))
    }
}

impl State {
    /// Ends leases that have run out; called every few milliseconds.
    pub fn expire(&self) {
        let mut s = self.store.lock().unwrap();
        let now = Instant::now();
        if s.down {
            // After an outage every lease has its full time again.
            for (end, ttl) in s.leases.values_mut() {
                *end = now + Duration::from_millis(*ttl);
            }
            return;
        }
        let ended: Vec<u64> = s
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            s.leases.remove(&id);
            let keys: Vec<String> = s
                .keys
                .iter()
                .filter(|(_, e)| e.permit == Some(id))
                .map(|(k, _)| k.clone())
                .collect();
            if !keys.is_empty() {
                s.ledger += 1;
            }
            for k in keys {
                s.remove(&k);
            }
            self.changed.notify_all();
        }
    }
    pub fn set_down(&self, down: bool) {
        self.store.lock().unwrap().down = down;
        self.changed.notify_all();
    }
    pub fn set_refused(&self, from: usize, refused: bool) {
        let mut s = self.store.lock().unwrap();
        s.refused.retain(|f| *f != from);
        if refused {
            s.refused.push(from);
        }
        self.changed.notify_all();
    }
    pub fn set_late(&self, late: u64, lost: u64) {
        self.store.lock().unwrap().late = (late, lost);
    }
    pub fn get(&self, key: &str) -> Json {
        self.store
            .lock()
            .unwrap()
            .keys
            .get(key)
            .map_or(Json::Null, |e| e.value.clone())
    }
    pub fn list(&self, prefix: &str) -> Vec<(String, Json)> {
        let s = self.store.lock().unwrap();
        let range = s
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix));
        range.map(|(k, e)| (k.clone(), e.value.clone())).collect()
    }
    pub fn set_slow(&self, ms: u64) {
        self.store.lock().unwrap().slow_ms = ms;
    }
    fn delay(&self) {
        let ms = {
            let mut s = self.store.lock().unwrap();
            let mut seed = s.seed.wrapping_add(0x5851_F42D);
            let ms = if s.slow_ms == 0 {
                0
            } else {
                random(&mut seed) % s.slow_ms
            };
            s.seed = seed;
            ms
        };
        if ms > 0 {
            std::thread::sleep(Duration::from_millis(ms));
        }
    }
    pub fn request(&self, from: usize, r: Request) -> Response {
        self.delay();
        let answer = self.carry_out(from, r);
        self.delay();
        answer
    }
    fn carry_out(&self, from: usize, r: Request) -> Response {
        let mut s = self.store.lock().unwrap();
        if s.is_refused(from) {
            return Some((503, "{\"error\":\"trouble\"}".into()));
        }
        let route = r.path.split('?').next().unwrap_or("");
        let answer = match (r.method.as_str(), route) {
            ("POST", "/leases") => {
                let ttl = Json::parse(&r.body).and_then(|b| b.get("ttlMs").u64()).unwrap_or(5000);
                s.next_lease += 1;
                let id = s.next_lease;
                s.leases.insert(id, (Instant::now() + Duration::from_millis(ttl), ttl));
                (200, format!("{{\"permit\":{id}}}"))
            }
            ("POST", "/txn")
                if s.late != (0, 0) && {
                    let mut seed = s.seed.wrapping_add(s.ledger);
                    random(&mut seed);
                    s.seed = seed;
                    random(&mut seed) % 1000 < s.late.0 + s.late.1
                } =>
            {
                let is_late = {
                    let mut seed = s.seed ^ 77;
                    random(&mut seed) % (s.late.0 + s.late.1) < s.late.0
                };
                if is_late {
                    let wait = 2000 + {
                        let mut seed = s.seed ^ 99;
                        random(&mut seed) % 10_000
                    };
                    drop(s);
                    std::thread::sleep(Duration::from_millis(wait));
                    s = self.store.lock().unwrap();
                }
                if let Some(b) = Json::parse(&r.body) {
                    s.txn(&b);
                }
                self.changed.notify_all();
                drop(s);
                if !is_late {
                    std::thread::sleep(Duration::from_millis(5000));
                }
                return None;
            }
            ("POST", "/txn") => {
                let answer = Json::parse(&r.body).map_or((400, "{}".into()), |b| s.txn(&b));
                self.changed.notify_all();
                answer
            }
            ("POST", route) => {
                let id = route.strip_prefix("/leases/").and_then(|p| p.strip_suffix("/extend"));
                match id
                    .and_then(|id| id.parse().ok())
                    .and_then(|id: u64| s.leases.get_mut(&id))
                {
                    Some((end, ttl)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl);
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/changes") => {
                let prefix = parameter(&r.path, "prefix").unwrap_or("").to_owned();
                let since: u64 = parameter(&r.path, "since").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait: u64 = parameter(&r.path, "waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let oldest = s.news.len().saturating_sub(10_000);
                if oldest > 0 && s.news[oldest - 1].0 > since {
                    return Some((410, "{}".into()));
                }
                loop {
                    if !s.is_refused(from) {
                        if let Some(news) = s.news_since(&prefix, since) {
                            return Some((200, news));
                        }
                        if Instant::now() >= until {
                            return Some((200, format!("{{\"ledger\":{},\"news\":[]}}", s.ledger)));
                        }
                    }
                    s = self.changed.wait_timeout(s, Duration::from_millis(100)).unwrap().0;
                }
            }
            ("GET", "/store") => {
                let prefix = parameter(&r.path, "prefix").unwrap_or("");
                let since = parameter(&r.path, "since").unwrap_or("");
                let most: usize = parameter(&r.path, "most").and_then(|v| v.parse().ok()).unwrap_or(1000);
                let mut items = Vec::new();
                let (mut bytes, mut more) = (0, false);
                let range = s
                    .keys
                    .range(prefix.to_owned()..)
                    .take_while(|(k, _)| k.starts_with(prefix));
                for (k, e) in range.filter(|(k, _)| k.as_str() > since) {
                    let item = format!("{{\"k\":{},\"value\":{},\"stamp\":{}}}", quote(k), e.value, e.stamp);
                    bytes += item.len();
                    if items.len() >= most.min(1000) || bytes > 500_000 {
                        more = true;
                        break;
                    }
                    items.push(item);
                }
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"more\":{more},\"ledger\":{}}}",
                        items.join(","),
                        s.ledger
                    ),
                )
            }
            ("GET", route) => {
                let key = route.strip_prefix("/store/").unwrap_or("");
                match s.keys.get(key) {
                    Some(e) => {
                        let permit = e.permit.map_or("null".to_owned(), |p| p.to_string());
                        let k = quote(key);
                        (
                            200,
                            format!(
                                "{{\"k\":{k},\"value\":{},\"stamp\":{},\"permit\":{permit}}}",
                                e.value, e.stamp
                            ),
                        )
                    }
                    None => (404, format!("{{\"ledger\":{}}}", s.ledger)),
                }
            }
            ("DELETE", _) => (200, "{}".into()),
            _ => (400, "{}".into()),
        };
        Some(answer)
    }
}

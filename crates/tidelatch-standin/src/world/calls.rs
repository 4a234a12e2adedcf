//! Calls of the controllers to the state service, the cloud and the workers.

use super::World;
use super::event::{Caller, Event, ServiceRequest, Watch};
use super::network::Delivery;
use crate::state::StoreReply;
use serde_json::{Value, json};
use tidelatch_core::{Input, Method, Target};

/// Milliseconds between two looks of an open watch.
const WATCH_MS: u64 = 5;

impl World {
    /// A call as it goes over the network.
    pub(super) fn service_request(target: &Target, method: Method, path: String, body: String) -> ServiceRequest {
        let to = match target {
            Target::State => "state".to_owned(),
            Target::Cloud => "cloud".to_owned(),
            Target::Worker(address) => address.split(':').next().unwrap_or_default().to_owned(),
        };
        let method = match method {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
        };
        ServiceRequest { to, method, path, body }
    }

    /// A controller makes a call.
    pub(super) fn call(&mut self, from: Caller, target: &Target, request: ServiceRequest, timeout_ms: u64) {
        self.count_call(target, &request.body);
        let what = format!("{} {}", request.method, request.path);
        let delivery = self.deliver(&format!("berth-{}", from.node), &request.to, &what, &request.body);
        if let Some(n) = self.nodes.get_mut(from.node) {
            n.open.insert(from.call);
            if *target == Target::State {
                n.refused = delivery == Delivery::Refused;
            }
        }
        if delivery == Delivery::Refused {
            let result = Some((503, json!({ "error": "trouble" }).to_string()));
            self.schedule(2, Event::RequestAnswered { to: from, result });
        }
        self.schedule(timeout_ms, Event::RequestAnswered { to: from, result: None });
        if let Delivery::Copied(late) = delivery {
            let copy = Event::RequestArrives {
                from,
                request: request.clone(),
                answered: None,
            };
            self.schedule(late, copy);
        }
        if let Some(after) = delivery.request_delay() {
            let answered = delivery.answer_delay();
            self.schedule(
                after,
                Event::RequestArrives {
                    from,
                    request,
                    answered,
                },
            );
        }
    }

    fn count_call(&mut self, target: &Target, body: &str) {
        match target {
            Target::State => {
                self.sent.state_requests += 1;
                self.sent.state_bytes += body.len() as u64;
                let transaction = serde_json::from_str::<Value>(body).unwrap_or(Value::Null);
                self.sent.changes += transaction["then"].as_array().map_or(0, Vec::len) as u64;
            }
            Target::Cloud => self.sent.cloud_calls += 1,
            Target::Worker(_) => {
                self.sent.commands += 1;
                self.count_starts(body);
            }
        }
    }

    /// A call has come to its receiver.
    pub(super) fn request_arrives(&mut self, from: Caller, request: &ServiceRequest, answered: Option<u64>) {
        let result = match request.to.as_str() {
            "state" => match self
                .store
                .request(self.now, request.method, &request.path, &request.body)
            {
                StoreReply::Immediate(status, body) => Some((status, body.to_string())),
                StoreReply::Watch(prefix, since, until) => {
                    let watch = Watch { prefix, since, until };
                    self.schedule(1, Event::Watch { from, watch });
                    None
                }
            },
            "cloud" => Some(self.request_at_cloud(request)),
            machine => self.direct_command(machine, &request.path, &request.body),
        };
        if let (Some(result), Some(after)) = (result, answered) {
            let result = Some(result);
            self.schedule(after, Event::RequestAnswered { to: from, result });
        }
    }

    fn request_at_cloud(&mut self, request: &ServiceRequest) -> (u16, String) {
        let (status, body, rented) = self.cloud.request(request.method, &request.path, &request.body);
        for name in rented {
            if let Some(after) = self.cloud.take_next_boot_ms() {
                self.schedule(after, Event::Boot(name));
            }
        }
        let gone: Vec<String> = self
            .workers
            .keys()
            .filter(|w| !self.cloud.machines.contains_key(*w))
            .cloned()
            .collect();
        for worker in gone {
            self.workers.remove(&worker);
            self.observe_machine(&worker, &[]);
        }
        (status, body.to_string())
    }

    /// The result of a call, or the end of the time for it, has come to the controller.
    pub(super) fn request_answered(&mut self, to: Caller, result: Option<(u16, String)>) {
        if self.ends_call(to) {
            let result = result.map(|(status, body)| (status, body.into_bytes()));
            self.feed_input(to.node, Input::Reply { call: to.call, result });
        }
    }

    /// An open watch looks whether there is news, and waits on if there is none.
    pub(super) fn watch(&mut self, from: Caller, watch: Watch) {
        if !self.alive(from.node, from.life) {
            return;
        }
        let waits = self.store.down || self.nodes.get(from.node).is_some_and(|n| n.refused);
        let news = if waits {
            None
        } else {
            self.store.changes_since(&watch.prefix, watch.since)
        };
        let over = self.now >= watch.until && !waits;
        if news.is_none() && !over {
            self.schedule(WATCH_MS, Event::Watch { from, watch });
            return;
        }
        let news = news.unwrap_or_else(|| json!({ "ledger": self.store.revision(), "news": [] }));
        let result = Some((200, news.to_string()));
        self.schedule(2, Event::RequestAnswered { to: from, result });
    }
}

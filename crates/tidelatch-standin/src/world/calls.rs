//! Delivers the controllers' calls to the state service, the cloud and the workers.

use super::World;
use super::event::{Caller, Event, ServiceRequest, Watch};
use super::network::Delivery;
use crate::state::StoreReply;
use serde_json::{Value, json};
use tidelatch_core::{Input, Method, Target};

/// Milliseconds between two checks of an open watch for changes.
const WATCH_CHECK_INTERVAL_MS: u64 = 5;

impl World {
    /// Converts a call of a controller into a request on the simulated network.
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

    /// Sends a controller's call over the network, with the faults that the injector decides.
    pub(super) fn send_call(&mut self, from: Caller, target: &Target, request: ServiceRequest, timeout_ms: u64) {
        self.count_call(target, &request.body);
        let method_and_path = format!("{} {}", request.method, request.path);
        let delivery = self.decide_delivery(
            &format!("berth-{}", from.controller),
            &request.to,
            &method_and_path,
            &request.body,
        );
        if let Some(process) = self.controllers.get_mut(from.controller) {
            process.pending_calls.insert(from.call);
            if *target == Target::State {
                process.is_refused_by_state = delivery == Delivery::Refused;
                if delivery == Delivery::Reset {
                    process.state_reset_ms = Some(self.now);
                }
            }
        }
        if delivery == Delivery::Refused {
            let result = Some((503, json!({ "error": "trouble" }).to_string()));
            self.schedule(2, Event::RequestAnswered { to: from, result });
        }
        if delivery == Delivery::Reset {
            self.schedule(2, Event::RequestAnswered { to: from, result: None });
        }
        self.schedule(timeout_ms, Event::RequestAnswered { to: from, result: None });
        if let Delivery::Copied(late) = delivery {
            let copy = Event::RequestArrives {
                from,
                request: request.clone(),
                answer_delay_ms: None,
            };
            self.schedule(late, copy);
        }
        if let Some(after) = delivery.request_delay() {
            let answer_delay_ms = delivery.answer_delay();
            self.schedule(
                after,
                Event::RequestArrives {
                    from,
                    request,
                    answer_delay_ms,
                },
            );
        }
    }

    /// Adds a call to the statistics of sent requests.
    fn count_call(&mut self, target: &Target, body: &str) {
        match target {
            Target::State => {
                self.message_counts.state_requests += 1;
                self.message_counts.state_bytes += body.len() as u64;
                let transaction = serde_json::from_str::<Value>(body).unwrap_or(Value::Null);
                self.message_counts.state_changes += transaction["then"].as_array().map_or(0, Vec::len) as u64;
            }
            Target::Cloud => self.message_counts.cloud_calls += 1,
            Target::Worker(_) => {
                self.message_counts.commands += 1;
                self.count_start_orders(body);
            }
        }
    }

    /// Executes a request at its receiver and schedules the answer.
    pub(super) fn receive_request(&mut self, from: Caller, request: &ServiceRequest, answer_delay_ms: Option<u64>) {
        let result = match request.to.as_str() {
            "state" => match self
                .store
                .request(self.now, request.method, &request.path, &request.body)
            {
                StoreReply::Immediate(status, body) => Some((status, body.to_string())),
                StoreReply::Watch(prefix, since, until) => {
                    let opened_ms = self.now;
                    let watch = Watch {
                        prefix,
                        since,
                        opened_ms,
                        until,
                    };
                    self.schedule(1, Event::CheckWatch { from, watch });
                    None
                }
            },
            "cloud" => Some(self.request_at_cloud(request)),
            machine => self.direct_command(machine, &request.path, &request.body),
        };
        if let (Some(result), Some(after)) = (result, answer_delay_ms) {
            let result = Some(result);
            self.schedule(after, Event::RequestAnswered { to: from, result });
        }
    }

    /// Executes a request at the cloud, schedules the boots of rented machines and removes the workers of deleted ones.
    fn request_at_cloud(&mut self, request: &ServiceRequest) -> (u16, String) {
        let (status, body, rented) = self.cloud.request(request.method, &request.path, &request.body);
        for name in rented {
            if let Some(after) = self.cloud.take_next_boot_ms() {
                self.schedule(after, Event::BootMachine(name));
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

    /// Hands the result of a call, or `None` after its timeout, to the controller.
    pub(super) fn receive_result(&mut self, to: Caller, result: Option<(u16, String)>) {
        if self.complete_call(to) {
            let result = result.map(|(status, body)| (status, body.into_bytes()));
            self.deliver_input(to.controller, Input::Reply { call: to.call, result });
        }
    }

    /// Checks an open watch for changes. Without changes the watch stays open until its end; it also stays open while
    /// the state service is down or refuses this controller's requests. A reset of the controller's connections ends it.
    pub(super) fn check_watch(&mut self, from: Caller, watch: Watch) {
        if !self.is_current(from.controller, from.incarnation) {
            return;
        }
        let was_reset = self
            .controllers
            .get(from.controller)
            .is_some_and(|process| process.state_reset_ms.is_some_and(|at| at >= watch.opened_ms));
        if was_reset {
            self.schedule(2, Event::RequestAnswered { to: from, result: None });
            return;
        }
        let is_blocked = self.store.is_down
            || self
                .controllers
                .get(from.controller)
                .is_some_and(|process| process.is_refused_by_state);
        let changes = if is_blocked {
            None
        } else {
            self.store.changes_since(&watch.prefix, watch.since)
        };
        let has_timed_out = self.now >= watch.until && !is_blocked;
        if changes.is_none() && !has_timed_out {
            self.schedule(WATCH_CHECK_INTERVAL_MS, Event::CheckWatch { from, watch });
            return;
        }
        let changes = changes.unwrap_or_else(|| json!({ "ledger": self.store.revision(), "news": [] }));
        let result = Some((200, changes.to_string()));
        self.schedule(2, Event::RequestAnswered { to: from, result });
    }
}

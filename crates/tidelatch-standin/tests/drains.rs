//! Machines are drained in steps, within the teams' budgets, whatever else happens.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::assert_no_breaches;
use tidelatch_standin::{InterruptionRecorder, Size, World, job};

const LEASE_MS: u64 = 7_200;
/// Time for a drain of a few machines, once there are no faults any more.
const DRAIN_MS: u64 = 600_000;

fn operator(disruption: &Value) -> Operator {
    let detection = json!({ "prepare": true });
    let operator = json!({ "disruption": disruption, "failure_detection": detection });
    let operator: Operator = serde_json::from_value(operator).expect("the settings are in form");
    assert_eq!(operator.faults(), []);
    operator
}

fn with_drain(drain: &Value) -> Operator {
    operator(&json!({ "drains": [drain] }))
}

/// A deployment in which each team has two services of three replicas, which run.
struct Deployment {
    world: World,
    recorder: InterruptionRecorder,
    services: Vec<String>,
}

impl Deployment {
    fn start(controllers: usize, operator: &Operator) -> Self {
        let size = Size {
            controllers,
            teams: controllers as u32,
            limit: 20.0,
            write_rps: 200.0,
            ..Size::default()
        };
        let mut world = World::sized(
            &Operator {
                disruption: None,
                ..operator.clone()
            },
            size,
        );
        world.cloud.most = 60;
        world.run(5_000);
        let mut services = Vec::new();
        let mut recorder = InterruptionRecorder::new(LEASE_MS);
        for team in 0..controllers as u32 {
            let jobs = [10 * team + 1, 10 * team + 2];
            for id in jobs {
                world.accepted(0, &job(id, team, "standing", 3));
                services.push(format!("job-{id:06}"));
            }
            let names = jobs.map(|id| format!("job-{id:06}"));
            recorder.limit(&format!("team-{team}"), &[&names[0], &names[1]], 1);
        }
        let mut deployment = Self {
            world,
            recorder,
            services,
        };
        assert!(
            deployment.run_until(90_000, Self::all_run),
            "{}",
            deployment.world.trace()
        );
        deployment
    }

    fn all_run(&self) -> bool {
        self.services.iter().all(|job| self.world.running(job) == 3)
    }

    fn sample(&mut self) {
        let running = self.world.running_units();
        let services: BTreeMap<String, String> = running
            .into_iter()
            .filter(|(unit, _)| self.services.iter().any(|job| unit.starts_with(job.as_str())))
            .collect();
        self.recorder.sample(self.world.now, services);
    }

    fn run(&mut self, ms: u64) {
        let until = self.world.now + ms;
        while self.world.now < until {
            self.world.run(20.min(until - self.world.now));
            self.sample();
        }
    }

    fn run_until(&mut self, ms: u64, holds: impl Fn(&Self) -> bool) -> bool {
        let until = self.world.now + ms;
        while self.world.now < until {
            if holds(self) {
                return true;
            }
            self.run(100);
        }
        holds(self)
    }

    /// All controllers are replaced one after the other by ones with these settings.
    fn upgrade(&mut self, controllers: usize, operator: &Operator) {
        for node in 0..controllers {
            self.world.crash(node);
            self.world.operator(node, operator);
            self.world.start(node);
            self.run(12_000);
        }
    }

    fn head(&self, drain: &str) -> Option<Value> {
        self.world.store.get(&format!("t/d/{drain}")).cloned()
    }

    fn is_done(&self, drain: &str) -> bool {
        self.head(drain).is_some_and(|head| head["done"] == true)
    }

    fn assert_within_budgets(&self) {
        assert_eq!(self.recorder.excesses(), [], "{}", self.world.trace());
        assert_no_breaches(&self.world);
    }
}

#[test]
fn all_machines_are_replaced_one_step_at_a_time() {
    let operator = with_drain(&json!({ "name": "all", "machine_type": "m2", "surge": 1, "max_machines": 2 }));
    let mut deployment = Deployment::start(3, &operator);
    let before = deployment.world.roster();
    deployment.upgrade(3, &operator);
    assert!(
        deployment.run_until(DRAIN_MS, |d| d.is_done("all")),
        "{}",
        deployment.world.trace()
    );
    deployment.run(20_000);
    let after = deployment.world.roster();
    assert!(
        before.iter().all(|machine| !after.contains(machine)),
        "{before:?} {after:?}"
    );
    assert!(deployment.all_run(), "{}", deployment.world.trace());
    deployment.assert_within_budgets();
    // Each replica left its machine once, or once more with a replacement that was found to be one itself.
    assert!(
        deployment.recorder.interruptions().len() >= 18,
        "{:?}",
        deployment.recorder.interruptions()
    );
}

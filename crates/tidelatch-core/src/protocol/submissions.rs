//! What users send: jobs as they describe them, and what is wrong with a description.

use crate::ids::JobId;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// What the tasks of a job are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each run to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// Tasks that run all at the same time, or not at all.
    #[serde(rename = "group")]
    Gang,
}

/// How urgent a job is; later variants come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Yields to all.
    Low,
    /// The ordinary case.
    Normal,
    /// Ahead of the ordinary case.
    Urgent,
    /// Production: ahead of all.
    Prod,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class that objectives refer to.
    #[serde(rename = "consist")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array, service or gang.
    #[serde(rename = "shape")]
    pub shape: Shape,
    /// Priority.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "wagons")]
    pub tasks: u32,
    /// Processors that each task takes.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators that each task takes.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory that each task takes.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Allowed machine types; none: any.
    #[serde(rename = "models", default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Image that a machine must have.
    #[serde(rename = "stock")]
    pub image: String,
    /// The image's size.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "runtimeS")]
    pub estimate_s: f64,
    /// Interval of saved progress; 0: never saves.
    #[serde(rename = "waypointS")]
    pub checkpoint_s: f64,
    /// Time that a stopped task needs to save.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// Seconds from submission to deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Why a submission is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// Not JSON, or not an object.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// A field is missing or has no acceptable value.
    #[error("field `{0}` is missing or invalid")]
    Field(&'static str),
}

fn required<'a>(map: &'a Map<String, Value>, key: &'static str) -> Result<&'a Value, Malformed> {
    map.get(key).filter(|v| !v.is_null()).ok_or(Malformed::Field(key))
}

fn text(map: &Map<String, Value>, key: &'static str) -> Result<String, Malformed> {
    required(map, key)?
        .as_str()
        .filter(|s| !s.is_empty())
        .map(str::to_owned)
        .ok_or(Malformed::Field(key))
}

fn amount(map: &Map<String, Value>, key: &'static str) -> Result<f64, Malformed> {
    required(map, key)?
        .as_f64()
        .filter(|v| v.is_finite() && *v >= 0.0)
        .ok_or(Malformed::Field(key))
}

fn flag(map: &Map<String, Value>, key: &'static str) -> Result<bool, Malformed> {
    required(map, key)?.as_bool().ok_or(Malformed::Field(key))
}

fn word<T: for<'de> Deserialize<'de>>(map: &Map<String, Value>, key: &'static str) -> Result<T, Malformed> {
    serde_json::from_value(required(map, key)?.clone()).map_err(|_| Malformed::Field(key))
}

fn optional_text(map: &Map<String, Value>, key: &'static str) -> Result<Option<String>, Malformed> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) if !s.is_empty() => Ok(Some(s.clone())),
        Some(_) => Err(Malformed::Field(key)),
    }
}

/// The id in a submission's body, if the body has one in the right form.
pub fn submission_id(body: &[u8]) -> Option<JobId> {
    let value: Value = serde_json::from_slice(body).ok()?;
    JobId::parse(value.as_object()?.get("uid")?.as_str()?)
}

/// Reads a submission, field by field, so that the answer can name the fault.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, JobSpec), Malformed> {
    let value: Value = serde_json::from_slice(body).map_err(|_| Malformed::NotAnObject)?;
    let map = value.as_object().ok_or(Malformed::NotAnObject)?;
    let id = required(map, "uid")?
        .as_str()
        .and_then(JobId::parse)
        .ok_or(Malformed::Field("uid"))?;
    let tasks = required(map, "wagons")?
        .as_u64()
        .filter(|n| (1..=100_000).contains(n))
        .ok_or(Malformed::Field("wagons"))? as u32;
    let models = match map.get("models") {
        None | Some(Value::Null) => None,
        Some(Value::Array(items)) => Some(
            items
                .iter()
                .map(|v| v.as_str().map(str::to_owned).ok_or(Malformed::Field("models")))
                .collect::<Result<Vec<_>, _>>()?,
        ),
        Some(_) => return Err(Malformed::Field("models")),
    };
    let deadline_s = match map.get("dueS") {
        None | Some(Value::Null) => None,
        Some(_) => Some(amount(map, "dueS")?),
    };
    let spec = JobSpec {
        class: text(map, "consist")?,
        team: text(map, "crew")?,
        shape: word(map, "shape")?,
        priority: word(map, "precedence")?,
        tasks,
        cpus: amount(map, "vcpus")?,
        gpus: amount(map, "accelerators")?,
        memory_gb: amount(map, "ramGb")?,
        models,
        zone: optional_text(map, "yard")?,
        one_zone: flag(map, "together")?,
        spread: flag(map, "spread")?,
        spot: flag(map, "standby")?,
        image: text(map, "stock")?,
        image_gb: amount(map, "sizeGb")?,
        estimate_s: amount(map, "runtimeS")?,
        checkpoint_s: amount(map, "waypointS")?,
        save_s: amount(map, "stowS")?,
        deadline_s,
    };
    Ok((id, spec))
}

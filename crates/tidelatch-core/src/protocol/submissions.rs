//! Submissions: job descriptions that users send, their parsing and validation.

use crate::ids::JobId;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Kind of a job, by how its tasks run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// Tasks that run all at the same time or not at all (gang scheduling).
    #[serde(rename = "group")]
    Gang,
}

/// Priority of a job, in ascending order: tasks of later variants are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Below all other priorities.
    Low,
    /// The usual priority.
    Normal,
    /// Above `Normal`.
    Urgent,
    /// Production: above all other priorities.
    Prod,
}

/// Description of a job by its user.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of the job. Objectives apply to classes.
    #[serde(rename = "consist")]
    pub class: String,
    /// Team whose guarantees and limits apply to the job.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array, service or gang.
    #[serde(rename = "shape")]
    pub shape: Shape,
    /// Priority of the job.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "wagons")]
    pub tasks: u32,
    /// Number of processors for each task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of accelerators for each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory for each task, in gigabytes.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Allowed machine types; all types are allowed if it is not set.
    #[serde(rename = "models", default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// The only allowed zone; all zones are allowed if it is not set.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in any one zone.
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Image that a machine must have to run a task.
    #[serde(rename = "stock")]
    pub image: String,
    /// Size of the image, in gigabytes.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "runtimeS")]
    pub estimate_s: f64,
    /// Interval between checkpoints of a task, in seconds; 0 if the task saves no checkpoints.
    #[serde(rename = "waypointS")]
    pub checkpoint_s: f64,
    /// Time that a task needs to save its progress when it is stopped, in seconds.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// Time from submission to the deadline, in seconds; no deadline if it is not set.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Reason why a submission cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The body is not JSON, or not a JSON object.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// The named field is missing or has an invalid value.
    #[error("field `{0}` is missing or invalid")]
    Field(&'static str),
}

fn required<'a>(map: &'a Map<String, Value>, key: &'static str) -> Result<&'a Value, Malformed> {
    map.get(key)
        .filter(|value| !value.is_null())
        .ok_or(Malformed::Field(key))
}

fn required_text(map: &Map<String, Value>, key: &'static str) -> Result<String, Malformed> {
    required(map, key)?
        .as_str()
        .filter(|s| !s.is_empty())
        .map(str::to_owned)
        .ok_or(Malformed::Field(key))
}

fn required_amount(map: &Map<String, Value>, key: &'static str) -> Result<f64, Malformed> {
    required(map, key)?
        .as_f64()
        .filter(|value| value.is_finite() && *value >= 0.0)
        .ok_or(Malformed::Field(key))
}

fn required_bool(map: &Map<String, Value>, key: &'static str) -> Result<bool, Malformed> {
    required(map, key)?.as_bool().ok_or(Malformed::Field(key))
}

fn required_enum<T: for<'de> Deserialize<'de>>(map: &Map<String, Value>, key: &'static str) -> Result<T, Malformed> {
    serde_json::from_value(required(map, key)?.clone()).map_err(|_| Malformed::Field(key))
}

fn optional_text(map: &Map<String, Value>, key: &'static str) -> Result<Option<String>, Malformed> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) if !s.is_empty() => Ok(Some(s.clone())),
        Some(_) => Err(Malformed::Field(key)),
    }
}

/// Returns the job id from a submission's body, or `None` if the body has no well-formed id.
pub fn submission_id(body: &[u8]) -> Option<JobId> {
    let value: Value = serde_json::from_slice(body).ok()?;
    JobId::parse(value.as_object()?.get("uid")?.as_str()?)
}

/// Parses a submission field by field, so that an error can name the invalid field.
///
/// # Errors
///
/// Fails if the body is not a JSON object, or if a field is missing or invalid.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, JobSpec), Malformed> {
    let value: Value = serde_json::from_slice(body).map_err(|_| Malformed::NotAnObject)?;
    let map = value.as_object().ok_or(Malformed::NotAnObject)?;
    let id = required(map, "uid")?
        .as_str()
        .and_then(JobId::parse)
        .ok_or(Malformed::Field("uid"))?;
    let tasks = required(map, "wagons")?
        .as_u64()
        // A job has at most 100,000 tasks.
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
        Some(_) => Some(required_amount(map, "dueS")?),
    };
    let spec = JobSpec {
        class: required_text(map, "consist")?,
        team: required_text(map, "crew")?,
        shape: required_enum(map, "shape")?,
        priority: required_enum(map, "precedence")?,
        tasks,
        cpus: required_amount(map, "vcpus")?,
        gpus: required_amount(map, "accelerators")?,
        memory_gb: required_amount(map, "ramGb")?,
        models,
        zone: optional_text(map, "yard")?,
        one_zone: required_bool(map, "together")?,
        spread: required_bool(map, "spread")?,
        spot: required_bool(map, "standby")?,
        image: required_text(map, "stock")?,
        image_gb: required_amount(map, "sizeGb")?,
        estimate_s: required_amount(map, "runtimeS")?,
        checkpoint_s: required_amount(map, "waypointS")?,
        save_s: required_amount(map, "stowS")?,
        deadline_s,
    };
    Ok((id, spec))
}

//! Reading and checking the settings files, and the level of the log.

use std::path::Path;
use tidelatch_core::settings::{Operator, Platform, Settings};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// A fault that keeps the program from starting.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Its path.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// A file is not in its form, or a field is missing or of another type.
    #[error("{path}: {text}")]
    Form {
        /// Its path.
        path: String,
        /// What is wrong.
        text: String,
    },
    /// A value is impossible.
    #[error("{path}: {fault}")]
    Value {
        /// The file.
        path: String,
        /// Field and fault.
        fault: tidelatch_core::settings::Fault,
    },
    /// `LOG_LEVEL` is none of the known words.
    #[error("LOG_LEVEL: `{0}` is none of error, info, debug")]
    Level(String),
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.display().to_string(),
        source,
    })
}

fn parse_platform(text: &str) -> Result<Platform, String> {
    let input = toml::Deserializer::parse(text).map_err(|fault| fault.message().to_owned())?;
    serde_path_to_error::deserialize(input)
        .map_err(|fault| format!("{}: {}", display_path(fault.path()), fault.inner().message()))
}

fn parse_operator(text: &str) -> Result<Operator, String> {
    let mut input = serde_json::Deserializer::from_str(text);
    let operator = serde_path_to_error::deserialize(&mut input)
        .map_err(|fault| format!("{}: {}", display_path(fault.path()), fault.inner()))?;
    input.end().map_err(|fault| fault.to_string())?;
    Ok(operator)
}

fn display_path(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    if path == "." {
        "(the whole file)".to_owned()
    } else {
        path
    }
}

/// Reads both files and reports everything that is wrong with them.
pub fn load(platform: &Path, operator_path: Option<&Path>) -> Result<Settings, Vec<SettingsError>> {
    let platform = load_file(platform, parse_platform, Platform::faults);
    let operator = match operator_path {
        None => Ok(Operator::default()),
        Some(path) => load_file(path, parse_operator, Operator::faults),
    };
    match (platform, operator) {
        (Ok(platform), Ok(operator_settings)) => {
            let settings = Settings {
                platform,
                operator: operator_settings,
                features: tidelatch_core::settings::Features::default(),
            };
            check_together(settings, operator_path)
        }
        (platform, operator) => {
            let mut errors = platform.err().unwrap_or_default();
            errors.extend(operator.err().unwrap_or_default());
            Err(errors)
        }
    }
}

/// Checks what is impossible only where both files come together; the operators' is the one to be changed.
fn check_together(settings: Settings, operator_path: Option<&Path>) -> Result<Settings, Vec<SettingsError>> {
    let path = operator_path.map_or_else(String::new, |path| path.display().to_string());
    let faults = settings.faults().into_iter();
    let errors: Vec<SettingsError> = faults
        .map(|fault| SettingsError::Value {
            path: path.clone(),
            fault,
        })
        .collect();
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

/// Reads one file, and checks its values.
fn load_file<T>(
    path: &Path,
    parse: fn(&str) -> Result<T, String>,
    check: fn(&T) -> Vec<tidelatch_core::settings::Fault>,
) -> Result<T, Vec<SettingsError>> {
    let text = read(path).map_err(|error| vec![error])?;
    let path = path.display().to_string();
    let settings = match parse(&text) {
        Ok(settings) => settings,
        Err(text) => return Err(vec![SettingsError::Form { path, text }]),
    };
    let errors: Vec<SettingsError> = check(&settings)
        .into_iter()
        .map(|fault| SettingsError::Value {
            path: path.clone(),
            fault,
        })
        .collect();
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

/// The schema of the operators' own settings.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Operator)
}

/// Starts logging to standard error, as much as `LOG_LEVEL` says.
pub fn start_logging() -> Result<(), SettingsError> {
    let level = match std::env::var("LOG_LEVEL") {
        Err(_) => tracing::Level::INFO,
        Ok(text) => match text.as_str() {
            "error" => tracing::Level::ERROR,
            "info" => tracing::Level::INFO,
            "debug" => tracing::Level::DEBUG,
            _ => return Err(SettingsError::Level(text)),
        },
    };
    // Libraries speak up for errors only: their own detail would drown this program's.
    let filter = Targets::new()
        .with_default(tracing::Level::ERROR)
        .with_target("tidelatch", level);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    tracing_subscriber::registry().with(lines.with_filter(filter)).init();
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    const EXAMPLE: &str = include_str!("../../../docs/example-node.toml");

    #[test]
    fn the_example_is_in_order_and_unknown_fields_are_ignored() {
        let text = format!("new_field = 1\n{EXAMPLE}");
        let platform = parse_platform(&text).expect("the example is in form");
        assert_eq!(platform.faults(), []);
    }

    #[test]
    fn what_is_missing_or_impossible_is_named_with_its_path() {
        let missing = parse_platform(&EXAMPLE.replace("report_s = 2.0\n", "")).expect_err("a field is missing");
        assert!(
            missing.contains("facts.workers") && missing.contains("report_s"),
            "{missing}"
        );
        let text = EXAMPLE
            .replace("gpus_max = 24.0", "gpus_max = 4.0")
            .replace("lease_s = 15.0", "lease_s = 3.0");
        let faults = parse_platform(&text).expect("in form").faults();
        let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
        assert_eq!(paths, ["facts.workers.lease_s", "facts.teams[0].gpus"]);
    }

    #[test]
    fn the_operators_own_settings_are_checked() {
        let unknown = parse_operator(r#"{"batch": 3}"#).expect_err("an unknown field");
        assert!(unknown.contains("unknown field `batch`"), "{unknown}");
        let wrong = parse_operator(r#"{"batch_tasks": "many"}"#).expect_err("not a number");
        assert!(wrong.starts_with("batch_tasks:"), "{wrong}");
        let out = parse_operator(r#"{"batch_tasks": 0}"#).expect("in form").faults();
        assert_eq!(out.first().map(|f| f.path.as_str()), Some("batch_tasks"));
        let schema = serde_json::to_value(schema()).expect("the schema is JSON");
        let defaults = serde_json::to_value(Operator::default()).expect("defaults are JSON");
        let fields = |v: &serde_json::Value| v.as_object().map(|m| m.keys().cloned().collect::<Vec<_>>());
        assert_eq!(fields(&schema["properties"]), fields(&defaults));
    }
}

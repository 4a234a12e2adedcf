//! Loads and validates the settings files, and sets up logging.

use std::path::Path;
use tidelatch_core::settings::{Operator, Platform, Settings};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// An error in the settings or in `LOG_LEVEL`, which prevents the program from starting.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
    /// A file is not valid TOML or JSON, or a field is missing, unknown or has the wrong type.
    #[error("{path}: {text}")]
    Parse {
        /// Path of the file.
        path: String,
        /// Description of the error, with the path of the field.
        text: String,
    },
    /// A value is out of range, or contradicts another value.
    #[error("{path}: {fault}")]
    Value {
        /// Path of the file.
        path: String,
        /// The field, and what is wrong with its value.
        fault: tidelatch_core::settings::Fault,
    },
    /// `LOG_LEVEL` is not a known level.
    #[error("LOG_LEVEL: `{0}` is not one of error, info, debug")]
    Level(String),
}

/// Reads a file as text.
fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.display().to_string(),
        source,
    })
}

/// Parses the platform settings (TOML).
fn parse_platform(text: &str) -> Result<Platform, String> {
    let input = toml::Deserializer::parse(text).map_err(|fault| fault.message().to_owned())?;
    serde_path_to_error::deserialize(input)
        .map_err(|fault| format!("{}: {}", display_path(fault.path()), fault.inner().message()))
}

/// Parses the operators' settings (JSON).
fn parse_operator(text: &str) -> Result<Operator, String> {
    let mut input = serde_json::Deserializer::from_str(text);
    let operator = serde_path_to_error::deserialize(&mut input)
        .map_err(|fault| format!("{}: {}", display_path(fault.path()), fault.inner()))?;
    input.end().map_err(|fault| fault.to_string())?;
    Ok(operator)
}

/// Formats the path of a field for error messages.
fn display_path(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    if path == "." {
        "(the whole file)".to_owned()
    } else {
        path
    }
}

/// Loads and validates both files; returns all errors found in them.
pub fn load(platform_path: &Path, operator_path: Option<&Path>) -> Result<Settings, Vec<SettingsError>> {
    let platform = load_and_validate_file(platform_path, parse_platform, Platform::faults);
    let operator = match operator_path {
        None => Ok(Operator::default()),
        Some(path) => load_and_validate_file(path, parse_operator, Operator::faults),
    };
    match (platform, operator) {
        (Ok(platform), Ok(operator_settings)) => {
            let settings = Settings {
                platform,
                operator: operator_settings,
                features: tidelatch_core::settings::Features::default(),
            };
            validate_combination(settings, operator_path)
        }
        (platform, operator) => {
            let mut errors = platform.err().unwrap_or_default();
            errors.extend(operator.err().unwrap_or_default());
            Err(errors)
        }
    }
}

/// Validates the combination of both files. Errors are reported under the path of the operators' file, which is usually
/// the one to change, also if the field is in the platform file. The path is empty if there is no operators' file.
fn validate_combination(settings: Settings, operator_path: Option<&Path>) -> Result<Settings, Vec<SettingsError>> {
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

/// Reads and parses one file, and validates its values.
fn load_and_validate_file<T>(
    path: &Path,
    parse: fn(&str) -> Result<T, String>,
    validate: fn(&T) -> Vec<tidelatch_core::settings::Fault>,
) -> Result<T, Vec<SettingsError>> {
    let text = read_file(path).map_err(|error| vec![error])?;
    let path = path.display().to_string();
    let settings = match parse(&text) {
        Ok(settings) => settings,
        Err(text) => return Err(vec![SettingsError::Parse { path, text }]),
    };
    let errors: Vec<SettingsError> = validate(&settings)
        .into_iter()
        .map(|fault| SettingsError::Value {
            path: path.clone(),
            fault,
        })
        .collect();
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

/// Returns the JSON schema of the operators' settings.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Operator)
}

/// Starts logging to standard error at the level given by `LOG_LEVEL`; the default is info.
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
    // Libraries log errors only: their details would outnumber this program's own log lines.
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
    fn the_example_is_valid_and_unknown_fields_are_ignored() {
        let text = format!("new_field = 1\n{EXAMPLE}");
        let platform = parse_platform(&text).expect("the example can be parsed");
        assert_eq!(platform.faults(), []);
    }

    #[test]
    fn missing_fields_and_invalid_values_are_reported_with_their_path() {
        let missing = parse_platform(&EXAMPLE.replace("report_s = 2.0\n", "")).expect_err("a field is missing");
        assert!(
            missing.contains("facts.workers") && missing.contains("report_s"),
            "{missing}"
        );
        let text = EXAMPLE
            .replace("gpus_max = 24.0", "gpus_max = 4.0")
            .replace("lease_s = 15.0", "lease_s = 3.0");
        let faults = parse_platform(&text).expect("valid TOML").faults();
        let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
        assert_eq!(paths, ["facts.workers.lease_s", "facts.teams[0].gpus"]);
    }

    #[test]
    fn operator_settings_are_validated_and_the_schema_lists_their_fields() {
        let unknown_field = parse_operator(r#"{"batch": 3}"#).expect_err("an unknown field");
        assert!(unknown_field.contains("unknown field `batch`"), "{unknown_field}");
        let wrong_type = parse_operator(r#"{"batch_tasks": "many"}"#).expect_err("not a number");
        assert!(wrong_type.starts_with("batch_tasks:"), "{wrong_type}");
        let faults = parse_operator(r#"{"batch_tasks": 0}"#).expect("valid JSON").faults();
        assert_eq!(faults.first().map(|f| f.path.as_str()), Some("batch_tasks"));
        let schema = serde_json::to_value(schema()).expect("the schema is JSON");
        let defaults = serde_json::to_value(Operator::default()).expect("defaults are JSON");
        let fields = |v: &serde_json::Value| v.as_object().map(|m| m.keys().cloned().collect::<Vec<_>>());
        assert_eq!(fields(&schema["properties"]), fields(&defaults));
    }
}

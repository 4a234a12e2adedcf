//! Reading and checking the settings files, and the level of the log.

use std::path::Path;
use tidelatch_core::settings::{Operator, Platform, Settings};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// A fault that keeps the program from starting.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
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

fn read(path: &Path) -> Result<String, Fault> {
    std::fs::read_to_string(path).map_err(|source| Fault::Read {
        path: path.display().to_string(),
        source,
    })
}

/// Reads both files and reports everything that is wrong with them.
pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Settings, Vec<Fault>> {
    let mut faults = Vec::new();
    let shown = platform.display().to_string();
    let platform = match read(platform) {
        Err(fault) => {
            faults.push(fault);
            None
        }
        Ok(text) => match toml::from_str::<Platform>(&text) {
            Ok(p) => {
                faults.extend(p.faults().into_iter().map(|fault| Fault::Value {
                    path: shown.clone(),
                    fault,
                }));
                Some(p)
            }
            Err(fault) => {
                faults.push(Fault::Form {
                    path: shown,
                    text: fault.to_string().trim_end().replace('\n', " "),
                });
                None
            }
        },
    };
    let operator = match operator {
        None => Some(Operator::default()),
        Some(path) => {
            let shown = path.display().to_string();
            match read(path) {
                Err(fault) => {
                    faults.push(fault);
                    None
                }
                Ok(text) => match serde_json::from_str::<Operator>(&text) {
                    Ok(o) => {
                        faults.extend(o.faults().into_iter().map(|fault| Fault::Value {
                            path: shown.clone(),
                            fault,
                        }));
                        Some(o)
                    }
                    Err(fault) => {
                        faults.push(Fault::Form {
                            path: shown,
                            text: fault.to_string(),
                        });
                        None
                    }
                },
            }
        }
    };
    match (platform, operator) {
        (Some(platform), Some(operator)) if faults.is_empty() => Ok(Settings { platform, operator }),
        _ => Err(faults),
    }
}

/// The schema of the operators' own settings.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Operator)
}

/// Starts logging to standard error, as much as `LOG_LEVEL` says.
pub fn start_logging() -> Result<(), Fault> {
    let level = match std::env::var("LOG_LEVEL") {
        Err(_) => tracing::Level::INFO,
        Ok(text) => match text.as_str() {
            "error" => tracing::Level::ERROR,
            "info" => tracing::Level::INFO,
            "debug" => tracing::Level::DEBUG,
            _ => return Err(Fault::Level(text)),
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

//! Command line of tidelatch, a cluster scheduler.

#![warn(clippy::too_many_lines)]

mod admission;
mod capacity;
mod daemon;
mod http;
mod peers;
mod settings;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A cluster scheduler for services and arrays on rented machines.
#[derive(Parser)]
#[command(name = "tidelatch", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Serve(SettingsPaths),
    /// Validate the settings: print one line for each error and exit with code 1, or else estimate this controller's
    /// capacity.
    Check(SettingsPaths),
    /// Print the JSON schema of the operators' settings.
    Schema,
}

/// Paths of the settings files.
#[derive(clap::Args)]
struct SettingsPaths {
    /// Platform settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' settings file (JSON).
    #[arg(long, value_name = "FILE", env = "TIDELATCH_OPERATOR")]
    operator: Option<PathBuf>,
}

/// Loads the settings; prints all errors to standard error and returns the exit code if there are any.
fn load_settings(paths: &SettingsPaths) -> Result<tidelatch_core::settings::Settings, ExitCode> {
    settings::load(&paths.config, paths.operator.as_deref()).map_err(|errors| {
        for error in errors {
            eprintln!("{error}");
        }
        ExitCode::FAILURE
    })
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        Command::Schema => match serde_json::to_string_pretty(&settings::schema()) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
        Command::Check(paths) => match load_settings(&paths) {
            Ok(settings) => {
                println!("the settings are valid");
                for line in capacity::describe_capacity(&settings.platform.facts.machine_limits) {
                    println!("{line}");
                }
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Command::Serve(paths) => {
            let settings = match load_settings(&paths) {
                Ok(settings) => settings,
                Err(code) => return code,
            };
            if let Err(error) = settings::start_logging() {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
            match daemon::run(settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    tracing::error!("{error}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}

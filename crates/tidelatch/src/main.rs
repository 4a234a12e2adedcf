//! tidelatch: a cluster scheduler. The command line.

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
    Serve(Files),
    /// Check the settings: one line for each fault, and exit code 1 if there is any.
    Check(Files),
    /// Print the JSON schema of the operators' own settings.
    Schema,
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (JSON).
    #[arg(long, value_name = "FILE", env = "TIDELATCH_OPERATOR")]
    operator: Option<PathBuf>,
}

fn load(files: &Files) -> Result<tidelatch_core::settings::Settings, ExitCode> {
    settings::load(&files.config, files.operator.as_deref()).map_err(|faults| {
        for fault in faults {
            eprintln!("{fault}");
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
        Command::Check(files) => match load(&files) {
            Ok(settings) => {
                println!("the settings are in order");
                for line in capacity::describe(&settings.platform.facts.machine_limits) {
                    println!("{line}");
                }
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Command::Serve(files) => {
            let settings = match load(&files) {
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

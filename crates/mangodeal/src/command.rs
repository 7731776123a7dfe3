//! The command line for operators and callers.

mod operator;
mod preview;
mod table;
mod trail;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use base::{Revision, SecretKey};
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use config::Kind;

use crate::bench::IdleOptions;
use crate::client::CallError;

/// Operates, calls and measures mangodeal.
#[derive(Parser)]
#[command(name = "mangodeal", version)]
pub struct Arguments {
    #[command(flatten)]
    server: ServerArguments,
    #[command(subcommand)]
    command: Command,
}

/// Address of the operators' interface, and the format of its answers.
#[derive(Args)]
struct ServerArguments {
    /// Address of the operators' interface of any daemon.
    #[arg(long, global = true, env = "MANGODEAL_SERVER", default_value = "127.0.0.1:8001")]
    server: SocketAddr,
    /// Operator credential; prefer the environment variable to this option.
    #[arg(long, global = true, env = "MANGODEAL_CREDENTIAL", hide_env_values = true)]
    credential: Option<String>,
    /// Format of the answer.
    #[arg(long, global = true, value_enum, default_value = "table")]
    output: Output,
}

/// Format of an answer.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Output {
    /// Aligned columns.
    Table,
    /// JSON.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Serve requests with embedded stand-ins, in one process.
    Demo,
    /// List objects, or show one.
    Get {
        /// Kind of the objects; all kinds when omitted.
        kind: Option<Kind>,
        /// Name of one object.
        name: Option<String>,
    },
    /// Create or change all objects in a JSON file in one atomic change.
    Apply {
        #[command(flatten)]
        file: FileArguments,
        /// Check the change without making it.
        #[arg(long)]
        dry_run: bool,
        /// Fail if an object is no longer at the revision in the file.
        #[arg(long)]
        strict: bool,
        /// Identifier of the change; sending the change again with it has no further effect.
        #[arg(long)]
        change: Option<String>,
        /// Wait until the change is in force on all daemons.
        #[arg(long)]
        wait: bool,
    },
    /// Show how the objects in a JSON file differ from those in force.
    Diff {
        #[command(flatten)]
        file: FileArguments,
    },
    /// Delete an object.
    Delete {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
        /// Delete it only if it is at this revision.
        #[arg(long)]
        revision: Option<Revision>,
    },
    /// Create a caller's key and print it; only its hash is stored.
    Key {
        /// Name of the key, with which it is listed and deleted.
        name: String,
        /// Team that the key belongs to.
        #[arg(long)]
        team: String,
    },
    /// Show the audit trail.
    Audit {
        /// First revision.
        #[arg(long, default_value = "1")]
        from: Revision,
        /// Show only changes of this object, such as key/counter.
        #[arg(long)]
        object: Option<String>,
    },
    /// Show hosts, shares and replicas.
    Status,
    /// Explain what happened to a request, where a model is loaded and why, or where a request would
    /// go now.
    #[command(subcommand_value_name = "request|model|next")]
    Explain {
        #[command(subcommand)]
        subject: ExplainSubject,
    },
    /// Show the log lines of one request or target in order of time.
    Trail {
        /// Request identifier or target name.
        name: String,
        /// Log files of one or more daemons; standard input when omitted.
        files: Vec<PathBuf>,
    },
    /// Wait until a revision is in force on all daemons; on a timeout, list those that lack it.
    Wait {
        /// Revision.
        revision: Revision,
        /// Longest wait, in seconds.
        #[arg(long, default_value = "10")]
        timeout: u64,
    },
    /// Show changes as they are made.
    Watch,
    /// Send a chat request as a caller.
    Call {
        /// Address of the callers' interface of any daemon.
        #[arg(long, env = "MANGODEAL_CALLER", default_value = "127.0.0.1:8000")]
        caller: SocketAddr,
        /// Caller's key.
        #[arg(long, env = "MANGODEAL_KEY", hide_env_values = true)]
        key: String,
        /// Model or adapter.
        model: String,
        /// Text of the message.
        text: String,
        /// Maximum number of tokens in the answer.
        #[arg(long, default_value = "64")]
        max_tokens: u64,
    },
    /// Print the hash of an operator credential read from standard input, for the settings.
    Hash,
    /// Measure how memory, time and traffic grow with the size of the system.
    Capacity,
    /// Run experiments on embedded fleets.
    Bench {
        #[command(subcommand)]
        experiment: Experiment,
    },
    /// Print a completion script.
    Completion {
        /// Shell.
        shell: Shell,
    },
}

#[derive(Subcommand)]
enum Experiment {
    /// Compare the latency through a daemon with that of a target called directly.
    Latency,
    /// Compare policies for idle replicas on the same requests.
    Idle {
        /// Policies, in the format of the setting `idle`.
        #[arg(long, value_delimiter = ',', default_value = "5s,fitted")]
        policies: Vec<String>,
        /// Runs of each policy.
        #[arg(long, default_value = "5")]
        runs: u64,
        /// First seed.
        #[arg(long, default_value = "1")]
        seed: u64,
        /// Length of a run, in seconds.
        #[arg(long, default_value = "20")]
        seconds: u64,
    },
}

#[derive(Args)]
struct FileArguments {
    /// JSON file with one object or a list of objects; `-` stands for standard input.
    #[arg(short, long)]
    file: PathBuf,
}

#[derive(Subcommand)]
enum ExplainSubject {
    /// Explain a recent request on the daemon at the server address.
    Request {
        /// Request identifier.
        name: String,
    },
    /// Explain where a model or adapter is loaded.
    Model {
        /// Model or adapter.
        name: String,
    },
    /// Show where a request would go now, and why, without sending it. The server address is the
    /// peer address of a daemon on the users' platform.
    Next(preview::PreviewArguments),
}

/// Why a command failed. Each kind has an exit code of its own.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The call to the server failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The server refused the call.
    #[error("{code} {message}")]
    Refused {
        /// Numbered result code, or the HTTP status when there is none.
        code: u16,
        /// Reason.
        message: String,
    },
    /// An argument, a file or standard input is invalid.
    #[error("{0}")]
    Input(String),
    /// A revision was not in force on all daemons in time.
    #[error("not in force on {0}")]
    NotInForce(String),
    /// The demo or a measurement failed.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Returns the command's exit code, as `docs/INTERFACES.md` lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Failed(_) => 1,
            CommandError::Input(_) => 2,
            CommandError::Refused { code: 2101, .. } => 3,
            CommandError::Refused { code: 2103 | 1303, .. } => 4,
            CommandError::Refused { code: 2202, .. } => 6,
            CommandError::Refused { code: 2201 | 1304, .. } | CommandError::Call(_) => 5,
            CommandError::Refused { .. } => 7,
            CommandError::NotInForce(_) => 8,
        }
    }
}

impl Arguments {
    /// Runs the command and returns its exit code.
    pub async fn run(self) -> ExitCode {
        match self.execute().await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{:?}", miette::miette!("{error}"));
                ExitCode::from(error.exit_code())
            }
        }
    }

    async fn execute(self) -> Result<(), CommandError> {
        let failed = |error: &dyn std::fmt::Display| CommandError::Failed(error.to_string());
        match self.command {
            Command::Demo => crate::demo::run().await.map_err(|error| failed(&error)),
            Command::Capacity => {
                let measured = tokio::task::spawn_blocking(crate::capacity::run).await;
                measured.map_err(|error| failed(&error))
            }
            Command::Bench { experiment: Experiment::Latency } => {
                crate::bench::compare_latency().await.map_err(|error| failed(&error))
            }
            Command::Bench { experiment: Experiment::Idle { policies, runs, seed, seconds } } => {
                let duration = Duration::from_secs(seconds);
                let options = IdleOptions { policies, runs, seed, duration };
                crate::bench::compare_idle(&options).await.map_err(|error| failed(&error))
            }
            Command::Hash => {
                let mut line = String::new();
                std::io::stdin().read_line(&mut line).map_err(|error| failed(&error))?;
                println!("{}", SecretKey::new(line.trim()).hash());
                Ok(())
            }
            Command::Trail { name, files } => trail::print_trail(&name, &files),
            Command::Completion { shell } => {
                let mut command = Arguments::command();
                clap_complete::generate(shell, &mut command, "mangodeal", &mut std::io::stdout());
                Ok(())
            }
            Command::Call { caller, key, model, text, max_tokens } => {
                operator::send_chat(caller, &key, &model, &text, max_tokens).await
            }
            Command::Explain { subject: ExplainSubject::Next(arguments) } => {
                preview::show_preview(&self.server, &arguments).await
            }
            command => operator::OperatorClient::new(self.server)?.execute(command).await,
        }
    }
}

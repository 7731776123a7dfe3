//! The daemon that runs on each entry host.

use std::path::PathBuf;

use clap::Parser;
use daemon::{init_log, Daemon, Settings};
use miette::{IntoDiagnostic, WrapErr};
use serve::FrontSettings;
use tokio::signal::unix::{signal, SignalKind};

/// Serves callers, operators and peers on one entry host.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Settings file in INI form.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    let file = arguments.settings.display().to_string();
    let text = std::fs::read_to_string(&arguments.settings)
        .into_diagnostic()
        .wrap_err_with(|| format!("can't read {file}"))?;
    if FrontSettings::has_front_section(&text) {
        let settings =
            FrontSettings::parse(&file, &text).map_err(|error| miette::Report::new(*error))?;
        if arguments.check {
            println!("{file}: settings are valid");
            return Ok(());
        }
        return serve::run(settings, &arguments.settings).into_diagnostic();
    }
    let settings = Settings::parse(&file, &text).map_err(|error| miette::Report::new(*error))?;
    if arguments.check {
        println!("{file}: settings are valid");
        return Ok(());
    }
    init_log(settings.log_format, settings.log_level).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> miette::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let daemon = Daemon::start(settings).await.into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.shutdown().await;
    Ok(())
}

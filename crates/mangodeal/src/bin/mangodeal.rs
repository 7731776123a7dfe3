//! The command-line tool for operators, callers and experiments.

use std::process::ExitCode;

use clap::Parser;
use mangodeal::command::Arguments;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(arguments.run()),
        Err(error) => {
            eprintln!("can't start: {error}");
            ExitCode::FAILURE
        }
    }
}

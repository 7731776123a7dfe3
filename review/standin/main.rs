//! Runs one case: `cases NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! couldn't run. With `TROUBLE=0` in the environment, the disruption is left out.

mod dribble;
mod engine;
mod fleet;
mod flood;
mod http;
mod json;
mod late;
mod pipeline;
mod revoke;
mod server;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (name, folder) = match &arguments[..] {
        [_, name, folder] => (name.as_str(), folder.as_str()),
        _ => std::process::exit(2),
    };
    let code = std::panic::catch_unwind(|| match name {
        "dribble" => dribble::run(folder, has_trouble),
        "flood" => flood::run(folder, has_trouble),
        "late" => late::run(folder, has_trouble),
        "pipeline" => pipeline::run(folder, has_trouble),
        "revoke" => revoke::run(folder, has_trouble),
        _ => 2,
    });
    std::process::exit(code.unwrap_or(2));
}

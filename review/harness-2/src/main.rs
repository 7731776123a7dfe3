//! Cases of the second review that run the project's daemons as processes. The first argument names the
//! case, the second one the file of the record. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. TROUBLE=0 leaves the disruption out.
#![allow(dead_code)]

mod fleet;
mod quota;
mod record;
mod roll;
mod server;
mod slow;
#[path = "../../../platform/tests/standin/store.rs"]
mod store;
mod takeover;
mod turns;

use futures::FutureExt;
use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = &arguments[..] else {
        eprintln!("usage: review-harness-2 CASE RECORD");
        std::process::exit(2);
    };
    let record = Record::create(file);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build().unwrap();
    let run = async {
        match case.as_str() {
            "slow" => slow::run(&record, has_trouble).await,
            "takeover" => takeover::run(&record, has_trouble).await,
            "quota" => quota::run(&record, has_trouble).await,
            "roll" => roll::run(&record, has_trouble).await,
            "turns" => turns::run(&record, has_trouble).await,
            _ => 2,
        }
    };
    // A panic means that the case couldn't run; the processes of its daemons have ended then, too.
    let end = runtime.block_on(std::panic::AssertUnwindSafe(run).catch_unwind());
    std::process::exit(end.unwrap_or(2));
}

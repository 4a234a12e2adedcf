//! Plays a case of the review: `review-case CASE RECORD`. Exit code 1: the rule was broken, 0: it held, 2: the case
//! could not run.

mod cases;
mod http;
mod json;
mod machines;
mod platform;
mod record;
mod site;
mod store;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread::sleep;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        exit(2)
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let root = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    site::choose(cases::site_of(case));
    let Ok(record) = record::Record::new(Path::new(record), site::site().cancel_s) else {
        exit(2)
    };
    record.log(format!("case {case}, trouble: {trouble}"));
    // `run.sh` ends the controllers when this process has ended.
    std::thread::spawn(|| {
        sleep(Duration::from_secs(115));
        exit(2);
    });
    let outcome = cases::play(case, root, &record, trouble);
    let broken = record.broken_rules();
    let code = match &outcome {
        Err(why) => {
            record.log(format!("the case could not run: {why}"));
            eprintln!("the case could not run: {why}");
            2
        }
        Ok(()) if broken.is_empty() => 0,
        Ok(()) => 1,
    };
    for text in &broken {
        println!("broken: {text}");
    }
    record.log(format!("exit code {code}"));
    sleep(Duration::from_millis(20));
    exit(code);
}

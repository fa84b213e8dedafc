//! Cases of the second review that need real processes. `CASE RECORD` runs one.

mod budget;
mod doubled;
mod fleet;
mod given_up;
mod http;
mod json;
mod store;

use std::process::Command;
use std::process::exit;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Time after which a case that has not ended is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Ids of the processes that the case has started and not ended.
pub static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: {} CASE RECORD", arguments[0]);
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        for child in CHILDREN.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-9", &child.to_string()])
                .status();
        }
        println!("the case took too long");
        exit(2);
    });
    let result = match case.as_str() {
        "given-up" => given_up::run(record, trouble),
        "budget" => budget::run(record, trouble),
        "doubled" => doubled::run(record, trouble),
        _ => Err(format!("there is no case {case}").into()),
    };
    match result {
        Ok(Verdict::Held) => println!("{case}: the rule held"),
        Ok(Verdict::Broken) => {
            println!("{case}: the rule was broken");
            exit(1);
        }
        Err(error) => {
            println!("{case}: the case could not run: {error}");
            exit(2);
        }
    }
}

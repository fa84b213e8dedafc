//! Cases of the third review that are shown by a script. `lab CASE FOLDER` plays one of them.

mod consumer;
mod failing;
mod gateway;
mod http;
mod json;
mod membership;
mod memory;
mod orders;
mod record;
mod removal;
mod replica;
mod store;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run, for this reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        println!("usage: lab CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let temporary = env::temp_dir().join(format!("sardinepath-lab-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&temporary) {
        println!("no temporary folder: {e}");
        return ExitCode::from(2);
    }
    let record = record::Record::new();
    let verdict = match case.as_str() {
        "failing" => failing::play(&temporary, &record, trouble),
        "membership" => membership::play(&temporary, &record, trouble),
        "memory" => memory::play(&temporary, &record, trouble),
        "orders" => orders::play(&temporary, &record, trouble),
        "removal" => removal::play(&temporary, &record, trouble),
        other => Verdict::NotRun(format!("there is no case {other}")),
    };
    let code = match verdict {
        Verdict::Held => {
            record.say("verdict: the rule held");
            0
        }
        Verdict::Broken => {
            record.say("verdict: the rule was broken");
            1
        }
        Verdict::NotRun(reason) => {
            record.say(format!("verdict: the case could not run: {reason}"));
            2
        }
    };
    record.write(&folder);
    if env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("kept {}", temporary.display());
    }
    ExitCode::from(code)
}

//! Scripts of the independent review. Each plays one case and exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

#![recursion_limit = "256"]

mod cases;
mod engine;
mod path;
mod record;
mod site;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use tokio::runtime::Runtime;
use tokio::time::timeout;

/// Longest time that a script may take.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(file)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: sardinepath-review CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match play(&case, PathBuf::from(file), trouble) {
        Ok(faults) if faults.is_empty() => {
            println!("{case}: held");
            ExitCode::SUCCESS
        }
        Ok(faults) => {
            println!("{case}: broken");
            faults
                .iter()
                .take(10)
                .for_each(|fault| println!("  {fault}"));
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("{case}: could not run: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, file: PathBuf, trouble: bool) -> anyhow::Result<Vec<String>> {
    let record = Record::create(&file)?;
    record.line(&format!("case {case}, trouble {trouble}"));
    let runtime = Runtime::new()?;
    let faults = runtime.block_on(async {
        timeout(TIME_LIMIT, cases::play(case, record.clone(), trouble)).await
    })??;
    for fault in &faults {
        record.line(&format!("BROKEN {fault}"));
    }
    record.line(&format!("{} faults", faults.len()));
    Ok(faults)
}

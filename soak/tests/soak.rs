//! A short seeded run of the soak test, and every seed that failed before.
#![allow(clippy::unwrap_used, missing_docs)]

use std::path::PathBuf;
use std::time::Duration;

use sardinepath_soak::run::Plan;
use sardinepath_soak::run::run;
use tokio::runtime::Runtime;

/// Seeds that failed before. Each line holds the seed, the seconds with faults and the cause.
const REGRESSIONS: &str = include_str!("../regressions.txt");

/// Returns the path of the `sardinepath` program, which a build of the workspace puts beside the
/// tests.
fn program() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let program = own.parent().unwrap().parent().unwrap().join("sardinepath");
    assert!(
        program.exists(),
        "{} is missing: build the workspace",
        program.display()
    );
    program
}

fn soak(seed: u64, seconds: u64) {
    let plan = Plan {
        seed,
        time: Duration::from_secs(seconds),
        gateways: 4,
        program: program(),
        folder: std::env::temp_dir()
            .join(format!("sardinepath-soak-{}-{seed}", std::process::id())),
    };

    let outcome = Runtime::new().unwrap().block_on(run(&plan)).unwrap();

    assert!(
        outcome.faults.is_empty(),
        "seed {seed}: {:#?}\n{:#?}",
        outcome.faults,
        outcome.history
    );
    std::fs::remove_dir_all(&plan.folder).unwrap();
}

/// Guards against guarantees that are violated while processes, paths and the store fail.
#[test]
fn a_short_run_keeps_the_promises() {
    soak(7, 6);
}

/// Guards against the return of a fault that a seed found before.
#[test]
fn seeds_that_failed_once_pass() {
    for line in REGRESSIONS.lines().filter(|line| !line.starts_with('#')) {
        let mut fields = line.split_whitespace();
        let seed = fields.next().unwrap().parse().unwrap();
        let seconds = fields.next().unwrap().parse().unwrap();
        soak(seed, seconds);
    }
}

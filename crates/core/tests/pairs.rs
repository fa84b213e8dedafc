//! Two failures at random times in one entry and two agents, in virtual time.
//! `docs/notes/pairs.md` lists what is drawn and judged.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

use crate::support::pairs::World;
use crate::support::pairs_fault::Fault;
use crate::support::pairs_fault::pair;
use crate::support::pairs_judge::judge;

/// Pairs of one test run. `PROPTEST_CASES` sets another number.
const CASES: u32 = 2_200;

fn outcome(seed: u64, faults: &[Fault]) -> Result<(), String> {
    judge(&World::new(seed, faults).run())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]

    /// Guards against two failures that together break what each alone does not.
    #[test]
    fn promises_hold_under_two_failures(seed in any::<u64>(), faults in pair()) {
        let judged = outcome(seed, &faults);

        prop_assert!(judged.is_ok(), "{:?}", judged);
    }
}

fn cases() -> u32 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    cases.map_or(CASES, |cases| cases.parse().unwrap())
}

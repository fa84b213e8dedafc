//! A trainer's step in groups, with new weights in the middle.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use anyhow::bail;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_standins::engine::Ending;
use sardinepath_standins::trainer::GroupOrder;
use sardinepath_standins::trainer::SampleEntry;
use sardinepath_standins::trainer::Trainer;
use sardinepath_standins::trainer::TrainerSettings;

use crate::demo::fleet::Fleet;
use crate::demo::fleet::MODEL;
use crate::demo::fleet::WORKSPACES;
use crate::demo::report::Summary;

const GROUPS: u32 = 8;

const SAMPLES: u32 = 4;

/// Tokens of one sample. At 2 ms a token a sample takes about a second, so that the weight swap
/// falls into the step.
const TOKENS: u32 = 500;

/// Versions that a sample may be behind its trainer.
const STALENESS: u64 = 2;

/// Time from the start of the step to the new weights.
const SWAP_AFTER: Duration = Duration::from_millis(300);

const STEP_LIMIT: Duration = Duration::from_secs(120);

/// Runs one step and compares the samples with the books of the engines.
pub fn play(fleet: &Fleet, summary: &mut Summary) -> anyhow::Result<()> {
    let mut trainer = Trainer::new(settings(fleet), WeightVersion(1));
    let groups: Vec<_> = (0..GROUPS).map(group).collect();
    let publish = fleet.weights.address;
    let swap = thread::spawn(move || {
        thread::sleep(SWAP_AFTER);
        let url = format!("http://{publish}/models/{MODEL}/versions/2");
        minreq::put(url).with_timeout(10).send()
    });
    if let Err(e) = trainer.run_step(1, &groups, STEP_LIMIT) {
        bail!("the trainer's step failed: {e}");
    }
    if !matches!(swap.join(), Ok(Ok(answer)) if answer.status_code == 200) {
        bail!("the weight store did not take the new version");
    }
    judge(fleet, &trainer, summary);
    Ok(())
}

fn settings(fleet: &Fleet) -> TrainerSettings {
    TrainerSettings {
        name: "dream-trainer".into(),
        team: WORKSPACES[1].team.into(),
        route: "press.suggest".into(),
        key: WORKSPACES[1].secret.to_owned(),
        entries: fleet.entries.iter().map(|entry| entry.address).collect(),
        store: fleet.weights.address,
        model: MODEL.into(),
        staleness: STALENESS,
    }
}

fn group(number: u32) -> GroupOrder {
    GroupOrder {
        group: format!("g{number}"),
        prompt: format!("tag:g{number}. dream of night {number}"),
        samples: SAMPLES,
        max_tokens: TOKENS,
    }
}

fn judge(fleet: &Fleet, trainer: &Trainer, summary: &mut Summary) {
    let faults = trainer.faults();
    let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
    summary.samples_requested = u64::from(GROUPS * SAMPLES);
    summary.samples_delivered = count(trainer.samples().len() - faults.repeated.len());
    summary.samples_doubled = count(faults.repeated.len());
    summary.staleness_bound = STALENESS;
    let newest = 2;
    let ages = trainer
        .samples()
        .iter()
        .flat_map(|entry| &entry.sample.versions);
    summary.stalest_versions = ages.map(|v| newest - v.0.min(newest)).max().unwrap_or(0);
    let mislabelled = trainer.samples().iter().filter(|e| !is_labelled(fleet, e));
    summary.samples_mislabelled = count(mislabelled.count());
}

/// Tells whether an engine's book holds an execution of the sample's group with exactly the
/// sample's versions and tokens.
fn is_labelled(fleet: &Fleet, entry: &SampleEntry) -> bool {
    let tag = format!("{}.", entry.group);
    let named: BTreeSet<_> = entry.sample.versions.iter().copied().collect();
    let executions = fleet.engines.iter().flat_map(|e| e.log().tagged(&tag));
    executions
        .filter(|execution| execution.ending == Ending::Completed)
        .filter(|execution| execution.tokens == entry.sample.tokens)
        .any(|execution| execution.versions.iter().copied().collect::<BTreeSet<_>>() == named)
}

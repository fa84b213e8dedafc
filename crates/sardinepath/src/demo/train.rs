//! One trainer step with several groups, during which new weights are published.

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

const GROUP_SIZE: u32 = 4;

/// Number of tokens of one sample. At 2 ms per token a sample takes about a second, so that the
/// new weights are loaded during the step.
const SAMPLE_TOKENS: u32 = 500;

/// Maximum age of a sample in weight versions.
const MAX_STALENESS: u64 = 2;

/// Time from the start of the step to the publication of the new weights.
const PUBLISH_DELAY: Duration = Duration::from_millis(300);

const STEP_TIMEOUT: Duration = Duration::from_secs(120);

/// Runs one step and compares the samples with the records of the engines.
pub fn run(fleet: &Fleet, summary: &mut Summary) -> anyhow::Result<()> {
    let mut trainer = Trainer::new(settings(fleet), WeightVersion(1));
    let groups: Vec<_> = (0..GROUPS).map(group).collect();
    let store = fleet.weights.address;
    let publisher = thread::spawn(move || {
        thread::sleep(PUBLISH_DELAY);
        let url = format!("http://{store}/models/{MODEL}/versions/2");
        minreq::put(url).with_timeout(10).send()
    });
    if let Err(e) = trainer.run_step(1, &groups, STEP_TIMEOUT) {
        bail!("the trainer's step failed: {e}");
    }
    if !matches!(publisher.join(), Ok(Ok(answer)) if answer.status_code == 200) {
        bail!("the weight store did not accept the new version");
    }
    record_results(fleet, &trainer, summary);
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
        staleness: MAX_STALENESS,
    }
}

fn group(number: u32) -> GroupOrder {
    GroupOrder {
        group: format!("g{number}"),
        prompt: format!("tag:g{number}. dream of night {number}"),
        samples: GROUP_SIZE,
        max_tokens: SAMPLE_TOKENS,
    }
}

fn record_results(fleet: &Fleet, trainer: &Trainer, summary: &mut Summary) {
    let faults = trainer.faults();
    let to_u64 = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
    summary.samples_requested = u64::from(GROUPS * GROUP_SIZE);
    summary.samples_delivered = to_u64(trainer.samples().len() - faults.repeated.len());
    summary.samples_doubled = to_u64(faults.repeated.len());
    summary.staleness_bound = MAX_STALENESS;
    let newest = 2;
    let ages = trainer
        .samples()
        .iter()
        .flat_map(|entry| &entry.sample.versions);
    summary.stalest_versions = ages.map(|v| newest - v.0.min(newest)).max().unwrap_or(0);
    let mislabelled = trainer.samples().iter().filter(|e| !is_labelled(fleet, e));
    summary.samples_mislabelled = to_u64(mislabelled.count());
}

/// Returns `true` if an engine recorded a complete execution for the group of the sample with
/// exactly the weight versions and tokens of the sample.
fn is_labelled(fleet: &Fleet, entry: &SampleEntry) -> bool {
    let tag = format!("{}.", entry.group);
    let labels: BTreeSet<_> = entry.sample.versions.iter().copied().collect();
    let executions = fleet.engines.iter().flat_map(|e| e.log().tagged(&tag));
    executions
        .filter(|execution| execution.ending == Ending::Completed)
        .filter(|execution| execution.tokens == entry.sample.tokens)
        .any(|execution| execution.versions.iter().copied().collect::<BTreeSet<_>>() == labels)
}

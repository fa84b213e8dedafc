//! Placement of the groups of a step on targets: how often their prompts are read.
#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_core::decision::batch::Generation;
use sardinepath_core::decision::batch::Journal;
use sardinepath_core::decision::batch::RunId;
use sardinepath_core::decision::batch::Runner;
use sardinepath_core::decision::batch::RunnerLimits;
use sardinepath_core::decision::batch::Task;
use sardinepath_core::decision::batch::VersionLimits;
use sardinepath_core::decision::batch::by_group;
use sardinepath_core::decision::directory::Directory;
use sardinepath_core::decision::directory::TargetNeeds;
use sardinepath_core::domain::batch::Batch;
use sardinepath_core::domain::batch::Item;
use sardinepath_core::domain::fleet::TargetEntry;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::GroupName;
use sardinepath_core::domain::name::ItemId;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::SoftwareVersion;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;

const NOW: Time = Time(1_000);

/// Number of targets, and slots of each.
const TARGETS: (usize, u32) = (35, 6);

/// Number of groups of the step, and items of each.
const GROUPS: (usize, usize) = (18, 8);

/// Largest mean number of targets on which a group is placed. A group of 8 needs two targets of 6 slots,
/// and packing the groups one after the other lets every third one begin on a third target.
const MAX_SPREAD: f64 = 2.5;

fn target(index: usize) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(format!("t{index}")),
        pool: PoolName::from("engines"),
        address: "127.0.0.1:1".parse().unwrap(),
        centre: CentreName::from("here"),
        slots: TARGETS.1,
        leaving: false,
        models: vec![(ModelName::from("m"), WeightVersion(1))],
        software: SoftwareVersion::from("v1"),
        started_at: 1,
        cold: Duration::ZERO,
    }
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.limits.set_listed();
    for index in 0..TARGETS.0 {
        directory.insert(target(index));
    }
    directory
}

/// Creates the runner of a step. The sizes of the items of a group differ widely.
fn step() -> Runner {
    let item = |index: usize| {
        Arc::new(Item {
            id: ItemId::from(format!("i{index}")),
            path: Arc::from("/dreams/x"),
            headers: Vec::new(),
            body: Arc::from(&b"body"[..]),
            expected_tokens: u64::try_from(index * 7_919 % 101).unwrap(),
            group: Some(GroupName::from(format!("g{}", index / GROUPS.1))),
            scorer: None,
        })
    };
    let batch = Batch {
        model: Some(ModelName::from("m")),
        min_version: WeightVersion(1),
        items: (0..GROUPS.0 * GROUPS.1).map(item).collect(),
        source: Arc::from(""),
    };
    let limits = RunnerLimits {
        failures: None,
        deadline: None,
        versions: VersionLimits {
            min_version: WeightVersion(1),
            single: false,
        },
    };
    Runner::new(NOW, Arc::new(batch), limits, &Journal::default(), &[])
}

/// Sends an item to the target that the directory chooses.
fn place(directory: &mut Directory, runner: &mut Runner, task: &Generation) -> TargetName {
    let need = TargetNeeds {
        model: Some((ModelName::from("m"), WeightVersion(1))),
        preferred: runner.group_targets(task.group.as_ref()),
        free_slot: true,
        deferrable: true,
        ..TargetNeeds::default()
    };
    let pool = PoolName::from("engines");
    let centre = CentreName::from("here");
    let choice = directory.choose(NOW, &pool, &need, &centre).unwrap();
    let run = RunId(u64::try_from(task.index).unwrap());
    runner.generate(NOW, task.index, run, choice.name.clone());
    choice.name
}

/// Sends all items in this order, and returns the mean number of targets of a group.
fn spread(runner: &mut Runner, tasks: Vec<Task>) -> f64 {
    let mut directory = directory();
    let mut places: BTreeMap<GroupName, BTreeSet<TargetName>> = BTreeMap::new();
    for task in tasks {
        let Task::Generate(task) = task else {
            panic!("an item is scored before it is generated");
        };
        let target = place(&mut directory, runner, &task);
        places
            .entry(task.group.unwrap())
            .or_default()
            .insert(target);
    }
    let reads: usize = places.values().map(BTreeSet::len).sum();
    reads as f64 / places.len() as f64
}

/// Fails if a step for which the slots suffice spreads its groups over more targets than needed, each of
/// which reads the prompt of the group.
#[test]
fn a_step_with_enough_slots_keeps_its_groups_together() {
    let mut runner = step();

    let tasks = by_group(runner.tasks(NOW));
    let spread = spread(&mut runner, tasks);

    assert!(spread <= MAX_SPREAD, "{spread:.2} targets a group");
}

/// Fails if keeping groups together sends an item twice or leaves one out.
#[test]
fn ordering_by_group_keeps_all_items() {
    let mut runner = step();
    let indexes = |tasks: &[Task]| -> Vec<usize> {
        let index = |task: &Task| match task {
            Task::Generate(task) => Some(task.index),
            Task::Score { .. } => None,
        };
        tasks.iter().filter_map(index).collect()
    };

    let tasks = runner.tasks(NOW);
    let mut before = indexes(&tasks);
    let mut after = indexes(&by_group(tasks));

    assert_ne!(before, after);
    before.sort_unstable();
    after.sort_unstable();
    assert_eq!(before, after);
}

//! Runner of a batch job: dispatch order, moves to other targets, completed groups and drafts.
#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use sardinepath_core::decision::batch::Completed;
use sardinepath_core::decision::batch::Journal;
use sardinepath_core::decision::batch::RunEnd;
use sardinepath_core::decision::batch::RunId;
use sardinepath_core::decision::batch::Runner;
use sardinepath_core::decision::batch::RunnerLimits;
use sardinepath_core::decision::batch::Task;
use sardinepath_core::decision::batch::VersionLimits;
use sardinepath_core::decision::batch::WrittenDrafts;
use sardinepath_core::domain::batch::Batch;
use sardinepath_core::domain::batch::Draft;
use sardinepath_core::domain::batch::Item;
use sardinepath_core::domain::batch::Page;
use sardinepath_core::domain::batch::PartialText;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::GroupName;
use sardinepath_core::domain::name::ItemId;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::SoftwareVersion;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;

const START: Time = Time(1_000);

/// Creates the runner of a job with items of these sizes, in groups of two.
fn runner(sizes: &[u64]) -> Runner {
    runner_with_drafts(sizes, &[])
}

/// Creates the runner of a job whose items have these drafts.
fn runner_with_drafts(sizes: &[u64], drafts: &[Draft]) -> Runner {
    let item = |(index, size): (usize, &u64)| {
        Arc::new(Item {
            id: ItemId::from(format!("i{index}")),
            path: Arc::from("/dreams/x"),
            headers: Vec::new(),
            body: Arc::from(&b"body"[..]),
            expected_tokens: *size,
            group: Some(GroupName::from(format!("g{}", index / 2))),
            scorer: None,
        })
    };
    let batch = Batch {
        model: Some(ModelName::from("m")),
        min_version: WeightVersion(1),
        items: sizes.iter().enumerate().map(item).collect(),
        source: Arc::from(""),
    };
    let limits = RunnerLimits {
        failures: Some(3),
        deadline: Some(Time(600_000)),
        versions: VersionLimits {
            min_version: WeightVersion(1),
            single: false,
        },
    };
    Runner::new(START, Arc::new(batch), limits, &Journal::default(), drafts)
}

fn generated(tasks: Vec<Task>) -> Vec<usize> {
    let index = |task| match task {
        Task::Generate(generation) => Some(generation.index),
        Task::Score { .. } => None,
    };
    tasks.into_iter().filter_map(index).collect()
}

/// Sends every item to the same target.
fn send_all(runner: &mut Runner, target: &TargetName) {
    for index in generated(runner.tasks(START)) {
        let run = RunId(u64::try_from(index).unwrap());
        runner.generate(START, index, run, target.clone()).unwrap();
    }
}

/// Fails if a long item waits behind short ones for a slot, which delays its group.
#[test]
fn long_items_are_sent_before_short_ones() {
    let mut runner = runner(&[10, 500, 20, 30, 900, 40]);

    let order = generated(runner.tasks(START));

    assert_eq!(order, [4, 1, 5, 0, 3, 2]);
}

/// Fails if the long items of a group are not sent together, so that more targets can delay it.
#[test]
fn long_items_of_a_group_are_sent_together() {
    let mut runner = runner(&[700, 900, 800, 850, 1, 1]);

    let order = generated(runner.tasks(START));

    assert_eq!(order[..4], [1, 0, 3, 2]);
}

/// Fails if a short item is moved to a fast target before a long one.
#[test]
fn the_longest_item_moves_first() {
    let mut runner = runner(&[10, 500, 20, 900]);
    let slow = TargetName::from("slow");
    send_all(&mut runner, &slow);

    let moved = runner.movable_run(&slow);

    assert_eq!(moved, Some(RunId(3)));
}

/// Ends the run of an item with a complete text.
fn finish(runner: &mut Runner, index: u64) {
    finish_with(runner, index, "text");
}

/// Ends the run of an item with this complete text.
fn finish_with(runner: &mut Runner, index: u64, text: &str) {
    let text = PartialText {
        text: text.to_owned(),
        events: 1,
        versions: vec![1],
        software: Some(SoftwareVersion::from("v1")),
    };
    runner
        .end_run(START, RunId(index), &RunEnd::Complete, text)
        .unwrap();
    // Items without a scoring request are finished by `tasks`.
    runner.tasks(START);
}

/// Guards against pages that the store refuses for their size, again and again, so that no result is
/// ever listed: two thirds of each text are characters that are encoded in two bytes.
#[test]
fn pages_of_texts_that_grow_when_encoded_fit_into_an_object() {
    const VALUE_BYTES: usize = 1 << 20;
    let mut runner = runner(&[1; 100]);
    send_all(&mut runner, &TargetName::from("t0"));
    for index in 0..100 {
        finish_with(&mut runner, index, &"\"\\x".repeat(2_700));
    }

    let outcomes = runner.finished();

    let stored = serde_json::to_string(&Page { outcomes }).unwrap().len();
    assert!(stored <= VALUE_BYTES, "{stored} bytes");
    assert!(stored > VALUE_BYTES / 2, "{stored} bytes");
}

/// Fails if results that complete a group cannot be distinguished from others, which are written
/// later.
#[test]
fn results_that_complete_a_group_are_told_apart() {
    let mut runner = runner(&[10, 10, 10, 10]);
    send_all(&mut runner, &TargetName::from("t"));

    let none = runner.completed();
    finish(&mut runner, 0);
    finish(&mut runner, 2);
    let parts = runner.completed();
    finish(&mut runner, 1);
    let group = runner.completed();

    assert_eq!(
        [none, parts, group],
        [
            Completed::Nothing,
            Completed::PartialGroup,
            Completed::Group
        ]
    );
}

fn draft(id: &str, events: u64) -> Draft {
    Draft {
        id: ItemId::from(id),
        partial: PartialText {
            text: String::new(),
            events,
            versions: vec![1],
            software: Some(SoftwareVersion::from("v1")),
        },
        whole: false,
    }
}

/// Fails if drafts of long items are not written again because short items have ended since.
#[test]
fn items_that_end_do_not_hide_the_growth_of_others() {
    let mut written = WrittenDrafts::default();
    let before = [draft("short", 90), draft("other", 80), draft("long", 90)];
    written.replace(&before);

    let growth = written.growth(&[draft("long", 130)]);

    assert_eq!(growth, 40);
}

/// Fails if an item is sent alternately to two targets at which it failed until it is given up.
#[test]
fn an_item_avoids_all_targets_that_failed_it() {
    let mut runner = runner(&[10]);
    for (run, target) in ["a", "b"].iter().enumerate() {
        let id = RunId(u64::try_from(run).unwrap());
        let target = TargetName::from(*target);
        runner.generate(START, 0, id, target).unwrap();
        runner.end_run(START, id, &RunEnd::Failed, PartialText::default());
    }

    let tasks = runner.tasks(START + Duration::from_secs(1));

    let Some(Task::Generate(generation)) = tasks.first() else {
        panic!("no task: {tasks:?}")
    };
    assert_eq!(generation.avoid, ["a", "b"].map(TargetName::from));
}

/// Fails if an unfinished draft that an older build stored, which names no software version, goes
/// on at a target of any version.
#[test]
fn a_draft_without_a_software_version_is_not_continued() {
    let known = draft("i0", 5);
    let mut unknown = draft("i1", 7);
    unknown.partial.software = None;

    let mut runner = runner_with_drafts(&[10, 10], &[known, unknown]);
    let target = TargetName::from("t");
    let continued = |runner: &mut Runner, index| {
        let run = runner.generate(START, index, RunId(1), target.clone());
        run.unwrap().1.events
    };

    assert_eq!(continued(&mut runner, 0), 5);
    assert_eq!(continued(&mut runner, 1), 0);
}

/// Guards against an item under which targets crash that takes one target after the other down at once,
/// and against one that is given up or waits too long.
#[test]
fn an_item_under_which_targets_crash_is_spaced_but_still_owed() {
    let mut runner = runner(&[100]);
    let mut now = START;
    let mut waits = Vec::new();

    for index in 0..8 {
        let crashed = RunEnd::Crashed("the target crashed".to_owned());
        let target = TargetName::from(format!("t{index}"));
        runner.generate(now, 0, RunId(index), target).unwrap();
        runner.end_run(now, RunId(index), &crashed, PartialText::default());
        let since = now;
        while runner.tasks(now).is_empty() {
            now = now + Duration::from_millis(10);
        }
        waits.push(now.since(since).as_millis());
    }

    assert_eq!(waits, [20, 500, 1_000, 2_000, 2_000, 2_000, 2_000, 2_000]);
}

/// Fails if a text of several versions is listed after the route began to ask for one version only.
#[test]
fn texts_of_several_versions_begin_anew_under_a_rule_for_one() {
    let mixed = PartialText {
        text: "a\nb".to_owned(),
        events: 2,
        versions: vec![1, 2],
        software: Some(SoftwareVersion::from("v1")),
    };
    let draft = |id: &str, whole| Draft {
        id: ItemId::from(id),
        partial: mixed.clone(),
        whole,
    };
    let mut runner = runner_with_drafts(&[10, 10, 10], &[draft("i0", false), draft("i1", true)]);
    runner
        .generate(START, 2, RunId(7), TargetName::from("t"))
        .unwrap();
    runner.set_limits(RunnerLimits {
        failures: Some(3),
        deadline: None,
        versions: VersionLimits {
            min_version: WeightVersion(1),
            single: true,
        },
    });

    runner.end_run(START, RunId(7), &RunEnd::Complete, mixed.clone());
    let finished = runner.finished();
    let mut waiting = generated(runner.tasks(START + Duration::from_secs(1)));
    waiting.sort_unstable();

    assert_eq!((finished.len(), waiting), (0, vec![0, 1, 2]));
}

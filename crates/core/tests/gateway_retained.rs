//! Texts of ended jobs, which later jobs continue.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::sync::Arc;

use sardinepath_core::decision::batch::RetainedTexts;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::SubmitRequest;
use sardinepath_core::domain::batch::Draft;
use sardinepath_core::domain::batch::Head;
use sardinepath_core::domain::batch::Item;
use sardinepath_core::domain::batch::PartialText;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::ItemId;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::RouteName;
use sardinepath_core::domain::name::WorkspaceName;
use sardinepath_core::domain::time::WallTime;

use crate::gateway_support::Simulation;
use crate::gateway_support::batch;
use crate::gateway_support::batch_id;
use crate::gateway_support::submission;
use crate::gateway_support::workspace;

/// Number of items of each job.
const ITEMS: usize = 8;

fn head() -> Head {
    Head {
        workspace: workspace(),
        route: RouteName::from("dreams"),
        host: Arc::from("dreams.example"),
        model: Some(ModelName::from("m")),
        min_version: WeightVersion(1),
        total: 1,
        parts: 1,
        accepted: WallTime(0),
        runner: None,
        takeovers: 0,
        ended: true,
    }
}

fn item() -> Item {
    Item {
        headers: vec![(Arc::from("x-model"), Arc::from("m"))],
        ..(*batch(1).items[0]).clone()
    }
}

fn draft(text: &str) -> Draft {
    Draft {
        id: ItemId::from("i0"),
        partial: PartialText {
            text: text.to_owned(),
            events: 1,
            versions: vec![1],
            software: None,
        },
        whole: false,
    }
}

/// Ends a job of a workspace midway, and runs one of another workspace with the same ids of items.
/// Returns the number of events that were made for the second job, by item.
fn events_of_second_job(first: &str, second: &str) -> Vec<u64> {
    let mut sim = Simulation::new(1);
    let submit = |id: BatchId, workspace: &str| {
        Question::Submit(SubmitRequest {
            id,
            workspace: Some(WorkspaceName::from(workspace)),
            ..submission(ITEMS)
        })
    };
    sim.ask(0, submit(batch_id(), first));
    sim.run(500);
    let end = Question::EndJob {
        id: batch_id(),
        workspace: Some(WorkspaceName::from(first)),
    };
    sim.ask(0, end);
    sim.run(500);
    sim.begun.clear();
    sim.ask(0, submit(BatchId::from("b2"), second));
    sim.run(2_000);
    sim.begun.values().copied().collect()
}

/// Guards against results of one workspace that begin with text made for another one.
#[test]
fn a_text_is_continued_only_for_the_workspace_it_was_made_for() {
    let same = events_of_second_job("press", "press");
    let other = events_of_second_job("press", "bindery");

    assert_eq!((same.len(), other.len()), (ITEMS, ITEMS));
    assert!(same.iter().all(|begun| *begun > 0), "{same:?}");
    assert!(other.iter().all(|begun| *begun == 0), "{other:?}");
}

/// Guards against a text that goes on for another prompt, model, route or path of equal ids.
#[test]
fn a_text_is_found_only_by_the_same_item() {
    let mut texts = RetainedTexts::default();
    texts.insert(&head(), &item(), draft("a"));
    let heads = [
        Head {
            workspace: None,
            ..head()
        },
        Head {
            workspace: Some(WorkspaceName::from("bindery")),
            ..head()
        },
        Head {
            route: RouteName::from("other"),
            ..head()
        },
        Head {
            host: Arc::from("other.example"),
            ..head()
        },
        Head {
            model: None,
            ..head()
        },
    ];
    let items = [
        Item {
            body: Arc::from(&b"other"[..]),
            ..item()
        },
        Item {
            path: Arc::from("/dreams/y"),
            ..item()
        },
        Item {
            headers: vec![(Arc::from("x-model"), Arc::from("n"))],
            ..item()
        },
        Item {
            headers: Vec::new(),
            ..item()
        },
        Item {
            id: ItemId::from("i1"),
            ..item()
        },
    ];

    assert_eq!(texts.find(&head(), &item()), Some(draft("a")));
    for head in heads {
        assert_eq!(texts.find(&head, &item()), None, "{head:?}");
    }
    for item in items {
        assert_eq!(texts.find(&head(), &item), None, "{item:?}");
    }
}

/// Guards against a caller who fills the memory with texts, and against an old text of an item.
#[test]
fn retained_texts_are_bounded_and_the_newest_ones() {
    let mut texts = RetainedTexts::default();
    let numbered = |index: usize| Item {
        id: ItemId::from(format!("i{index}")),
        ..item()
    };
    let big = "x".repeat(1 << 20);
    texts.insert(&head(), &item(), draft("old"));
    texts.insert(&head(), &item(), draft("new"));
    let newest = texts.find(&head(), &item());
    for index in 1..=20 {
        let large = Draft {
            id: ItemId::from(format!("i{index}")),
            ..draft(&big)
        };
        texts.insert(&head(), &numbered(index), large);
    }
    let large = (1..=20).filter(|i| texts.find(&head(), &numbered(*i)).is_some());
    let large = large.count();
    for index in 100..500 {
        let small = Draft {
            id: ItemId::from(format!("i{index}")),
            ..draft("a")
        };
        texts.insert(&head(), &numbered(index), small);
    }

    let small = (100..500).filter(|i| texts.find(&head(), &numbered(*i)).is_some());

    assert_eq!(newest, Some(draft("new")));
    assert!((1..=8).contains(&large), "{large}");
    assert!((200..=256).contains(&small.count()));
}

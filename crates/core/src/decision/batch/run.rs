//! Life cycle of one item: waiting, generating, generated, scoring, finished.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::RunId;
use crate::domain::batch::Item;
use crate::domain::batch::Outcome;
use crate::domain::batch::PartialText;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Maximum number of targets that an item avoids.
const MAX_AVOIDED_TARGETS: usize = 4;

/// Item in one state of its life cycle.
#[derive(Debug)]
pub struct Run<S> {
    /// Submitted item.
    pub item: Arc<Item>,
    /// Number of moves from a slow target to another one.
    pub moves: u32,
    /// Number of targets that crashed while they generated the item.
    pub crashes: u32,
    /// Data of the current state.
    pub state: S,
}

/// State of an item that waits for a target.
#[derive(Debug, Default)]
pub struct Waiting {
    /// Text so far.
    pub partial: PartialText,
    /// Earliest time of the next attempt.
    pub due: Time,
    /// Targets of the last attempts, the most recent one last, which should not get the next
    /// attempt.
    pub avoid: Vec<TargetName>,
}

/// State of an item that a target generates.
#[derive(Debug)]
pub struct Generating {
    /// Identifies the attempt.
    pub id: RunId,
    /// Target of the attempt.
    pub target: TargetName,
    /// Time at which the item was sent to the target.
    pub sent: Time,
    /// Time of the last progress message, initially of the dispatch.
    pub last_progress: Time,
    /// Text of the last progress message, which may lag behind the target.
    pub draft: PartialText,
    /// Targets of earlier attempts, the most recent one last.
    pub previous: Vec<TargetName>,
}

/// State of an item that has its text and waits to be scored.
#[derive(Debug)]
pub struct Generated {
    /// Complete text.
    pub partial: PartialText,
    /// Earliest time of the next scoring request.
    pub due: Time,
}

/// State of an item that is being scored.
#[derive(Debug)]
pub struct Scoring {
    /// Identifies the scoring request.
    pub id: RunId,
    /// Target of the scoring request.
    pub target: TargetName,
    /// Complete text.
    pub partial: PartialText,
}

impl<S> Run<S> {
    fn with<T>(self, state: T) -> Run<T> {
        Run {
            item: self.item,
            moves: self.moves,
            crashes: self.crashes,
            state,
        }
    }

    /// Gives up the item. Its outcome is incomplete and has no text.
    pub fn give_up(self) -> Arc<Outcome> {
        Arc::new(Outcome {
            id: self.item.id.clone(),
            complete: false,
            text: Arc::from(""),
            versions: Vec::new(),
            score: None,
        })
    }
}

impl Run<Waiting> {
    /// Creates a waiting item with the text of an earlier attempt, which may be empty.
    pub fn new(item: Arc<Item>, partial: PartialText) -> Self {
        Self {
            item,
            moves: 0,
            crashes: 0,
            state: Waiting {
                partial,
                ..Waiting::default()
            },
        }
    }

    /// Discards the text, so that the item is generated from the start.
    pub fn restart(self) -> Run<Waiting> {
        let state = Waiting {
            partial: PartialText::default(),
            due: self.state.due,
            avoid: self.state.avoid.clone(),
        };
        self.with(state)
    }

    /// Skips the generation because the complete text is known from an earlier runner.
    pub fn finish(mut self, now: Time) -> Run<Generated> {
        let partial = std::mem::take(&mut self.state.partial);
        self.with(Generated { partial, due: now })
    }

    /// Starts an attempt at a target. Also returns the text so far, from which it continues.
    pub fn start(self, now: Time, id: RunId, target: TargetName) -> (Run<Generating>, PartialText) {
        let partial = self.state.partial.clone();
        let state = Generating {
            id,
            target,
            sent: now,
            last_progress: now,
            draft: partial.clone(),
            previous: self.state.avoid.clone(),
        };
        (self.with(state), partial)
    }
}

impl Run<Generating> {
    /// Returns the item to waiting, with a delay before the next attempt.
    pub fn retry(mut self, now: Time, pause: Duration, partial: PartialText) -> Run<Waiting> {
        let mut avoid = mem::take(&mut self.state.previous);
        avoid.retain(|target| *target != self.state.target);
        avoid.push(self.state.target.clone());
        if avoid.len() > MAX_AVOIDED_TARGETS {
            avoid.remove(0);
        }
        let state = Waiting {
            partial,
            due: now + pause,
            avoid,
        };
        self.with(state)
    }

    /// Returns the item to waiting after its target crashed.
    pub fn retry_after_crash(
        mut self,
        now: Time,
        pause: Duration,
        partial: PartialText,
    ) -> Run<Waiting> {
        self.crashes += 1;
        self.retry(now, pause, partial)
    }

    /// Ends the generation with the complete text.
    pub fn finish(self, now: Time, partial: PartialText) -> Run<Generated> {
        self.with(Generated { partial, due: now })
    }
}

impl Run<Generated> {
    /// Starts a scoring request at a target.
    pub fn start(self, id: RunId, target: TargetName) -> Run<Scoring> {
        let item = self.item;
        let state = Scoring {
            id,
            target,
            partial: self.state.partial,
        };
        Run {
            item,
            moves: self.moves,
            crashes: self.crashes,
            state,
        }
    }

    /// Discards the text, so that the item is generated from the start.
    pub fn restart(self) -> Run<Waiting> {
        self.with(Waiting::default())
    }

    /// Completes the item without a score, because it names no scorer.
    pub fn complete(self) -> Arc<Outcome> {
        outcome(&self.item, self.state.partial, None)
    }
}

impl Run<Scoring> {
    /// Discards the text, so that the item is generated from the start.
    pub fn restart(self) -> Run<Waiting> {
        self.with(Waiting::default())
    }

    /// Completes the item with its score.
    pub fn complete(self, score: Arc<str>) -> Arc<Outcome> {
        outcome(&self.item, self.state.partial, Some(score))
    }

    /// Schedules another scoring request after a delay.
    pub fn retry(self, now: Time, pause: Duration) -> Run<Generated> {
        let state = Generated {
            partial: self.state.partial,
            due: now + pause,
        };
        Run {
            item: self.item,
            moves: self.moves,
            crashes: self.crashes,
            state,
        }
    }
}

fn outcome(item: &Item, partial: PartialText, score: Option<Arc<str>>) -> Arc<Outcome> {
    Arc::new(Outcome {
        id: item.id.clone(),
        complete: true,
        text: Arc::from(partial.text),
        versions: partial.versions,
        score,
    })
}

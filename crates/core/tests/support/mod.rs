//! Fake object store, shared by the simulations.
#![allow(dead_code)] // Each test crate uses only some of the modules.

pub mod lease;
pub mod order;
pub mod pairs;
pub mod pairs_agent;
pub mod pairs_control;
pub mod pairs_entry;
pub mod pairs_fault;
pub mod pairs_fixture;
pub mod pairs_judge;
pub mod reporters;
pub mod sample;
pub mod usage;

use std::collections::BTreeMap;

use sardinepath_core::domain::ids::Revision;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::Precondition;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Outcome of one simulated call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call takes effect and is answered.
    Done,
    /// The call takes effect, but the answer is lost.
    AnswerLost,
    /// The call has no effect, and the sender gets no answer.
    CallLost,
    /// The call takes effect after the sender was told that the outcome is unknown.
    Late,
    /// The call is rejected and has no effect.
    Down,
}

/// Object store with conditional updates. Values are stored as JSON.
#[derive(Debug, Default)]
pub struct FakeStore {
    revision: u64,
    objects: BTreeMap<String, (Revision, String)>,
    late: Vec<(String, String, Precondition)>,
}

impl FakeStore {
    /// Reads one object.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Option<(Revision, T)> {
        let (revision, text) = self.objects.get(path)?;
        Some((*revision, serde_json::from_str(text).unwrap()))
    }

    /// Reads all objects under a prefix.
    pub fn list<T: DeserializeOwned>(&self, prefix: &str) -> Vec<(Revision, T)> {
        let under = self.objects.keys().filter(|path| path.starts_with(prefix));
        under.filter_map(|path| self.get(path)).collect()
    }

    /// Writes one object. `outcome` is the outcome of the call.
    pub fn put<T: Serialize>(
        &mut self,
        path: &str,
        value: &T,
        expect: Precondition,
        outcome: CallOutcome,
    ) -> Result<Revision, ObjectError> {
        let text = serde_json::to_string(value).unwrap();
        match outcome {
            CallOutcome::Done => return self.apply(path, text, expect),
            CallOutcome::AnswerLost => drop(self.apply(path, text, expect)),
            CallOutcome::CallLost => {}
            CallOutcome::Late => self.late.push((path.into(), text, expect)),
            CallOutcome::Down => return Err(ObjectError::Unavailable("outage".into())),
        }
        Err(ObjectError::Unknown("no answer".into()))
    }

    /// Applies the late calls.
    pub fn arrive(&mut self) {
        for (path, text, expect) in std::mem::take(&mut self.late) {
            drop(self.apply(&path, text, expect));
        }
    }

    fn apply(
        &mut self,
        path: &str,
        text: String,
        expect: Precondition,
    ) -> Result<Revision, ObjectError> {
        let found = self.objects.get(path).map(|object| object.0);
        let holds = match expect {
            Precondition::Absent => found.is_none(),
            Precondition::At(revision) => found == Some(revision),
        };
        if !holds {
            return Err(ObjectError::Conflict(found));
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.objects.insert(path.into(), (revision, text));
        Ok(revision)
    }
}

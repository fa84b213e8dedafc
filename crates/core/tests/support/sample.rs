//! Simulated runners that generate groups, and a trainer that checks the groups that it receives.

use std::collections::BTreeSet;

use sardinepath_core::decision::sample::Generated;
use sardinepath_core::decision::sample::Group;
use sardinepath_core::decision::sample::GroupId;
use sardinepath_core::decision::sample::GroupRecord;
use sardinepath_core::decision::sample::GroupState;
use sardinepath_core::decision::sample::GroupWrite;
use sardinepath_core::decision::sample::Recording;
use sardinepath_core::decision::sample::Reply;
use sardinepath_core::decision::sample::Sample;
use sardinepath_core::decision::sample::StalenessLimit;
use sardinepath_core::decision::sample::Stored;
use sardinepath_core::decision::sample::answer_poll;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::TrainerName;
use sardinepath_core::port::object::ObjectError;

use crate::support::CallOutcome;
use crate::support::FakeStore;

pub const GROUPS: u32 = 2;
pub const BOUND: u64 = 1;

pub fn id(group: u32) -> GroupId {
    let trainer = TrainerName::from("t1");
    GroupId {
        trainer,
        step: 4,
        group,
    }
}

pub fn samples(version: u64) -> Vec<Sample> {
    let sample = |index| Sample {
        index,
        versions: vec![WeightVersion(version)],
        tokens: 5,
        score: 1.0,
        text: format!("produced by {version}").into(),
    };
    vec![sample(1), sample(0)]
}

#[derive(Default)]
pub struct Simulation {
    pub store: FakeStore,
    /// Weight version of the trainer.
    pub trainer: u64,
    /// Number of versions that the targets are behind the trainer.
    pub lag: u64,
    pub cursor: Revision,
    pub received: Vec<(GroupId, GroupRecord)>,
    pub withheld: BTreeSet<GroupId>,
    pub fault: Option<String>,
}

impl Simulation {
    pub fn limit(&self) -> StalenessLimit {
        StalenessLimit {
            trainer: WeightVersion(self.trainer),
            bound: BOUND,
        }
    }

    pub fn stored(&self) -> Vec<Stored> {
        let found = (0..GROUPS).filter_map(|g| self.store.get(&id(g).path()).map(|f| (g, f)));
        found
            .map(|(g, (revision, record))| (id(g), revision, record))
            .collect()
    }

    pub fn put(
        &mut self,
        write: &GroupWrite,
        outcome: CallOutcome,
    ) -> Result<Revision, ObjectError> {
        self.store
            .put(&write.path, &write.record, write.expect, outcome)
    }

    pub fn deliver(&mut self, outcome: CallOutcome) {
        for (id, revision, record) in self.stored() {
            if record.state == GroupState::Recorded {
                let write = Group::recorded(id, revision, record).deliver(self.limit());
                let _ = self.put(&write, outcome);
            }
        }
    }

    pub fn reply(&self) -> Reply {
        answer_poll(self.stored(), self.cursor, self.limit())
    }

    pub fn receive(&mut self, reply: Reply) {
        for (id, record) in reply.groups {
            if self.received.iter().any(|known| known.0 == id) || self.withheld.contains(&id) {
                self.fault = Some(format!("{id:?} received twice"));
            }
            for sample in &record.samples {
                let produced = format!("produced by {}", sample.versions[0]);
                let old = self.trainer - sample.versions[0].0 > BOUND;
                if old || *sample.text != *produced {
                    self.fault = Some(format!("{id:?} is too old or wrongly labelled"));
                }
            }
            self.received.push((id, record));
        }
        self.withheld.extend(reply.withheld);
        self.cursor = reply.cursor;
    }
}

pub enum Runner {
    Idle,
    Write(Group<Generated>),
    ReadBack(Group<Generated>),
}

/// Performs one step of a runner for one group and returns its next state.
pub fn run(runner: Runner, group: u32, sim: &mut Simulation, outcome: CallOutcome) -> Runner {
    let recording = match runner {
        Runner::Idle => {
            let open = match sim.store.get::<GroupRecord>(&id(group).path()) {
                None => Group::first(id(group), 2),
                Some((revision, record)) if record.state == GroupState::Expired => {
                    Group::next_round(id(group), 2, revision, &record)
                }
                Some(_) => return Runner::Idle,
            };
            let version = sim.trainer - sim.lag;
            return Runner::Write(open.generated(samples(version)).unwrap());
        }
        Runner::Write(generated) => match generated.record(sim.limit()) {
            Err(_) => return Runner::Idle,
            Ok(write) => {
                let answer = sim.put(&write, outcome);
                generated.answered(&write, &answer)
            }
        },
        Runner::ReadBack(last) if outcome == CallOutcome::Down => return Runner::ReadBack(last),
        Runner::ReadBack(generated) => {
            let found = sim.store.get(&id(group).path());
            generated.read(Ok(found))
        }
    };
    match recording {
        Recording::Recorded(..) => Runner::Idle,
        Recording::ReadBack(generated, _) => Runner::ReadBack(generated),
        Recording::Retry(generated) => Runner::Write(generated),
    }
}

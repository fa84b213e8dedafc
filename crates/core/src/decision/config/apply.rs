//! The apply of a declaration set: `Draft` → `Checked` → `Planned`, and the update of each team:
//! `Ready` → `Unsure` until its outcome is known.

use std::collections::BTreeMap;

use crate::decision::config::check::Trees;
use crate::decision::config::check::check;
use crate::decision::config::diff::Difference;
use crate::decision::config::diff::differences;
use crate::decision::config::fault::Fault;
use crate::domain::declare::TeamTree;
use crate::domain::ids::Revision;
use crate::domain::name::TeamName;
use crate::port::object::Expect;
use crate::port::object::ObjectError;

/// Times one update is sent. The same condition goes with each, so at most one has an effect.
const SENDS_MOST: u32 = 4;

/// What the object API holds, by team.
pub type Stored = BTreeMap<TeamName, (Revision, TeamTree)>;

/// A set that was not checked.
#[derive(Debug)]
pub struct Draft;

/// A set without faults.
#[derive(Debug)]
pub struct Checked;

/// A set whose updates are known.
#[derive(Debug)]
pub struct Planned {
    updates: Vec<Update<Ready>>,
}

/// The apply of a declaration set.
#[derive(Debug)]
pub struct Apply<S> {
    set: Trees,
    base: BTreeMap<TeamName, Revision>,
    state: S,
}

/// A team was changed since the revision on which its declarations are based.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseConflict {
    /// The team.
    pub team: TeamName,
    /// Revision on which the set is based.
    pub base: Revision,
    /// Revision that the object API holds, or none if the team does not exist.
    pub found: Option<Revision>,
}

/// An update that can be sent.
#[derive(Clone, Debug)]
pub struct Ready;

/// An update that may have had its effect.
#[derive(Clone, Debug)]
pub struct Unsure;

/// The one conditional update of a team.
#[derive(Clone, Debug)]
pub struct Update<S> {
    team: TeamName,
    tree: TeamTree,
    expect: Expect,
    differences: Vec<Difference>,
    sends: u32,
    _state: S,
}

/// How an update ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The tree is stored at this revision.
    Applied(Revision),
    /// Another writer was first. The revision found is given, or none if the team is gone.
    Conflict(Option<Revision>),
    /// The update had no effect.
    Failed(String),
    /// The update may have had its effect, and the object API does not answer.
    Unknown(String),
}

/// What follows an answer.
#[derive(Debug)]
pub enum Step {
    /// The outcome is known.
    Settled(Settled),
    /// Read the team's object and decide on what it holds.
    ReadBack(Update<Unsure>),
    /// Send the update again with the same condition.
    SendAgain(Update<Ready>),
}

impl Apply<Draft> {
    /// Starts an apply. `base` holds the revisions on which the set is based, where known.
    pub fn new(set: Trees, base: BTreeMap<TeamName, Revision>) -> Self {
        Self {
            set,
            base,
            state: Draft,
        }
    }

    /// Checks the whole set. A single fault rejects it.
    pub fn check(self, stored: &Stored) -> Result<Apply<Checked>, Vec<Fault>> {
        let trees = stored.iter();
        let trees = trees.map(|(team, (_, tree))| (team.clone(), tree.clone()));
        let faults = check(&self.set, &trees.collect());
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Apply {
            set: self.set,
            base: self.base,
            state: Checked,
        })
    }
}

impl Apply<Checked> {
    /// Plans one update for each team that changes.
    pub fn plan(self, stored: &Stored) -> Result<Apply<Planned>, BaseConflict> {
        let mut updates = Vec::new();
        for (team, tree) in &self.set {
            let old = stored.get(team);
            let found = old.map(|(revision, _)| *revision);
            if let Some(base) = self.base.get(team).copied()
                && found != Some(base)
            {
                let team = team.clone();
                return Err(BaseConflict { team, base, found });
            }
            let differences = differences(team, old.map(|(_, tree)| tree), tree);
            if old.is_some() && differences.is_empty() {
                continue;
            }
            updates.push(Update {
                team: team.clone(),
                tree: tree.clone(),
                expect: found.map_or(Expect::Absent, Expect::At),
                differences,
                sends: 0,
                _state: Ready,
            });
        }
        Ok(Apply {
            set: self.set,
            base: self.base,
            state: Planned { updates },
        })
    }
}

impl Apply<Planned> {
    /// Returns the updates in the order of the teams' names.
    pub fn updates(&self) -> &[Update<Ready>] {
        &self.state.updates
    }
}

impl<S> Update<S> {
    /// Returns the team.
    pub fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the tree that the update stores.
    pub fn tree(&self) -> &TeamTree {
        &self.tree
    }

    /// Returns the condition of the update.
    pub fn expect(&self) -> Expect {
        self.expect
    }

    /// Returns what the update changes.
    pub fn differences(&self) -> &[Difference] {
        &self.differences
    }

    fn into_state<T>(self, state: T) -> Update<T> {
        Update {
            team: self.team,
            tree: self.tree,
            expect: self.expect,
            differences: self.differences,
            sends: self.sends,
            _state: state,
        }
    }
}

impl Update<Ready> {
    /// Takes in the answer to the update.
    pub fn answered(mut self, answer: Result<Revision, ObjectError>) -> Step {
        self.sends += 1;
        match answer {
            Ok(revision) => Step::Settled(Settled::Applied(revision)),
            // An earlier send of this update may be what the condition ran into.
            Err(ObjectError::Conflict(_)) if self.sends > 1 => {
                Step::ReadBack(self.into_state(Unsure))
            }
            Err(ObjectError::Conflict(found)) => Step::Settled(Settled::Conflict(found)),
            Err(ObjectError::Unknown(_)) => Step::ReadBack(self.into_state(Unsure)),
            Err(ObjectError::Unavailable(e) | ObjectError::Invalid(e)) if self.sends == 1 => {
                Step::Settled(Settled::Failed(e))
            }
            Err(ObjectError::Unavailable(e) | ObjectError::Invalid(e)) => {
                Step::Settled(Settled::Unknown(e))
            }
            Err(ObjectError::Compacted) => {
                let text = "the object API answered an update as a watch".to_owned();
                Step::Settled(Settled::Unknown(text))
            }
        }
    }
}

impl Update<Unsure> {
    /// Decides on what the object API holds after an answer was lost.
    ///
    /// A lost update may still arrive after the read. It is therefore never reported as failed:
    /// it is sent again with the same condition, under which only one of the sends has an effect.
    pub fn read_back(self, found: Result<Option<(Revision, TeamTree)>, ObjectError>) -> Step {
        let found = match found {
            Ok(found) => found,
            Err(e) => return Step::Settled(Settled::Unknown(format!("{e:?}"))),
        };
        let revision = found.as_ref().map(|(revision, _)| *revision);
        let unchanged = match self.expect {
            Expect::Absent => revision.is_none(),
            Expect::At(base) => revision == Some(base),
        };
        match found {
            _ if unchanged && self.sends < SENDS_MOST => Step::SendAgain(self.into_state(Ready)),
            _ if unchanged => {
                let text = format!("{} answers were lost", self.sends);
                Step::Settled(Settled::Unknown(text))
            }
            Some((revision, tree)) if tree == self.tree => {
                Step::Settled(Settled::Applied(revision))
            }
            _ => Step::Settled(Settled::Conflict(revision)),
        }
    }
}

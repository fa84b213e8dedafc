//! Life cycles of an apply and of its updates.
//!
//! The apply of a declaration set goes through `Draft`, `Checked` and `Planned`. The update of each
//! team alternates between `Ready` and `Unconfirmed` until its outcome is known.

use std::collections::BTreeMap;

use crate::decision::config::check::Trees;
use crate::decision::config::check::check;
use crate::decision::config::diff::Difference;
use crate::decision::config::diff::differences;
use crate::decision::config::fault::Fault;
use crate::domain::declare::TeamTree;
use crate::domain::ids::Revision;
use crate::domain::name::TeamName;
use crate::port::object::ObjectError;
use crate::port::object::Precondition;

/// Maximum number of times that one update is sent. Each has the same condition, so at most one
/// takes effect.
const MAX_SENDS: u32 = 4;

/// Stored revision and declarations of each team.
pub type Stored = BTreeMap<TeamName, (Revision, TeamTree)>;

/// The set has not been checked.
#[derive(Debug)]
pub struct Draft;

/// The set has no faults.
#[derive(Debug)]
pub struct Checked;

/// The updates of the set are known.
#[derive(Debug)]
pub struct Planned {
    updates: Vec<Update<Ready>>,
}

/// Apply of a declaration set, in one state of its life cycle.
#[derive(Debug)]
pub struct Apply<S> {
    set: Trees,
    base: BTreeMap<TeamName, Revision>,
    state: S,
}

/// Conflict with a change to a team since the revision on which the set is based.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseConflict {
    /// Team that was changed.
    pub team: TeamName,
    /// Revision on which the set is based.
    pub base: Revision,
    /// Stored revision, or `None` if the team does not exist.
    pub found: Option<Revision>,
}

/// The update can be sent.
#[derive(Clone, Debug)]
pub struct Ready;

/// The update may have taken effect.
#[derive(Clone, Debug)]
pub struct Unconfirmed;

/// Conditional update of one team, in one state of its life cycle.
#[derive(Clone, Debug)]
pub struct Update<S> {
    team: TeamName,
    tree: TeamTree,
    expect: Precondition,
    differences: Vec<Difference>,
    sends: u32,
    _state: S,
}

/// Outcome of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The tree is stored at this revision.
    Applied(Revision),
    /// Another write took effect first. Holds the stored revision, or `None` if the team does not
    /// exist.
    Conflict(Option<Revision>),
    /// The update had no effect, for this reason.
    Failed(String),
    /// The update may have taken effect, but its outcome could not be read.
    Unknown(String),
}

/// Next step after an answer.
#[derive(Debug)]
pub enum Step {
    /// The outcome is known.
    Settled(Settled),
    /// Read the team's object and pass the result to `read_back`.
    ReadBack(Update<Unconfirmed>),
    /// Send the update again with the same condition.
    SendAgain(Update<Ready>),
}

impl Apply<Draft> {
    /// Creates an apply. `base` holds the revision on which the declarations of each team are
    /// based, where known.
    pub fn new(set: Trees, base: BTreeMap<TeamName, Revision>) -> Self {
        Self {
            set,
            base,
            state: Draft,
        }
    }

    /// Checks the whole set. Fails with all faults if there are any.
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
    /// Plans one update for each team that changes. Fails if a team was changed since its base
    /// revision.
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
                expect: found.map_or(Precondition::Absent, Precondition::At),
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
    /// Returns the updates ordered by team name.
    pub fn updates(&self) -> &[Update<Ready>] {
        &self.state.updates
    }
}

impl<S> Update<S> {
    /// Returns the name of the updated team.
    pub fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the declarations that the update stores.
    pub fn tree(&self) -> &TeamTree {
        &self.tree
    }

    /// Returns the condition under which the update takes effect.
    pub fn expect(&self) -> Precondition {
        self.expect
    }

    /// Returns the declarations that the update changes.
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
    /// Handles the answer to the update.
    pub fn answered(mut self, answer: Result<Revision, ObjectError>) -> Step {
        self.sends += 1;
        match answer {
            Ok(revision) => Step::Settled(Settled::Applied(revision)),
            // The conflict may be with an earlier send of this update.
            Err(ObjectError::Conflict(_)) if self.sends > 1 => {
                Step::ReadBack(self.into_state(Unconfirmed))
            }
            Err(ObjectError::Conflict(found)) => Step::Settled(Settled::Conflict(found)),
            Err(ObjectError::Unknown(_)) => Step::ReadBack(self.into_state(Unconfirmed)),
            Err(ObjectError::Unavailable(e) | ObjectError::Invalid(e)) if self.sends == 1 => {
                Step::Settled(Settled::Failed(e))
            }
            Err(ObjectError::Unavailable(e) | ObjectError::Invalid(e)) => {
                Step::Settled(Settled::Unknown(e))
            }
            Err(ObjectError::Compacted) => {
                let text = "the object API reported a compacted revision for an update".to_owned();
                Step::Settled(Settled::Unknown(text))
            }
        }
    }
}

impl Update<Unconfirmed> {
    /// Handles the object that was read back after a lost answer.
    ///
    /// A lost update may still take effect after the read, so it is never reported as failed. It is
    /// sent again with the same condition, under which at most one of the sends takes effect.
    pub fn read_back(self, found: Result<Option<(Revision, TeamTree)>, ObjectError>) -> Step {
        let found = match found {
            Ok(found) => found,
            Err(e) => return Step::Settled(Settled::Unknown(format!("{e:?}"))),
        };
        let revision = found.as_ref().map(|(revision, _)| *revision);
        let unchanged = match self.expect {
            Precondition::Absent => revision.is_none(),
            Precondition::At(base) => revision == Some(base),
        };
        match found {
            _ if unchanged && self.sends < MAX_SENDS => Step::SendAgain(self.into_state(Ready)),
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

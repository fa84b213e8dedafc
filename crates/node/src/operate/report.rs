//! Results of the operator commands and the text in which they are printed.

use std::fmt;
use std::io;
use std::path::PathBuf;

use sardinepath_core::decision::config::apply::BaseConflict;
use sardinepath_core::decision::config::apply::Settled;
use sardinepath_core::decision::config::diff::Difference;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::port::object::ObjectError;
use serde_json::Value;

use crate::config::read::ReadFault;

/// Outcome of an apply.
#[derive(Debug)]
pub struct Applied {
    /// Teams that the file changes, in the order of their updates.
    pub teams: Vec<TeamOutcome>,
}

/// Outcome of one team's update.
#[derive(Debug)]
pub struct TeamOutcome {
    /// The updated team.
    pub team: TeamName,
    /// Changes of the update.
    pub differences: Vec<Difference>,
    /// Outcome of the update, or none if it was not sent.
    pub settled: Option<Settled>,
}

/// Changes that an apply would make.
#[derive(Debug)]
pub struct PlannedChanges {
    /// Declarations that differ from the stored ones.
    pub differences: Vec<Difference>,
}

/// A team or declaration that was read.
#[derive(Debug)]
pub struct StoredValue {
    /// Revision of the team to which it belongs.
    pub revision: Revision,
    /// The team or declaration as JSON.
    pub value: Value,
}

/// Paths of teams and declarations.
#[derive(Debug)]
pub struct PathListing {
    /// Paths with the revisions of their teams.
    pub entries: Vec<(String, Revision)>,
}

/// Error of an operator command.
#[derive(Debug)]
pub enum OperateError {
    /// The file cannot be read.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        source: io::Error,
    },
    /// The declarations have faults.
    Faults(Vec<ReadFault>),
    /// The stored declarations are newer than the base of the file. Nothing was changed.
    Conflict(BaseConflict),
    /// A call to the object API failed. Nothing was changed.
    Platform(ObjectError),
    /// The stored declarations of a team cannot be read.
    Stored {
        /// The team whose declarations cannot be read.
        team: TeamName,
        /// Cause of the error.
        source: serde_json::Error,
    },
    /// No declaration has this path.
    NoPath(String),
    /// A declaration cannot be encoded.
    Encode(serde_json::Error),
}

impl Applied {
    /// Returns `true` if every update was applied.
    pub fn is_complete(&self) -> bool {
        let mut teams = self.teams.iter();
        teams.all(|team| matches!(team.settled, Some(Settled::Applied(_))))
    }
}

impl OperateError {
    /// Wraps an error of the encoder.
    pub(crate) fn encode(source: serde_json::Error) -> Self {
        Self::Encode(source)
    }
}

impl fmt::Display for Applied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.teams.is_empty() {
            return writeln!(f, "nothing to change");
        }
        for team in &self.teams {
            for difference in &team.differences {
                writeln!(f, "{difference}")?;
            }
            write!(f, "team {}: ", team.team)?;
            match &team.settled {
                Some(Settled::Applied(revision)) => writeln!(f, "applied at revision {revision}")?,
                Some(Settled::Conflict(Some(revision))) => {
                    writeln!(f, "conflict: the newer revision is {revision}")?;
                }
                Some(Settled::Conflict(None)) => writeln!(f, "conflict: the team was removed")?,
                Some(Settled::Failed(text)) => writeln!(f, "not applied: {text}")?,
                Some(Settled::Unknown(text)) => writeln!(
                    f,
                    "it is not known whether the change was applied: {text}; apply the file again"
                )?,
                None => writeln!(f, "not sent")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for PlannedChanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut differences = self.differences.iter();
        differences.try_for_each(|difference| writeln!(f, "{difference}"))
    }
}

impl fmt::Display for StoredValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "// revision {}\n{:#}", self.revision, self.value)
    }
}

impl fmt::Display for PathListing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut entries = self.entries.iter();
        entries.try_for_each(|(path, revision)| writeln!(f, "{path} {revision}"))
    }
}

impl fmt::Display for OperateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => {
                write!(f, "{} cannot be read: {source}", path.display())
            }
            Self::Faults(faults) => {
                let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Self::Conflict(conflict) => {
                write!(f, "conflict: team {} is ", conflict.team)?;
                match conflict.found {
                    Some(found) => write!(f, "at the newer revision {found}")?,
                    None => f.write_str("not stored")?,
                }
                write!(f, ", and the file is based on revision {}", conflict.base)
            }
            Self::Platform(e) => write!(f, "the object API failed: {}", describe(e)),
            Self::Stored { team, source } => {
                write!(
                    f,
                    "the stored declarations of team {team} cannot be read: {source}"
                )
            }
            Self::NoPath(path) => write!(f, "no declaration has the path {path:?}"),
            Self::Encode(source) => write!(f, "a declaration cannot be encoded: {source}"),
        }
    }
}

impl std::error::Error for OperateError {}

fn describe(error: &ObjectError) -> String {
    match error {
        ObjectError::Conflict(_) => "another writer was first".to_owned(),
        ObjectError::Compacted => "the history was compacted".to_owned(),
        ObjectError::Unavailable(text)
        | ObjectError::Unknown(text)
        | ObjectError::Invalid(text) => text.clone(),
    }
}

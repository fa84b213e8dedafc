//! Faults of declarations: the path of the value and the reason.

use std::fmt;

use crate::domain::declare::Scheme;
use crate::domain::name::TeamName;

/// A fault in a declaration set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Field names and indices from the root of the set to the value.
    pub path: Vec<String>,
    /// What is wrong with the value.
    pub reason: Reason,
}

/// What is wrong with a declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A name does not follow the team's naming scheme.
    NameScheme(Scheme),
    /// A team's name follows none of the schemes.
    TeamName,
    /// A name of the platform has a character that is not allowed, or is too long.
    PlainName,
    /// A reference names a declaration that does not exist in the team.
    Missing {
        /// Kind of the declaration.
        kind: &'static str,
        /// The name that does not exist.
        name: String,
    },
    /// The digest belongs to another key.
    SharedDigest {
        /// Team of the other key.
        team: TeamName,
        /// Name of the other key.
        key: String,
    },
    /// The target has another agent elsewhere, or the agent another target.
    SharedTarget {
        /// Team of the other declaration.
        team: TeamName,
        /// Name of the other target.
        target: String,
    },
    /// A number is outside its limits.
    Range {
        /// Lowest valid value.
        least: u64,
        /// Highest valid value.
        most: u64,
    },
    /// A list that must not be empty is empty.
    Empty,
    /// A list names something twice.
    Twice,
    /// A model pool has no model.
    ModelMissing,
    /// A plain pool has a model.
    ModelUnused,
    /// An agent's address has no port, or no address that can be connected to.
    Address,
    /// A withdrawn key would come back into force.
    Withdrawn,
    /// A key that was accepted before is no longer declared.
    KeyDropped,
    /// The digest of an accepted key differs.
    DigestChanged,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NameScheme(scheme) => write!(f, "the name must be {}", described(*scheme)),
            Self::TeamName => f.write_str("the team's name follows none of the naming schemes"),
            Self::PlainName => {
                f.write_str("the name must have 1 to 64 letters, digits, '.', '_' or '-'")
            }
            Self::Missing { kind, name } => {
                write!(f, "the {kind} {name:?} does not exist in the team")
            }
            Self::SharedDigest { team, key } => {
                write!(f, "the digest belongs to the key {key:?} of team {team}")
            }
            Self::SharedTarget { team, target } => write!(
                f,
                "the target {target:?} of team {team} shares the name or the agent but not both"
            ),
            Self::Range { least, most } => {
                write!(f, "the value must be from {least} to {most}")
            }
            Self::Empty => f.write_str("the list must not be empty"),
            Self::Twice => f.write_str("the list names this twice"),
            Self::ModelMissing => f.write_str("a pool of kind \"model\" must name its model"),
            Self::ModelUnused => f.write_str("a pool of kind \"plain\" must not name a model"),
            Self::Address => f.write_str("the address must have an IP address and a port"),
            Self::Withdrawn => f.write_str("a withdrawn key cannot be put back into force"),
            Self::KeyDropped => {
                f.write_str("an accepted key must stay declared, with \"withdrawn\": true")
            }
            Self::DigestChanged => {
                f.write_str("the digest of an accepted key cannot change; declare a new key")
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.join("/"), self.reason)
    }
}

fn described(scheme: Scheme) -> &'static str {
    match scheme {
        Scheme::Slug => "lower-case words joined by hyphens, as \"dream-diary\"",
        Scheme::Dotted => "two or more lower-case words joined by dots, as \"press.caxias.diary\"",
        Scheme::Coded => "two to four capitals, a hyphen and five digits, as \"WS-00417\"",
    }
}

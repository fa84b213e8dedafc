//! Faults of declarations, each with the path of the value and the reason.

use std::fmt;

use crate::domain::declare::Scheme;
use crate::domain::name::TeamName;

/// A fault in a declaration set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Field names and list indices from the root of the set to the value.
    pub path: Vec<String>,
    /// Reason why the value is not valid.
    pub reason: Reason,
}

/// Reason why a declaration is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A name does not follow the team's naming scheme.
    NameScheme(Scheme),
    /// A team's name follows none of the naming schemes.
    TeamName,
    /// A name assigned by the platform is empty, too long or contains a disallowed character.
    PlainName,
    /// A reference points to a declaration that does not exist in the team.
    Missing {
        /// Kind of the missing declaration, such as `pool`.
        kind: &'static str,
        /// Name of the missing declaration.
        name: String,
    },
    /// Another key already has the digest.
    SharedDigest {
        /// Team of the other key.
        team: TeamName,
        /// Name of the other key.
        key: String,
    },
    /// Another declaration gives the target a different agent, or the agent a different target.
    SharedTarget {
        /// Team of the other declaration.
        team: TeamName,
        /// Name of the other target.
        target: String,
    },
    /// A number is out of range.
    Range {
        /// Lowest valid value.
        min: u64,
        /// Highest valid value.
        max: u64,
    },
    /// A list that must not be empty is empty.
    Empty,
    /// A list contains a name twice.
    Duplicate,
    /// A pool of kind `model` declares no model.
    ModelMissing,
    /// A pool of kind `plain` declares a model.
    ModelUnused,
    /// An agent's address has no port, or an IP address that cannot be connected to.
    Address,
    /// A withdrawn key is declared as valid again.
    Withdrawn,
    /// A previously accepted key is no longer declared.
    KeyDropped,
    /// The digest of a previously accepted key differs.
    DigestChanged,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NameScheme(scheme) => write!(f, "the name must be {}", scheme_rule(*scheme)),
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
            Self::Range { min, max } => {
                write!(f, "the value must be from {min} to {max}")
            }
            Self::Empty => f.write_str("the list must not be empty"),
            Self::Duplicate => f.write_str("the list names this twice"),
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

fn scheme_rule(scheme: Scheme) -> &'static str {
    match scheme {
        Scheme::Slug => "lower-case words joined by hyphens, as \"dream-diary\"",
        Scheme::Dotted => "two or more lower-case words joined by dots, as \"press.caxias.diary\"",
        Scheme::Coded => "two to four capitals, a hyphen and five digits, as \"WS-00417\"",
    }
}

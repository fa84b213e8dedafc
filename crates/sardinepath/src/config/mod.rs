//! Reads settings files.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use sardinepath_node::config::AgentSettings;
use sardinepath_node::config::EntrySettings;
use sardinepath_node::config::read::ReadFault;
use sardinepath_node::config::read::read;
use sardinepath_node::config::role::Role;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde::de::IgnoredAny;

/// Why a settings file cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    File(PathBuf, std::io::Error),
    /// The text has a fault.
    Text(PathBuf, ReadFault),
}

/// What a checked file is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checked {
    /// Correct settings of a role.
    Settings(Role),
    /// Declarations, which are not checked yet.
    Declarations,
}

/// The field that tells declarations from settings.
#[derive(Deserialize)]
struct Kind {
    teams: Option<IgnoredAny>,
}

/// The part of a settings file that tells the roles apart.
#[derive(Deserialize)]
struct RoleOnly {
    role: Role,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(file, e) => write!(f, "{}: cannot be read: {e}", file.display()),
            Self::Text(file, fault) => write!(f, "{}: {fault}", file.display()),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Loads the settings of one role.
pub fn load<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(file).map_err(|e| SettingsError::File(file.to_owned(), e))?;
    let document = read(&text).map_err(|fault| SettingsError::Text(file.to_owned(), fault))?;
    Ok(document.value)
}

/// Checks a settings file of either role. Declarations are only recognised.
pub fn check(file: &Path) -> Result<Checked, SettingsError> {
    let kind: Kind = load(file)?;
    if kind.teams.is_some() {
        return Ok(Checked::Declarations);
    }
    let RoleOnly { role } = load(file)?;
    match role {
        Role::Entry => drop(load::<EntrySettings>(file)?),
        Role::Agent => drop(load::<AgentSettings>(file)?),
    }
    Ok(Checked::Settings(role))
}

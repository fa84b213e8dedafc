//! Loads and validates settings files.

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

/// Error of loading a settings file.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    File(PathBuf, std::io::Error),
    /// The content is not valid JSON with comments or does not match the expected fields.
    Text(PathBuf, ReadFault),
}

/// Kind of a file that passed the check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckedFile {
    /// Valid settings of a role.
    Settings(Role),
    /// Declarations, whose content is not validated yet.
    Declarations,
}

/// The field whose presence distinguishes declarations from settings.
#[derive(Deserialize)]
struct Kind {
    teams: Option<IgnoredAny>,
}

/// The field of a settings file that names its role.
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

/// Loads the settings of one role, or any other type that is read from a settings file.
pub fn load<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(file).map_err(|e| SettingsError::File(file.to_owned(), e))?;
    let document = read(&text).map_err(|fault| SettingsError::Text(file.to_owned(), fault))?;
    Ok(document.value)
}

/// Validates the settings file of an entry or agent. Declarations are recognised but not
/// validated.
pub fn check(file: &Path) -> Result<CheckedFile, SettingsError> {
    let kind: Kind = load(file)?;
    if kind.teams.is_some() {
        return Ok(CheckedFile::Declarations);
    }
    let RoleOnly { role } = load(file)?;
    match role {
        Role::Entry => drop(load::<EntrySettings>(file)?),
        Role::Agent => drop(load::<AgentSettings>(file)?),
    }
    Ok(CheckedFile::Settings(role))
}

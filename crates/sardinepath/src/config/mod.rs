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

/// Why a settings file cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    File(PathBuf, std::io::Error),
    /// The text has a fault.
    Text(PathBuf, ReadFault),
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

/// Checks a settings file of either role and returns the role.
pub fn check(file: &Path) -> Result<Role, SettingsError> {
    let RoleOnly { role } = load(file)?;
    match role {
        Role::Entry => load::<EntrySettings>(file).map(|_| role),
        Role::Agent => load::<AgentSettings>(file).map(|_| role),
    }
}

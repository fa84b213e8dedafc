//! Files with the declarations of teams.

use std::collections::BTreeMap;
use std::path::Path;

use sardinepath_core::decision::config::check::Trees;
use sardinepath_core::decision::config::fault::Fault;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::TeamName;
use serde::Deserialize;

use crate::config::read::Document;
use crate::config::read::ReadFault;
use crate::config::read::read;
use crate::operate::report::OperateError;

/// Maximum size of a value of the object API in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// A declaration file with the text from which it was read.
#[derive(Debug)]
pub struct DeclarationFile {
    document: Document<Content>,
}

/// Content of a declaration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Content {
    /// Revisions of the teams on which the declarations are based.
    #[serde(default)]
    base: BTreeMap<TeamName, Revision>,
    teams: Trees,
}

impl DeclarationFile {
    /// Reads a file. Fails if it cannot be read or its content is malformed.
    pub fn open(path: &Path) -> Result<Self, OperateError> {
        let text = std::fs::read_to_string(path).map_err(|source| OperateError::File {
            path: path.to_owned(),
            source,
        })?;
        let document = read(&text).map_err(|fault| OperateError::Faults(vec![fault]))?;
        Ok(Self { document })
    }

    /// Returns the declared teams.
    pub fn teams(&self) -> &Trees {
        &self.document.value.teams
    }

    /// Returns the revisions on which the file is based.
    pub fn base(&self) -> &BTreeMap<TeamName, Revision> {
        &self.document.value.base
    }

    /// Returns the fault with its position in the file.
    pub fn locate(&self, fault: Fault) -> ReadFault {
        let reason = fault.reason.to_string();
        self.document.fault(fault.path, reason)
    }

    /// Returns a fault for each team whose declarations exceed the size of a value of the object
    /// API.
    pub fn oversized(&self) -> Vec<ReadFault> {
        let sizes = self.teams().iter().filter_map(|(team, tree)| {
            let size = serde_json::to_string(tree).ok()?.len();
            (size > MAX_VALUE_BYTES).then(|| {
                let path = vec!["teams".to_owned(), team.to_string()];
                let reason = format!("the declarations take {size} bytes; {MAX_VALUE_BYTES} fit");
                self.document.fault(path, reason)
            })
        });
        sizes.collect()
    }
}

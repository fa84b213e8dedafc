//! Port to the platform's object API.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::Revision;

/// An object: a JSON text under a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Path without a leading slash.
    pub path: Arc<str>,
    /// Revision of the last change.
    pub revision: Revision,
    /// JSON text of at most one megabyte.
    pub value: Arc<str>,
}

/// Objects under a prefix at one point of the history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the whole store when it was read.
    pub revision: Revision,
    /// Objects in path order.
    pub objects: Vec<Object>,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The object was created or updated.
    Put(Object),
    /// The object was deleted.
    Delete {
        /// Path of the object.
        path: Arc<str>,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// Condition of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object was last changed at this revision.
    At(Revision),
}

/// Why a call to the object API did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectError {
    /// The condition does not hold. The current revision, if the object exists, is given.
    Conflict(Option<Revision>),
    /// The call certainly had no effect.
    Unavailable(String),
    /// The call may have had its effect; read back before deciding.
    Unknown(String),
    /// The watch cannot go on from the given revision; list again.
    Compacted,
    /// The call is not valid.
    Invalid(String),
}

/// The object API. Each call counts against its rates, a waiting watch as one.
pub trait ObjectPort: Send + Sync {
    /// Reads one object.
    fn get(&self, path: &str) -> Result<Option<Object>, ObjectError>;

    /// Reads all objects whose path starts with `prefix`.
    fn list(&self, prefix: &str) -> Result<Listing, ObjectError>;

    /// Writes one object if the condition holds, and returns its new revision.
    fn put(&self, path: &str, value: &str, expect: Expect) -> Result<Revision, ObjectError>;

    /// Deletes one object if it is at this revision.
    fn delete(&self, path: &str, at: Revision) -> Result<Revision, ObjectError>;

    /// Waits at most `wait` for changes after a revision under a prefix. An empty answer means
    /// that there were none up to the returned revision.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Change>), ObjectError>;
}

//! Port to the platform's object API.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::Revision;

/// An object: a JSON text stored under a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Path without a leading slash.
    pub path: Arc<str>,
    /// Revision of the last change to the object.
    pub revision: Revision,
    /// JSON text of at most one megabyte.
    pub value: Arc<str>,
}

/// All objects under a prefix at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the whole store at which the objects were read.
    pub revision: Revision,
    /// Objects in path order.
    pub objects: Vec<Object>,
}

/// A change that a watch returns.
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

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object was last changed at this revision.
    At(Revision),
}

/// Reason why a call to the object API failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectError {
    /// The condition does not hold. Contains the current revision of the object, if it exists.
    Conflict(Option<Revision>),
    /// The call had no effect. Contains the reason.
    Unavailable(String),
    /// The call may have taken effect, so the object must be read to find out. Contains the reason.
    Unknown(String),
    /// The history after the revision of the watch is gone, so the objects must be listed again.
    Compacted,
    /// The call is invalid. Contains the reason.
    Invalid(String),
}

/// Client of the object API. Each call counts towards the rate limits. A waiting watch counts as
/// one call.
pub trait ObjectPort: Send + Sync {
    /// Reads an object. Returns `None` if it does not exist.
    fn get(&self, path: &str) -> Result<Option<Object>, ObjectError>;

    /// Reads all objects whose paths start with `prefix`.
    fn list(&self, prefix: &str) -> Result<Listing, ObjectError>;

    /// Writes an object if the condition holds. Returns its new revision.
    fn put(&self, path: &str, value: &str, expect: Precondition) -> Result<Revision, ObjectError>;

    /// Deletes an object if it was last changed at this revision. Returns the revision of the
    /// deletion.
    fn delete(&self, path: &str, at: Revision) -> Result<Revision, ObjectError>;

    /// Waits at most `wait` for changes after a revision under a prefix. Returns the changes and
    /// the revision up to which they are complete.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Change>), ObjectError>;
}

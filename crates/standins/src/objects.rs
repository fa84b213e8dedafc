//! In-memory object store, which the object API serves over HTTP and tests use directly.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::domain::ids::Revision;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::Listing;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;

/// Maximum length of a value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// In-memory object store with revisions and a change history.
#[derive(Debug, Default)]
pub struct MemoryObjects {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Arc<str>, Object>,
    history: Vec<Change>,
    /// Revision up to which the history was dropped.
    compacted: Revision,
}

impl MemoryObjects {
    /// Drops the history, so that watches from older revisions fail with `ObjectError::Compacted`.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = Revision(state.revision);
        state.history.clear();
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn check(&self, path: &str, expect: Precondition) -> Result<(), ObjectError> {
        let found = self.objects.get(path).map(|object| object.revision);
        let holds = match expect {
            Precondition::Absent => found.is_none(),
            Precondition::At(revision) => found == Some(revision),
        };
        holds.then_some(()).ok_or(ObjectError::Conflict(found))
    }

    fn next_revision(&mut self) -> Revision {
        self.revision += 1;
        Revision(self.revision)
    }

    fn changes(&self, prefix: &str, after: Revision) -> Vec<Change> {
        let matches = |change: &&Change| match change {
            Change::Put(o) => o.revision > after && o.path.starts_with(prefix),
            Change::Delete { path, revision } => *revision > after && path.starts_with(prefix),
        };
        self.history.iter().filter(matches).cloned().collect()
    }
}

impl ObjectPort for MemoryObjects {
    fn get(&self, path: &str) -> Result<Option<Object>, ObjectError> {
        Ok(self.lock().objects.get(path).cloned())
    }

    fn list(&self, prefix: &str) -> Result<Listing, ObjectError> {
        let state = self.lock();
        let objects = state.objects.values();
        let objects = objects.filter(|object| object.path.starts_with(prefix));
        Ok(Listing {
            revision: Revision(state.revision),
            objects: objects.cloned().collect(),
        })
    }

    fn put(&self, path: &str, value: &str, expect: Precondition) -> Result<Revision, ObjectError> {
        if value.len() > MAX_VALUE_BYTES {
            let text = format!("the value has {} bytes", value.len());
            return Err(ObjectError::Invalid(text));
        }
        let mut state = self.lock();
        state.check(path, expect)?;
        let object = Object {
            path: Arc::from(path),
            revision: state.next_revision(),
            value: Arc::from(value),
        };
        let revision = object.revision;
        state.history.push(Change::Put(object.clone()));
        state.objects.insert(object.path.clone(), object);
        self.changed.notify_all();
        Ok(revision)
    }

    fn delete(&self, path: &str, at: Revision) -> Result<Revision, ObjectError> {
        let mut state = self.lock();
        state.check(path, Precondition::At(at))?;
        let revision = state.next_revision();
        state.objects.remove(path);
        state.history.push(Change::Delete {
            path: Arc::from(path),
            revision,
        });
        self.changed.notify_all();
        Ok(revision)
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Change>), ObjectError> {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if after < state.compacted {
                return Err(ObjectError::Compacted);
            }
            let changes = state.changes(prefix, after);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || remaining.is_zero() {
                return Ok((Revision(state.revision), changes));
            }
            state = self
                .changed
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

//! Operator commands against the stand-in for the object API.

#![allow(clippy::unwrap_used, missing_docs)]

use std::path::PathBuf;
use std::sync::Arc;

use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::decision::config::apply::Settled;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_node::operate;
use sardinepath_node::operate::report::Applied;
use sardinepath_node::operate::report::OperateError;
use sardinepath_standins::object_api::Availability;
use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::objects::MemoryObjects;

const CONFIG_PATH: &str = "config/print";

/// A file of declarations that is removed when the value is dropped.
struct TempFile(PathBuf);

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn temp_file(text: &str) -> TempFile {
    let name = format!(
        "sardinepath-{}-{}.json",
        std::process::id(),
        rand::random::<u64>()
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    TempFile(path)
}

fn start_api() -> (ObjectApi, HttpObjects) {
    let api = ObjectApi::start(Arc::new(MemoryObjects::default())).unwrap();
    let client = HttpObjects::new(api.address);
    (api, client)
}

/// Writes a file with a team that has a workspace and a key. The arguments are further text at the
/// top of the file, in the key and in the team.
fn team_file(base: &str, key: &str, more: &str) -> TempFile {
    let digest = String::from(KeyDigest::of(b"app"));
    temp_file(&format!(
        "{{{base}\n\"teams\": {{\"print\": {{\n\"scheme\": \"slug\", // words\n\
         \"workspaces\": {{\"dream-diary\": {{}}}},\n\
         \"keys\": {{\"app\": {{\"workspace\": \"dream-diary\", \"digest\": \"{digest}\"{key}}}}}\n\
         {more}}}}}}}"
    ))
}

fn valid_file() -> TempFile {
    team_file("", "", "")
}

/// Returns the outcome of the first team.
fn first_outcome(applied: &Applied) -> &Settled {
    applied.teams[0].settled.as_ref().unwrap()
}

/// Returns the revision of the stored configuration, or `None` if there is none.
fn stored_revision(client: &HttpObjects) -> Option<Revision> {
    client
        .get(CONFIG_PATH)
        .unwrap()
        .map(|object| object.revision)
}

/// Guards against a faulty file that is applied in part, and against errors that do not give the
/// place of the fault in the file.
#[test]
fn every_fault_is_reported_and_nothing_is_stored() {
    let (api, client) = start_api();
    let routes =
        ", \"routes\": {\n\"a.b\": {\"pool\": \"none\", \"access\": {\"open\": \"dream-diary\"}}}";
    let file = team_file("", "", routes);

    let error = operate::apply(&file.0, &client).unwrap_err();

    let text = error.to_string();
    assert!(
        text.contains("teams/print/routes/a.b: line 7, column 8: the name must"),
        "{text}"
    );
    assert!(
        text.contains("teams/print/routes/a.b/pool: line 7, column 17: the pool"),
        "{text}"
    );
    assert_eq!(api.calls().put, 0);
}

/// Guards against `diff`, `get` and `list` that do not show what is applied, and against a second
/// update by an apply of the same file.
#[test]
fn applied_file_is_read_listed_and_needs_no_second_update() {
    let (api, client) = start_api();
    let file = valid_file();
    let before = operate::diff(&file.0, &client).unwrap();

    let first = operate::apply(&file.0, &client).unwrap();
    let second = operate::apply(&file.0, &client).unwrap();

    assert_eq!(before.differences, first.teams[0].differences);
    assert_eq!(first_outcome(&first), &Settled::Applied(Revision(1)));
    assert!(second.teams.is_empty() && api.calls().put == 1);
    let found = operate::get("teams/print/keys/app/workspace", &client).unwrap();
    assert_eq!(
        (found.revision, found.value),
        (Revision(1), "dream-diary".into())
    );
    let listed = operate::list("teams/print/k", &client).unwrap();
    assert_eq!(
        listed.entries,
        vec![("teams/print/keys/app".to_owned(), Revision(1))]
    );
    assert!(operate::get("teams/pumps", &client).is_err());
}

/// Guards against two operators who both see success although only one change was applied.
#[test]
fn loser_of_a_race_gets_the_newer_revision_and_changes_nothing() {
    let (_api, client) = start_api();
    operate::apply(&valid_file().0, &client).unwrap();
    let winner = team_file("\"base\": {\"print\": 1},", ", \"withdrawn\": true", "");
    let loser = team_file(
        "\"base\": {\"print\": 1},",
        ", \"withdrawn\": true",
        ", \"pools\": {}",
    );

    operate::apply(&winner.0, &client).unwrap();
    let error = operate::apply(&loser.0, &client).unwrap_err();

    let OperateError::Conflict(conflict) = error else {
        panic!("expected a conflict, got {error}");
    };
    assert_eq!(
        (conflict.base, conflict.found),
        (Revision(1), Some(Revision(2)))
    );
    assert_eq!(stored_revision(&client), Some(Revision(2)));
}

/// An object API in which another writer changes the configuration between the list and the write
/// of an apply.
struct RacingObjects(HttpObjects);

impl ObjectPort for RacingObjects {
    fn get(&self, path: &str) -> GetResult {
        self.0.get(path)
    }

    fn list(&self, prefix: &str) -> ListResult {
        let listing = self.0.list(prefix)?;
        let expect = listing
            .objects
            .first()
            .map_or(Precondition::Absent, |o| Precondition::At(o.revision));
        self.0.put(CONFIG_PATH, "{\"scheme\": \"slug\"}", expect)?;
        Ok(listing)
    }

    fn put(&self, path: &str, value: &str, expect: Precondition) -> WriteResult {
        self.0.put(path, value, expect)
    }

    fn delete(&self, path: &str, at: Revision) -> WriteResult {
        self.0.delete(path, at)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: std::time::Duration) -> WatchResult {
        self.0.watch(prefix, after, wait)
    }
}

type Result<T> = std::result::Result<T, sardinepath_core::port::object::ObjectError>;
type GetResult = Result<Option<sardinepath_core::port::object::Object>>;
type ListResult = Result<sardinepath_core::port::object::Listing>;
type WriteResult = Result<Revision>;
type WatchResult = Result<(Revision, Vec<sardinepath_core::port::object::Change>)>;

/// Guards against an update that overwrites a change that another writer made between the read and
/// the write of the apply.
#[test]
fn write_between_read_and_update_is_a_conflict() {
    let (_api, client) = start_api();
    let racing = RacingObjects(client.clone());

    let applied = operate::apply(&valid_file().0, &racing).unwrap();

    assert_eq!(
        first_outcome(&applied),
        &Settled::Conflict(Some(Revision(1)))
    );
    assert!(!applied.is_complete());
    assert_eq!(
        &*client.get(CONFIG_PATH).unwrap().unwrap().value,
        "{\"scheme\": \"slug\"}"
    );
}

/// Guards against an apply that reports a failure or writes twice because the answer to its write
/// was lost.
#[test]
fn lost_answer_is_reported_as_applied_once() {
    let (api, client) = start_api();
    api.set_faults(|faults| faults.lost_answers = 1);

    let applied = operate::apply(&valid_file().0, &client).unwrap();

    assert_eq!(first_outcome(&applied), &Settled::Applied(Revision(1)));
    assert_eq!((api.calls().put, api.faults().lost_answers), (1, 0));
}

/// Guards against an apply that reports an outcome while the object API is down.
#[test]
fn apply_without_platform_fails_and_changes_nothing() {
    let (api, client) = start_api();
    api.set_faults(|faults| faults.availability = Availability::Refusing);

    let error = operate::apply(&valid_file().0, &client).unwrap_err();

    assert!(matches!(error, OperateError::Platform(_)), "{error}");
    api.set_faults(|faults| faults.availability = Availability::Up);
    assert_eq!(stored_revision(&client), None);
}

/// Guards against a withdrawn key that becomes valid again because an older file is applied
/// (promise P6).
#[test]
fn older_file_does_not_revive_a_withdrawn_key() {
    let (_api, client) = start_api();
    operate::apply(&valid_file().0, &client).unwrap();
    let withdrawn = team_file("", ", \"withdrawn\": true", "");
    operate::apply(&withdrawn.0, &client).unwrap();

    let error = operate::apply(&valid_file().0, &client).unwrap_err();

    assert!(error.to_string().contains("withdrawn key"), "{error}");
    assert_eq!(stored_revision(&client), Some(Revision(2)));
}

//! Reads the configuration from the object API and follows its changes.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use flume::Sender;
use sardinepath_adapters::event::emit;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;

use crate::entry::control::Message;

/// Prefix of the objects that hold the teams' trees.
const PREFIX: &str = "config/";

/// Longest wait of one watch call.
const WAIT: Duration = Duration::from_secs(30);

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// Starts the thread that follows the configuration.
pub fn start(objects: Arc<dyn ObjectPort>, control: Sender<Message>) -> anyhow::Result<()> {
    thread::Builder::new()
        .name("watch".to_owned())
        .spawn(move || follow(objects.as_ref(), &control))
        .context("could not start the watch thread")?;
    Ok(())
}

/// Lists and then watches, until the control thread is gone.
fn follow(objects: &dyn ObjectPort, control: &Sender<Message>) {
    let mut after = None;
    while !control.is_disconnected() {
        let read = match after {
            None => list(objects),
            Some(revision) => watch(objects, revision),
        };
        match read {
            Ok((revision, teams)) => {
                after = Some(revision);
                if control.send(Message::Changed { teams, revision }).is_err() {
                    return;
                }
            }
            Err(e) => {
                if e == ObjectError::Compacted {
                    after = None;
                }
                thread::sleep(PAUSE);
            }
        }
    }
}

type Read = Result<(Revision, Vec<(TeamName, TeamState)>), ObjectError>;

fn list(objects: &dyn ObjectPort) -> Read {
    let listing = objects.list(PREFIX)?;
    let teams = listing.objects.iter().filter_map(put_state).collect();
    Ok((listing.revision, teams))
}

fn watch(objects: &dyn ObjectPort, after: Revision) -> Read {
    let (revision, changes) = objects.watch(PREFIX, after, WAIT)?;
    let teams = changes.iter().filter_map(|change| match change {
        Change::Put(object) => put_state(object),
        Change::Delete { path, revision } => {
            let team = path.strip_prefix(PREFIX)?;
            let state = TeamState {
                revision: *revision,
                tree: None,
            };
            Some((TeamName::from(team), state))
        }
    });
    Ok((revision, teams.collect()))
}

/// Decodes a team's tree. A tree that cannot be read leaves the last accepted one in force.
fn put_state(object: &Object) -> Option<(TeamName, TeamState)> {
    let team = object.path.strip_prefix(PREFIX)?;
    match serde_json::from_str(&object.value) {
        Ok(tree) => {
            let state = TeamState {
                revision: object.revision,
                tree: Some(Arc::new(tree)),
            };
            Some((TeamName::from(team), state))
        }
        Err(e) => {
            emit(Event::TreeUnreadable, &[("team", &team), ("error", &e)]);
            None
        }
    }
}

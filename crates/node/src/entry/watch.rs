//! Reads the configuration from the object API and follows its changes.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use sardinepath_adapters::event::emit;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;

use crate::entry::inbox::Inbox;
use crate::entry::peer::PeerMessage;

/// Prefix of the objects that hold the teams' trees.
const PREFIX: &str = "config/";

/// Longest wait of one watch call. Contact counts from before the call, so with a longer one the
/// contact limit of 5 s would pass while nothing changes.
const WAIT: Duration = Duration::from_secs(2);

/// Shortest pause after a failed call. A random part of the same length is added, so that the
/// entries do not all return to the platform at once.
const PAUSE: Duration = Duration::from_millis(250);

/// Interval of listings, which make up for changes that a watch skipped. With the time of a call
/// it keeps such a change within the 15 s for a configuration at target size.
const RELIST: Duration = Duration::from_secs(10);

/// What was read of the configuration.
#[derive(Debug)]
pub enum WatchMessage {
    /// Teams changed up to a revision.
    Changed {
        /// The changed teams.
        teams: Vec<(TeamName, TeamState)>,
        /// Revision up to which the changes are complete.
        revision: Revision,
    },
    /// All teams were listed at a revision.
    Listed {
        /// The teams whose trees were read.
        teams: Vec<(TeamName, TeamState)>,
        /// Teams whose trees could not be read.
        unreadable: Vec<TeamName>,
        /// Revision of the listing.
        revision: Revision,
        /// Time before the platform was asked.
        asked: Time,
    },
}

/// What the watch tells the control thread.
struct Inboxes {
    watch: Inbox<WatchMessage>,
    peer: Inbox<PeerMessage>,
}

/// Starts the thread that follows the configuration.
pub fn start(
    objects: Arc<dyn ObjectPort>,
    clock: Arc<dyn Clock>,
    watch: Inbox<WatchMessage>,
    peer: Inbox<PeerMessage>,
) -> anyhow::Result<()> {
    let inboxes = Inboxes { watch, peer };
    thread::Builder::new()
        .name("watch".to_owned())
        .spawn(move || follow(objects.as_ref(), clock.as_ref(), &inboxes))
        .context("could not start the watch thread")?;
    Ok(())
}

/// Lists and then watches, until the control thread is gone.
fn follow(objects: &dyn ObjectPort, clock: &dyn Clock, inboxes: &Inboxes) {
    let mut after = None;
    let mut listed = Instant::now();
    while !inboxes.watch.is_closed() {
        let asked = clock.now();
        let read = match after {
            Some(revision) if listed.elapsed() < RELIST => watch(objects, revision),
            _ => {
                listed = Instant::now();
                list(objects, asked)
            }
        };
        match read {
            Ok((revision, message)) => {
                after = after.max(Some(revision));
                let answered = PeerMessage::PlatformAnswered(asked);
                if inboxes.watch.send(message).is_err() || inboxes.peer.send(answered).is_err() {
                    return;
                }
            }
            Err(e) => {
                if e == ObjectError::Compacted {
                    after = None;
                }
                thread::sleep(PAUSE + PAUSE.mul_f64(rand::random()));
            }
        }
    }
}

type Read = Result<(Revision, WatchMessage), ObjectError>;

fn list(objects: &dyn ObjectPort, asked: Time) -> Read {
    let listing = objects.list(PREFIX)?;
    let revision = listing.revision;
    let names = listing.objects.iter().filter_map(|object| {
        let team = object.path.strip_prefix(PREFIX)?;
        Some(TeamName::from(team))
    });
    let teams: Vec<_> = listing.objects.iter().filter_map(put_state).collect();
    let is_read = |name: &TeamName| teams.iter().any(|(team, _)| team == name);
    let unreadable = names.filter(|name| !is_read(name)).collect();
    let message = WatchMessage::Listed {
        teams,
        unreadable,
        revision,
        asked,
    };
    Ok((revision, message))
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
    let teams = teams.collect();
    Ok((revision, WatchMessage::Changed { teams, revision }))
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

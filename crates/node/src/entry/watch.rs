//! Thread that reads the configuration from the object API and watches its changes.

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

/// Timeout of one watch call. Contact counts from the start of the call, so a longer timeout would
/// exceed the contact limit of 5 s while nothing changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum delay after a failed call. A random delay of up to the same length is added, so that the
/// entries do not all call the platform at once.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval of full listings, which find changes that a watch skipped. Together with the time of a
/// call it applies such a change within the limit of 15 s for a configuration of the planned size.
const RELIST_INTERVAL: Duration = Duration::from_secs(10);

/// Result of reading the configuration.
#[derive(Debug)]
pub enum WatchMessage {
    /// A watch returned the changes up to a revision.
    Changed {
        /// The changed teams.
        teams: Vec<(TeamName, TeamState)>,
        /// Revision up to which no change is missing.
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
        /// Time at which the call was sent.
        sent_at: Time,
    },
}

/// Senders to the control thread.
struct Senders {
    watch: Inbox<WatchMessage>,
    peer: Inbox<PeerMessage>,
}

/// Starts the thread that watches the configuration. It ends with the control thread.
pub fn start(
    objects: Arc<dyn ObjectPort>,
    clock: Arc<dyn Clock>,
    watch: Inbox<WatchMessage>,
    peer: Inbox<PeerMessage>,
) -> anyhow::Result<()> {
    let senders = Senders { watch, peer };
    thread::Builder::new()
        .name("watch".to_owned())
        .spawn(move || follow(objects.as_ref(), clock.as_ref(), &senders))
        .context("could not start the watch thread")?;
    Ok(())
}

/// Lists the configuration and then watches it, until the control thread has ended.
fn follow(objects: &dyn ObjectPort, clock: &dyn Clock, senders: &Senders) {
    let mut after = None;
    let mut listed = Instant::now();
    while !senders.watch.is_closed() {
        let sent_at = clock.now();
        let read = match after {
            Some(revision) if listed.elapsed() < RELIST_INTERVAL => watch(objects, revision),
            _ => {
                listed = Instant::now();
                list(objects, sent_at)
            }
        };
        match read {
            Ok((revision, message)) => {
                after = after.max(Some(revision));
                let answered = PeerMessage::PlatformAnswered(sent_at);
                if senders.watch.send(message).is_err() || senders.peer.send(answered).is_err() {
                    return;
                }
            }
            Err(e) => {
                if e == ObjectError::Compacted {
                    after = None;
                }
                thread::sleep(MIN_RETRY_DELAY + MIN_RETRY_DELAY.mul_f64(rand::random()));
            }
        }
    }
}

type ReadResult = Result<(Revision, WatchMessage), ObjectError>;

fn list(objects: &dyn ObjectPort, sent_at: Time) -> ReadResult {
    let listing = objects.list(PREFIX)?;
    let revision = listing.revision;
    let names = listing.objects.iter().filter_map(|object| {
        let team = object.path.strip_prefix(PREFIX)?;
        Some(TeamName::from(team))
    });
    let teams: Vec<_> = listing.objects.iter().filter_map(decode_team).collect();
    let is_read = |name: &TeamName| teams.iter().any(|(team, _)| team == name);
    let unreadable = names.filter(|name| !is_read(name)).collect();
    let message = WatchMessage::Listed {
        teams,
        unreadable,
        revision,
        sent_at,
    };
    Ok((revision, message))
}

fn watch(objects: &dyn ObjectPort, after: Revision) -> ReadResult {
    let (revision, changes) = objects.watch(PREFIX, after, WATCH_TIMEOUT)?;
    let teams = changes.iter().filter_map(|change| match change {
        Change::Put(object) => decode_team(object),
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

/// Decodes a team's tree. Returns none and logs the error if that fails; the last valid tree then
/// stays in use.
fn decode_team(object: &Object) -> Option<(TeamName, TeamState)> {
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

//! Membership: the other live entries and the hosts that leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use sardinepath_adapters::event::emit;
use sardinepath_core::decision::member::Members;
use sardinepath_core::decision::member::Poll;
use sardinepath_core::decision::member::Waiting;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::host::HostEntry;
use sardinepath_core::port::host::HostPort;

use crate::entry::inbox::Inbox;
use crate::entry::peer::PeerMessage;

/// Interval of the search for entries that no longer answer. With 350 entries, a search at each
/// message would cost too much.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum sleep of the thread that reads the list of hosts. It bounds the time until it stops.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Membership state, owned by the control thread.
#[derive(Debug)]
pub struct Membership {
    members: Members,
    /// Entries that the last change returned.
    last_entries: Vec<(HostName, SocketAddr)>,
    last_check: Option<Time>,
}

impl Membership {
    /// Creates the state of an entry that knows no other entries.
    pub fn new(own: HostName) -> Self {
        Self {
            members: Members::new(own),
            last_entries: Vec::new(),
            last_check: None,
        }
    }

    /// Updates the members from a message about other entries.
    pub fn observe(&mut self, now: Time, message: &PeerMessage) {
        match message {
            PeerMessage::SetEntries(entries) => {
                self.members.set_seeds(now, entries.iter().cloned())
            }
            PeerMessage::HeartbeatAnswered(sent_at, heartbeat) => {
                self.members.record_answer(*sent_at, &heartbeat.host)
            }
            _ => {}
        }
    }

    /// Updates the members from the platform's list of hosts.
    pub fn update_hosts(&mut self, now: Time, hosts: &[HostEntry]) {
        self.members.listed(now, hosts);
        self.last_check = None;
    }

    /// Returns the report, marked as leaving if the platform removes the target's host.
    pub fn correct(&self, report: Report) -> Report {
        self.members.correct_report(report)
    }

    /// Returns the number of live entries, this one included.
    pub fn live(&self, now: Time) -> u32 {
        self.members.live_count(now)
    }

    /// Removes entries that no longer answer. Returns the other entries if they changed.
    pub fn tick(&mut self, now: Time) -> Option<Vec<(HostName, SocketAddr)>> {
        if self
            .last_check
            .is_some_and(|last| now.since(last) < CHECK_INTERVAL)
        {
            return None;
        }
        self.last_check = Some(now);
        self.members.tick(now);
        let entries: Vec<_> = self.members.entries().collect();
        if entries == self.last_entries {
            return None;
        }
        self.last_entries.clone_from(&entries);
        Some(entries)
    }
}

/// Starts the thread that reads the list of hosts. It ends with the control thread.
pub fn start(hosts: Arc<dyn HostPort>, control: Inbox<Vec<HostEntry>>) -> anyhow::Result<()> {
    thread::Builder::new()
        .name("hosts".to_owned())
        .spawn(move || poll_hosts(hosts.as_ref(), &control))
        .context("could not start the thread for the list of hosts")?;
    Ok(())
}

/// Reads the list of hosts periodically, until the control thread has ended.
fn poll_hosts(hosts: &dyn HostPort, control: &Inbox<Vec<HostEntry>>) {
    let mut random = rand::rng();
    let mut poll = Poll::new(&mut random);
    while sleep_until_due(&poll, control) {
        let reading = poll.begin_read();
        poll = match hosts.hosts() {
            Ok(list) => {
                if control.send(list).is_err() {
                    return;
                }
                reading.answered(&mut random)
            }
            Err(e) => {
                emit(Event::HostsUnreadable, &[("error", &e)]);
                reading.failed(&mut random)
            }
        };
    }
}

/// Sleeps until the next read is due. Returns `false` if the control thread has ended.
fn sleep_until_due(poll: &Poll<Waiting>, control: &Inbox<Vec<HostEntry>>) -> bool {
    let end = Instant::now() + poll.wait();
    loop {
        if control.is_closed() {
            return false;
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(MAX_SLEEP));
    }
}

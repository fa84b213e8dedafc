//! Keeps the other entries and the leaving hosts up to date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use sardinepath_adapters::event::emit;
use sardinepath_core::decision::member::Members;
use sardinepath_core::decision::member::Poll;
use sardinepath_core::decision::member::Resting;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::host::HostEntry;
use sardinepath_core::port::host::HostPort;

use crate::entry::inbox::Inbox;
use crate::entry::peer::PeerMessage;

/// Interval at which entries that fell silent are looked for. A fleet of 350 entries makes a look
/// at each message too dear.
const LOOK: Duration = Duration::from_secs(1);

/// Longest sleep of the thread that reads the list. It bounds the time to stop.
const SLICE: Duration = Duration::from_millis(500);

/// Membership as the control thread owns it.
#[derive(Debug)]
pub struct Membership {
    members: Members,
    /// Entries that the distribution was told of.
    told: Vec<(HostName, SocketAddr)>,
    looked: Option<Time>,
}

impl Membership {
    /// Creates the state of an entry that knows no other.
    pub fn new(own: HostName) -> Self {
        Self {
            members: Members::new(own),
            told: Vec::new(),
            looked: None,
        }
    }

    /// Takes in what other entries and `Entry::meet` tell.
    pub fn told(&mut self, now: Time, message: &PeerMessage) {
        match message {
            PeerMessage::Know(entries) => self.members.met(now, entries.iter().cloned()),
            PeerMessage::Answered(asked, pulse) => self.members.heard(*asked, &pulse.host),
            _ => {}
        }
    }

    /// Takes in the list of hosts.
    pub fn listed(&mut self, now: Time, hosts: &[HostEntry]) {
        self.members.listed(now, hosts);
        self.looked = None;
    }

    /// Corrects the report of an agent on a leaving host.
    pub fn correct(&self, report: Report) -> Report {
        self.members.correct(report)
    }

    /// Returns the number of live entries, this one included.
    pub fn live(&self, now: Time) -> u32 {
        self.members.live(now)
    }

    /// Runs the timers. Returns the other entries if they changed.
    pub fn tick(&mut self, now: Time) -> Option<Vec<(HostName, SocketAddr)>> {
        if self.looked.is_some_and(|last| now.since(last) < LOOK) {
            return None;
        }
        self.looked = Some(now);
        self.members.tick(now);
        let entries: Vec<_> = self.members.entries().collect();
        if entries == self.told {
            return None;
        }
        self.told.clone_from(&entries);
        Some(entries)
    }
}

/// Starts the thread that reads the list of hosts.
pub fn start(hosts: Arc<dyn HostPort>, control: Inbox<Vec<HostEntry>>) -> anyhow::Result<()> {
    thread::Builder::new()
        .name("hosts".to_owned())
        .spawn(move || read(hosts.as_ref(), &control))
        .context("could not start the thread for the list of hosts")?;
    Ok(())
}

/// Reads the list again and again, until the control thread is gone.
fn read(hosts: &dyn HostPort, control: &Inbox<Vec<HostEntry>>) {
    let mut random = rand::rng();
    let mut poll = Poll::new(&mut random);
    while rest(&poll, control) {
        let asking = poll.ask();
        poll = match hosts.hosts() {
            Ok(list) => {
                if control.send(list).is_err() {
                    return;
                }
                asking.answered(&mut random)
            }
            Err(e) => {
                emit(Event::HostsUnreadable, &[("error", &e)]);
                asking.failed(&mut random)
            }
        };
    }
}

/// Waits until the list is due. Returns false once the control thread is gone.
fn rest(poll: &Poll<Resting>, control: &Inbox<Vec<HostEntry>>) -> bool {
    let end = Instant::now() + poll.wait();
    loop {
        if control.is_closed() {
            return false;
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(SLICE));
    }
}

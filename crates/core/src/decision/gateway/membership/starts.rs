//! Starts of targets: what entries, jobs and other processes say about the requests they may get.

use crate::decision::gateway::Gateway;
use crate::decision::opening::KnownJob;
use crate::decision::opening::MAX_SILENCE;
use crate::decision::opening::StartChange;
use crate::decision::opening::State;
use crate::domain::event::Event;
use crate::domain::fleet::TargetEntry;
use crate::domain::fleet::UNREADABLE_COLD_TIME;

impl Gateway {
    /// Handles what an entry says about the start of a target.
    pub(in crate::decision::gateway) fn target_started(&mut self, entry: &TargetEntry) {
        let known = self.directory.get(&entry.name).map(|known| known.cold);
        if entry.cold == UNREADABLE_COLD_TIME && known != Some(UNREADABLE_COLD_TIME) {
            let fields = vec![("target", entry.name.to_string())];
            self.log(Event::ColdTimeUnreadable, fields);
        }
        self.directory.starts.observe(self.now, entry);
        self.log_starts();
    }

    /// Applies the pools of a new configuration to the targets that are known already.
    pub(in crate::decision::gateway) fn apply_pools(&mut self) {
        let Some(table) = self.table.clone() else {
            return;
        };
        if !self.directory.starts.set_pools(&table.pools) {
            return;
        }
        let entries: Vec<TargetEntry> = self.directory.entries().cloned().collect();
        for entry in &entries {
            self.directory.starts.observe(self.now, entry);
        }
        self.log_starts();
    }

    /// Ends starts whose time is over, and learns among which processes requests are divided.
    pub(in crate::decision::gateway) fn tick_starts(&mut self) {
        let hosts = self.all_peers().map(|peer| peer.host.clone()).collect();
        self.directory.starts.set_hosts(hosts);
        self.update_users();
        self.log_starts();
    }

    /// Learns which processes run jobs.
    pub(in crate::decision::gateway) fn update_users(&mut self) {
        let known = self.jobs.values().filter_map(|job| {
            let runner = job.head.runner.as_ref()?;
            Some(KnownJob {
                model: job.head.model.clone(),
                runner: runner.host.clone(),
                accepted: job.head.accepted,
                least: job.head.min_version,
                ended: job.head.ended,
            })
        });
        let known = known.collect();
        let in_contact =
            self.target_watch.was_up_within(self.now, MAX_SILENCE) || self.shares_outage();
        self.directory.starts.set_jobs(self.now, known, in_contact);
    }

    /// Logs the changes of the states of targets' starts.
    fn log_starts(&mut self) {
        for change in self.directory.starts.take_changes() {
            let event = match change.after {
                State::Unknown(_) => Event::TargetDoubted,
                State::Cold(_) => Event::TargetCold,
                State::Open(_) => Event::TargetOpen,
            };
            self.log(event, start_fields(&change));
        }
    }
}

fn start_fields(change: &StartChange) -> Vec<(&'static str, String)> {
    let before = match change.before {
        None => "new",
        Some(State::Unknown(_)) => "unknown",
        Some(State::Cold(_)) => "cold",
        Some(State::Open(_)) => "open",
    };
    vec![
        ("target", change.target.to_string()),
        ("before", before.to_owned()),
        ("cold_ms", change.cold.as_millis().to_string()),
        ("entry_age_ms", change.age.as_millis().to_string()),
        ("share", change.share.to_string()),
        ("runners", change.runners.to_string()),
    ]
}

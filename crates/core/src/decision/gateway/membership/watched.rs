//! Handles objects reported by watches, and dispatches answers of the object API by purpose.

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::WatchedObject;
use crate::domain::batch::Runner;
use crate::domain::event::Event;
use crate::domain::fleet::TargetEntry;
use crate::domain::name::BatchId;
use crate::domain::name::TargetName;
use crate::domain::table::RouteTable;
use crate::port::object::ObjectError;

impl Gateway {
    /// Handles a listing of all objects of one kind.
    pub(in crate::decision::gateway) fn objects_listed(
        &mut self,
        kind: Kind,
        views: Vec<WatchedObject>,
    ) {
        self.store.record(self.now, true);
        match kind {
            Kind::Targets => self.targets_listed(views),
            Kind::Peers => {
                let peers = views.into_iter().filter_map(|view| match view {
                    WatchedObject::Peer(revision, peer) => Some((revision, peer)),
                    _ => None,
                });
                let peers = peers.collect();
                self.replace_peers(peers);
            }
            Kind::Heads => {
                let stored = |id: &BatchId| {
                    views
                        .iter()
                        .any(|view| matches!(view, WatchedObject::Head(head, ..) if head == id))
                };
                let accepted = self.jobs.iter().filter(|(_, job)| job.is_stored());
                let missing = accepted.map(|(id, _)| id).filter(|id| !stored(id));
                let missing: Vec<BatchId> = missing.cloned().collect();
                // The job may have been accepted after the listing, so its head is read before it
                // is dropped.
                for id in missing {
                    self.refresh(&id);
                }
                for view in views {
                    self.object_changed(view);
                }
            }
            Kind::Crashes => self.replace_crashes(views),
            Kind::Evacuations => self.evacuations_listed(&views),
            _ => {
                for view in views {
                    self.object_changed(view);
                }
            }
        }
        if kind == Kind::Limits {
            self.directory.limits.set_listed();
        }
        self.dispatch();
    }

    /// Handles the change or deletion of one object.
    pub(in crate::decision::gateway) fn object_changed(&mut self, view: WatchedObject) {
        self.store.record(self.now, true);
        match view {
            WatchedObject::Table(table) => self.apply_table(table),
            WatchedObject::Target(listed) => self.target_changed(listed),
            WatchedObject::TargetGone(name) => {
                let kept = self.target_watch.may_miss_entries(self.now);
                self.remove_target(&name, kept);
            }
            // The entry is there, so it need not be waited for.
            WatchedObject::TargetUnreadable(name) => self.remove_target(&name, false),
            WatchedObject::Version(model, version) => {
                if self.weights.announce(self.now, model.clone(), version) {
                    self.log(
                        Event::VersionNamed,
                        vec![
                            ("model", model.to_string()),
                            ("version", version.to_string()),
                        ],
                    );
                    self.tick_weights();
                }
            }
            WatchedObject::Head(id, revision, head) => {
                self.apply_head(&id, revision, head);
                self.update_users();
            }
            WatchedObject::HeadGone(id) => self.drop_job(&id),
            WatchedObject::Peer(revision, peer) => self.insert_peer(revision, peer),
            WatchedObject::PeerGone(host, revision) => self.remove_peer(&host, revision),
            WatchedObject::Limit(target, stored) => self.limit_watched(&target, stored),
            WatchedObject::Software(pool, revision, software) => {
                self.software_settled(pool, revision, software)
            }
            WatchedObject::Crash(stored) => self.crash_watched(stored),
            WatchedObject::CrashGone(crash) => self.crash_cleared(&crash),
            WatchedObject::Evacuation(centre) => self.evacuation_begun(&centre),
            WatchedObject::EvacuationGone(centre) => self.evacuation_gone(&centre),
        }
    }

    /// Handles a listing of all targets.
    fn targets_listed(&mut self, views: Vec<WatchedObject>) {
        let (mut listed, mut unreadable) = (Vec::new(), Vec::new());
        for view in views {
            match view {
                WatchedObject::Target(entry) => listed.push(entry),
                WatchedObject::TargetUnreadable(name) => unreadable.push(name),
                _ => {}
            }
        }
        let lapsed = self.target_watch.may_miss_entries(self.now);
        for entry in &listed {
            self.target_started(entry);
        }
        self.directory.replace(listed, lapsed);
        for name in unreadable {
            self.remove_target(&name, false);
        }
        self.target_watch.regained(self.now);
    }

    /// Removes a target, or keeps it for a while if its entry may come back.
    fn remove_target(&mut self, name: &TargetName, kept: bool) {
        let known = self.directory.get(name).is_some();
        self.directory.remove(name, kept);
        if known {
            let fields = vec![("target", name.to_string()), ("kept", kept.to_string())];
            self.log(Event::TargetGone, fields);
        }
    }

    /// Handles the new or changed entry of a target. A change of its weight versions alone is logged
    /// only where it decides something: at the holder of the duty and at runners.
    fn target_changed(&mut self, listed: TargetEntry) {
        let change = EntryChange::between(self.directory.get(&listed.name), &listed);
        let decides = !self.duty.is_vacant() || !self.runs.is_empty();
        if change == EntryChange::Serving || (change == EntryChange::Versions && decides) {
            let fields = vec![
                ("target", listed.name.to_string()),
                ("pool", listed.pool.to_string()),
                ("software", listed.software.to_string()),
                ("leaving", listed.leaving.to_string()),
                ("models", format!("{:?}", listed.models)),
            ];
            self.log(Event::TargetSeen, fields);
        }
        self.target_started(&listed);
        self.directory.insert(listed);
        self.tick_weights();
    }

    fn apply_table(&mut self, table: std::sync::Arc<RouteTable>) {
        if self
            .table
            .as_ref()
            .is_some_and(|known| known.version >= table.version)
        {
            return;
        }
        self.log(
            Event::ConfigInForce,
            vec![("version", table.version.to_string())],
        );
        self.check_homes(&table);
        let before = self.table.replace(table.clone());
        self.check_memory(&table);
        self.effects.push(Effect::Publish(table));
        self.apply_pools();
        self.apply_routes(before.as_deref());
        self.dispatch();
    }

    /// Dispatches an answer of the object API to its handler.
    pub(in crate::decision::gateway) fn stored(
        &mut self,
        purpose: Purpose,
        answer: Result<Answer, ObjectError>,
    ) {
        match purpose {
            Purpose::Lease => self.lease_answered(answer),
            Purpose::Part(id, part) => self.part_stored(&id, part, &answer),
            Purpose::Accept(id) => self.head_created(&id, &answer),
            Purpose::Find(id) => self.head_found(&id, answer),
            Purpose::Refresh(id) => self.head_refreshed(&id, answer),
            Purpose::LoadPart(id, part) => self.part_loaded(&id, part, answer),
            Purpose::LoadPage(id, start) => self.page_loaded(&id, start, answer),
            Purpose::Append(id, start) => self.page_appended(&id, start, &answer),
            Purpose::Draft(id) => self.drafts_stored(&id, &answer),
            Purpose::Witness(id) => self.witness_answered(&id, &answer),
            Purpose::LoadDrafts(id) => self.drafts_loaded(&id, answer),
            Purpose::Failures(id) => self.failures_stored(&id, answer),
            Purpose::LoadFailures(id) => self.failures_loaded(&id, answer),
            Purpose::End(id) => self.end_stored(&id, &answer),
            Purpose::TakeOver(id) => {
                let runner = Runner::from(&self.settings.peer);
                self.runner_changed(&id, Some(runner), &answer);
            }
            Purpose::HandOver(id) => self.runner_changed(&id, None, &answer),
            Purpose::Freeze(window) => self.window_stored(window, &answer),
            Purpose::Frozen(window) => self.window_loaded(window, answer),
            Purpose::Announce | Purpose::Announced => self.announcement_answered(answer),
            Purpose::Retire(id) => self.removal_answered(&id, &answer),
            Purpose::Limit(target) => self.limit_stored(&target, &answer),
            Purpose::FindStream(call, pool) => self.stream_found(call, &pool, answer),
            Purpose::RecordStream(call, id) => self.stream_recorded(call, id, &answer),
            Purpose::Settle(pool) => self.settle_answered(&pool),
            Purpose::StoreCrash(crash) => self.crash_stored(&crash, &answer),
            Purpose::ForgetCrash(crash) => self.crash_deleted(crash, &answer),
            Purpose::Leave => self.leave_answered(&answer),
            Purpose::Forget => {}
        }
    }
}

/// What a new entry of a target changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryChange {
    /// Nothing that decides.
    Nothing,
    /// Only the weight versions.
    Versions,
    /// Whether or how the target serves.
    Serving,
}

impl EntryChange {
    /// Returns what an entry changes compared to the known one.
    fn between(known: Option<&TargetEntry>, listed: &TargetEntry) -> Self {
        let Some(known) = known else {
            return Self::Serving;
        };
        let same_versions = TargetEntry {
            models: known.models.clone(),
            // The start of a target has log events of its own.
            cold: known.cold,
            ..listed.clone()
        };
        if same_versions != *known {
            Self::Serving
        } else if listed.models != known.models {
            Self::Versions
        } else {
            Self::Nothing
        }
    }
}

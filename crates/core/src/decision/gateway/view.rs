//! Takes in what the watches of the object API report, and routes answers to their subjects.

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::View;
use crate::domain::batch::Runner;
use crate::domain::event::Event;
use crate::domain::fleet::Listed;
use crate::domain::name::BatchId;
use crate::domain::table::RouteTable;
use crate::port::object::ObjectError;

impl Gateway {
    /// Takes in all objects of one kind.
    pub(super) fn listing(&mut self, kind: Kind, views: Vec<View>) {
        self.store.note(self.now, true);
        match kind {
            Kind::Targets => {
                let listed: Vec<Listed> = views.into_iter().filter_map(View::target).collect();
                let shaken = self.is_shaken();
                self.directory.replace(self.now, listed, shaken);
                self.watched.get_or_insert(self.now);
            }
            Kind::Peers => {
                let peers = views.into_iter().filter_map(|view| match view {
                    View::Peer(peer) => Some(peer),
                    _ => None,
                });
                let peers = peers.collect();
                self.learn_peers(peers);
            }
            Kind::Heads => {
                let stored = |id: &BatchId| {
                    views
                        .iter()
                        .any(|view| matches!(view, View::Head(head, ..) if head == id))
                };
                let gone: Vec<BatchId> =
                    self.jobs.keys().filter(|id| !stored(id)).cloned().collect();
                // A job that was accepted after the listing is not in it, so the head is read.
                for id in gone {
                    self.refresh(&id);
                }
                for view in views {
                    self.changed(view);
                }
            }
            _ => {
                for view in views {
                    self.changed(view);
                }
            }
        }
        self.dispatch();
    }

    /// Takes in one changed object.
    pub(super) fn changed(&mut self, view: View) {
        self.store.note(self.now, true);
        match view {
            View::Table(table) => self.learn_table(table),
            View::Target(listed) => {
                let fields = vec![
                    ("target", listed.name.to_string()),
                    ("pool", listed.pool.to_string()),
                    ("leaving", listed.leaving.to_string()),
                    ("models", format!("{:?}", listed.models)),
                ];
                self.log(Event::TargetSeen, fields);
                self.directory.insert(listed);
                self.tick_weights();
            }
            View::TargetGone(name) => {
                let shaken = self.is_shaken();
                self.directory.remove(self.now, &name, shaken);
                self.log(
                    Event::TargetGone,
                    vec![("target", name.to_string()), ("kept", shaken.to_string())],
                );
            }
            View::Version(model, version) => {
                if self.weights.name(self.now, model.clone(), version) {
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
            View::Head(id, revision, head) => self.learn_head(&id, revision, head),
            View::HeadGone(id) => self.drop_job(&id),
            View::Peer(peer) => self.learn_peer(peer),
            View::PeerGone(host) => self.forget_peer(&host),
        }
    }

    fn learn_table(&mut self, table: std::sync::Arc<RouteTable>) {
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
        self.table = Some(table.clone());
        self.effects.push(Effect::Publish(table));
        self.dispatch();
    }

    /// Tells whether entries of targets may be missing because of an outage.
    fn is_shaken(&self) -> bool {
        const SETTLED: std::time::Duration = std::time::Duration::from_millis(2_000);
        self.watched
            .is_none_or(|since| self.now.since(since) < SETTLED)
    }

    /// Routes the answer of the object API to its subject.
    pub(super) fn stored(&mut self, purpose: Purpose, answer: Result<Answer, ObjectError>) {
        match purpose {
            Purpose::Lease => self.lease_answered(answer),
            Purpose::Part(id, _) => self.stored_part(&id, &answer),
            Purpose::Accept(id) => self.accepted(&id, &answer),
            Purpose::Find(id) => self.found(&id, answer),
            Purpose::Refresh(id) => self.refreshed(&id, answer),
            Purpose::LoadPart(id, part) => self.loaded_part(&id, part, answer),
            Purpose::LoadPage(id, start) => self.loaded_page(&id, start, answer),
            Purpose::Append(id, start) => self.appended(&id, start, &answer),
            Purpose::Draft(id) => self.drafted(&id, &answer),
            Purpose::LoadDrafts(id) => self.loaded_drafts(&id, answer),
            Purpose::End(id) => self.ended(&id, &answer),
            Purpose::TakeOver(id) => {
                let runner = Runner::from(&self.me.peer);
                self.moved(&id, Some(runner), &answer);
            }
            Purpose::HandOver(id) => self.moved(&id, None, &answer),
            Purpose::Freeze(window) => self.frozen(window, &answer),
            Purpose::Frozen(window) => self.read_frozen(window, answer),
            Purpose::Announce | Purpose::Announced => self.announced(answer),
            Purpose::Retire(id) => self.retired(&id, &answer),
            Purpose::Leave | Purpose::Forget => {}
        }
    }
}

impl View {
    fn target(self) -> Option<Listed> {
        match self {
            View::Target(listed) => Some(listed),
            _ => None,
        }
    }
}

//! Requests under which targets crash, as all gateways know them through the object API.
//!
//! The gateway that saw a crash creates an object for it, so that a gateway that has just started or
//! woken up knows it too. Crashes that could not be stored are stored once the object API answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::ScoreEnd;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::decision::gateway::stored::StoredCrash;
use crate::decision::gateway::stored::WatchedObject;
use crate::decision::quarantine::Quarantine;
use crate::decision::quarantine::Verdict;
use crate::domain::batch::Scorer;
use crate::domain::crash::Crash;
use crate::domain::event::Event;
use crate::domain::fingerprint::RequestParts;
use crate::domain::name::Fingerprint;
use crate::domain::name::TargetName;
use crate::domain::time::Time;
use crate::domain::time::WallTime;
use crate::port::object::ObjectError;

/// Minimum time between two attempts to store a crash.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Suspects, and the crashes that this process has to store.
#[derive(Debug, Default)]
pub(in crate::decision::gateway) struct Suspects {
    pub(in crate::decision::gateway) quarantine: Quarantine,
    /// Crashes that are not stored yet, each with its time.
    unstored: BTreeMap<Crash, WallTime>,
    /// Earliest time of the next attempt to store them.
    next_write: Time,
}

/// Where a process learned of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashSource {
    /// A request of this process.
    Request,
    /// The object API.
    Store,
}

impl CrashSource {
    fn label(self) -> &'static str {
        match self {
            CrashSource::Request => "request",
            CrashSource::Store => "store",
        }
    }
}

impl Gateway {
    /// Handles the crash of a target under a request of this process. The end of a target that was
    /// leaving, or whose entry was removed before, is no crash.
    pub(in crate::decision::gateway) fn target_crashed(&mut self, crash: Crash) {
        let entry = self.directory.get(&crash.target);
        if entry.is_none_or(|entry| entry.leaving) {
            return;
        }
        let Some(crash) = self.suspects.quarantine.number(self.now, crash) else {
            return;
        };
        let at = self.wall_time();
        self.record_crash(self.now, crash.clone(), CrashSource::Request);
        self.suspects.unstored.insert(crash, at);
        self.suspects.next_write = self.now;
        self.write_crashes();
    }

    /// Handles the answer of a target that ran a suspect and stays up.
    pub(in crate::decision::gateway) fn request_survived(&mut self, request: &Fingerprint) {
        let cleared = self.suspects.quarantine.clear(request);
        if cleared.is_empty() {
            return;
        }
        let fields = vec![
            ("fingerprint", request.to_string()),
            ("crashes", cleared.len().to_string()),
        ];
        self.log(Event::SuspectCleared, fields);
        for crash in cleared {
            self.suspects.unstored.remove(&crash);
            self.delete_crash(crash);
        }
        self.publish_suspects();
    }

    /// Decides whether a scoring request may be sent now.
    pub(in crate::decision::gateway) fn scoring_verdict(&self, scorer: &Scorer) -> Verdict {
        let parts = scoring_parts(scorer);
        let quarantine = &self.suspects.quarantine;
        match quarantine.has_shape(parts.shape()) {
            true => quarantine.verdict(self.now, &parts.fingerprint()),
            false => Verdict::Sound,
        }
    }

    /// Handles what the end of a scoring request at a target says about the request.
    pub(in crate::decision::gateway) fn scoring_seen(
        &mut self,
        scorer: &Scorer,
        target: &TargetName,
        end: &ScoreEnd,
    ) {
        let parts = scoring_parts(scorer);
        match end {
            ScoreEnd::Crashed(_) => {
                let started_at = self.directory.get(target).map_or(0, |e| e.started_at);
                self.target_crashed(Crash {
                    request: parts.fingerprint(),
                    target: target.clone(),
                    started_at,
                    ordinal: 0,
                });
            }
            ScoreEnd::Scored(_) if self.suspects.quarantine.has_shape(parts.shape()) => {
                self.request_survived(&parts.fingerprint());
            }
            _ => {}
        }
    }

    /// Handles a crash that another process stored.
    pub(in crate::decision::gateway) fn crash_watched(&mut self, stored: StoredCrash) {
        let age = self.wall_time().0.saturating_sub(stored.at.0);
        let at = Time(self.now.0.saturating_sub(age));
        self.suspects.unstored.remove(&stored.crash);
        self.record_crash(at, stored.crash, CrashSource::Store);
    }

    /// Handles the removal of a stored crash.
    pub(in crate::decision::gateway) fn crash_cleared(&mut self, crash: &Crash) {
        self.suspects.quarantine.forget(crash);
        self.publish_suspects();
    }

    /// Replaces the crashes that are known from the object API by a complete listing.
    pub(in crate::decision::gateway) fn replace_crashes(&mut self, listing: Vec<WatchedObject>) {
        let crashes = listing.into_iter().filter_map(|object| match object {
            WatchedObject::Crash(stored) => Some(stored),
            _ => None,
        });
        let listed: Vec<StoredCrash> = crashes.collect();
        for crash in self.suspects.quarantine.all() {
            let is_listed = listed.iter().any(|stored| stored.crash == crash);
            if !is_listed && !self.suspects.unstored.contains_key(&crash) {
                self.suspects.quarantine.forget(&crash);
            }
        }
        for stored in listed {
            self.crash_watched(stored);
        }
        self.publish_suspects();
    }

    /// Stores crashes that could not be stored before, and drops old ones. The holder of the duty
    /// also deletes their objects.
    pub(in crate::decision::gateway) fn tick_suspects(&mut self) {
        self.write_crashes();
        let expired = self.suspects.quarantine.expire(self.now);
        if expired.is_empty() {
            return;
        }
        self.publish_suspects();
        for crash in expired {
            self.suspects.unstored.remove(&crash);
            if self.permit().is_some() {
                self.delete_crash(crash);
            }
        }
    }

    /// Handles the answer to the write of a crash, which exists already after a conflict.
    pub(in crate::decision::gateway) fn crash_stored(
        &mut self,
        crash: &Crash,
        answer: &Result<Answer, ObjectError>,
    ) {
        if matches!(answer, Ok(_) | Err(ObjectError::Conflict(_))) {
            self.suspects.unstored.remove(crash);
        }
    }

    /// Handles the answer to the deletion of a crash.
    pub(in crate::decision::gateway) fn crash_deleted(
        &mut self,
        crash: Crash,
        answer: &Result<Answer, ObjectError>,
    ) {
        if matches!(answer, Err(ObjectError::Unavailable(_))) {
            let name = Arc::from(crash.object_name());
            let delete = StoreCall::Delete(Kind::Crashes, name);
            self.retry_store_call(Purpose::ForgetCrash(crash), delete);
        }
    }

    /// Records a crash, if it is not known, and pauses its target.
    fn record_crash(&mut self, at: Time, crash: Crash, source: CrashSource) {
        if !self.suspects.quarantine.record(at, crash.clone()) {
            return;
        }
        let crashes = self.suspects.quarantine.crashes(&crash.request);
        let fields = vec![
            ("fingerprint", crash.request.to_string()),
            ("target", crash.target.to_string()),
            ("started_at", crash.started_at.to_string()),
            ("crashes", crashes.to_string()),
            ("source", source.label().to_owned()),
        ];
        self.log(Event::RequestSuspected, fields);
        self.directory.record_crash(self.now, at, &crash);
        self.publish_suspects();
    }

    fn write_crashes(&mut self) {
        let now = self.now;
        let idle = self.suspects.unstored.is_empty();
        if idle || now < self.suspects.next_write || self.store.outage_start.is_some() {
            return;
        }
        self.suspects.next_write = now + WRITE_INTERVAL;
        for (crash, at) in self.suspects.unstored.clone() {
            let name = Arc::from(crash.object_name());
            let record = Record::Crash(StoredCrash {
                crash: crash.clone(),
                at,
            });
            let create = StoreCall::Create(Kind::Crashes, name, record);
            self.call_store(Purpose::StoreCrash(crash), create);
        }
    }

    fn delete_crash(&mut self, crash: Crash) {
        let delete = StoreCall::Delete(Kind::Crashes, Arc::from(crash.object_name()));
        self.call_store(Purpose::ForgetCrash(crash), delete);
    }

    /// Makes the traffic threads recognize the suspects.
    fn publish_suspects(&mut self) {
        let shapes = Arc::new(self.suspects.quarantine.shapes());
        self.effects.push(Effect::PublishSuspects(shapes));
    }
}

/// Returns the parts by which a scoring request is recognized when it comes again.
fn scoring_parts(scorer: &Scorer) -> RequestParts<'_> {
    RequestParts {
        workspace: None,
        host: &scorer.host,
        method: "POST",
        path: &scorer.path,
        body: &scorer.body,
    }
}

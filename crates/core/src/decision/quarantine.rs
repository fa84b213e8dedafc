//! Quarantine of requests under which targets crash.
//!
//! A request is a suspect once a target has crashed while it ran, and is quarantined after several such
//! crashes in a row. Other requests at the same targets become suspects too, since a crash does not
//! show which request caused it, and so do requests at targets that crash for other reasons. The
//! first answer from a target that stays up clears a suspect.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::domain::crash::Crash;
use crate::domain::fingerprint::RequestShape;
use crate::domain::name::Fingerprint;
use crate::domain::time::Time;

/// Number of crashes in a row after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// Length of the first quarantine. It is short because a frequent sound request may run at two targets
/// that another request crashes.
const BASE_QUARANTINE: Duration = Duration::from_secs(10);

/// Factor by which each further crash lengthens the quarantine.
const QUARANTINE_FACTOR: u32 = 6;

/// Maximum length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Time for which a request stays a suspect after its last crash or the end of its quarantine.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);

/// Time within which all requests that a crash broke off end. A later crash for which the entry names the
/// same run is that of a run whose entry is not known yet.
const CRASH_SPAN: Duration = Duration::from_secs(1);

/// Maximum number of suspects, so that callers who crash targets on purpose use little memory.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of crashes that are kept of one suspect.
const MAX_CRASHES: usize = 8;

/// Requests under which targets crashed since their last answer.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

/// Whether and how a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No target has crashed under the request.
    Sound,
    /// A target has crashed under the request, which should run apart from others.
    Suspect,
    /// The request must not be sent for this time.
    Quarantined(Duration),
}

/// Crashes under one request since its last answer, each with its time.
#[derive(Debug, Default)]
struct Suspect {
    crashes: BTreeMap<Crash, Time>,
}

impl Quarantine {
    /// Returns a crash at this time with its ordinal, or `None` if it is the same as a known one.
    pub fn number(&self, now: Time, crash: Crash) -> Option<Crash> {
        let suspect = self.suspects.get(&crash.request);
        let known = suspect.into_iter().flat_map(|s| &s.crashes);
        let same_run = known.filter(|(known, _)| {
            known.target == crash.target && known.started_at == crash.started_at
        });
        match same_run.max_by_key(|(known, _)| known.ordinal) {
            Some((_, at)) if now < *at + CRASH_SPAN => None,
            Some((known, _)) => Some(Crash {
                ordinal: known.ordinal + 1,
                ..crash
            }),
            None => Some(crash),
        }
    }

    /// Records a crash. Returns `false` if it is known.
    pub fn record(&mut self, at: Time, crash: Crash) -> bool {
        let suspect = self.suspects.entry(crash.request.clone()).or_default();
        if suspect.crashes.contains_key(&crash) {
            return false;
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            suspect.drop_oldest();
        }
        suspect.crashes.insert(crash, at);
        true
    }

    /// Decides whether a request may be sent now.
    pub fn verdict(&self, now: Time, request: &Fingerprint) -> Verdict {
        let Some(suspect) = self.suspects.get(request) else {
            return Verdict::Sound;
        };
        let left = suspect.quarantine_end().since(now);
        match left.is_zero() {
            true => Verdict::Suspect,
            false => Verdict::Quarantined(left),
        }
    }

    /// Returns `true` if a suspect has this shape.
    pub fn has_shape(&self, shape: RequestShape) -> bool {
        let mut shapes = self.suspects.keys().filter_map(Fingerprint::shape);
        shapes.any(|known| known == shape)
    }

    /// Returns the number of crashes under a request since its last answer.
    pub fn crashes(&self, request: &Fingerprint) -> usize {
        self.suspects.get(request).map_or(0, |s| s.crashes.len())
    }

    /// Clears a request that a target answered. Returns the crashes that no longer count.
    pub fn clear(&mut self, request: &Fingerprint) -> Vec<Crash> {
        let cleared = self.suspects.remove(request);
        cleared.map_or_else(Vec::new, |s| s.crashes.into_keys().collect())
    }

    /// Drops a crash that another process has cleared.
    pub fn forget(&mut self, crash: &Crash) {
        if let Some(suspect) = self.suspects.get_mut(&crash.request) {
            suspect.crashes.remove(crash);
            if suspect.crashes.is_empty() {
                self.suspects.remove(&crash.request);
            }
        }
    }

    /// Returns all crashes.
    pub fn all(&self) -> Vec<Crash> {
        let suspects = self.suspects.values();
        suspects.flat_map(|s| s.crashes.keys().cloned()).collect()
    }

    /// Drops suspects that are old or too many, and returns their crashes.
    pub fn expire(&mut self, now: Time) -> Vec<Crash> {
        let is_old = |s: &Suspect| now >= s.quarantine_end() + SUSPECT_RETENTION;
        let old = self.suspects.extract_if(.., |_, s| is_old(s));
        let mut dropped: Vec<Suspect> = old.map(|(_, s)| s).collect();
        while self.suspects.len() > MAX_SUSPECTS {
            let suspects = self.suspects.iter();
            let least = suspects.min_by_key(|(_, s)| (s.crashes.len(), s.last_crash()));
            let Some(request) = least.map(|(request, _)| request.clone()) else {
                break;
            };
            dropped.extend(self.suspects.remove(&request));
        }
        let crashes = dropped.into_iter().flat_map(|s| s.crashes.into_keys());
        crashes.collect()
    }

    /// Returns the shapes of all suspects, by which most sound requests are recognized.
    pub fn shapes(&self) -> BTreeSet<RequestShape> {
        self.suspects
            .keys()
            .filter_map(Fingerprint::shape)
            .collect()
    }
}

impl Suspect {
    /// Returns the end of the quarantine, which is the time of the last crash if there is none.
    fn quarantine_end(&self) -> Time {
        let Some(further) = self.crashes.len().checked_sub(QUARANTINE_CRASHES) else {
            return self.last_crash();
        };
        let factor = QUARANTINE_FACTOR.saturating_pow(u32::try_from(further).unwrap_or(u32::MAX));
        self.last_crash() + BASE_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, at)| **at);
        if let Some(crash) = oldest.map(|(crash, _)| crash.clone()) {
            self.crashes.remove(&crash);
        }
    }

    fn last_crash(&self) -> Time {
        self.crashes.values().copied().max().unwrap_or_default()
    }
}

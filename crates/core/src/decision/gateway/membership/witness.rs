//! Signs of life of a runner in the object API, before its job is taken over.
//!
//! Answers a partition between gateways that still reach the object API and the targets: the runner
//! answers no pings, but goes on and writes drafts. Its job is taken over only if its drafts do not
//! change between two reads.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Time between the two reads, in which a runner writes drafts at least once.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// What is known of the drafts of a runner that answers no pings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::decision::gateway) enum Witness {
    /// Nothing was read.
    #[default]
    Unknown,
    /// The first read is outstanding.
    Asking,
    /// The first read found this revision, or no drafts.
    Seen(Option<Revision>, Time),
    /// The second read is outstanding, and the first one found this revision.
    Comparing(Option<Revision>),
    /// The drafts did not change between the reads.
    Still,
}

/// What a candidate for the takeover of a job does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::decision::gateway) enum WitnessStep {
    /// Read the drafts.
    Read,
    /// Wait for an answer or the time of the next read.
    Wait,
    /// Take the job over.
    TakeOver,
}

impl Witness {
    /// Returns the next step of a candidate that may take the job over from `due` on.
    pub(in crate::decision::gateway) fn next(&mut self, now: Time, due: Time) -> WitnessStep {
        match *self {
            Witness::Unknown if now + READ_INTERVAL >= due => {
                *self = Witness::Asking;
                WitnessStep::Read
            }
            Witness::Seen(revision, at) if now >= due.max(at + READ_INTERVAL) => {
                *self = Witness::Comparing(revision);
                WitnessStep::Read
            }
            Witness::Still if now >= due => WitnessStep::TakeOver,
            _ => WitnessStep::Wait,
        }
    }

    /// Handles the answer to a read. Returns `true` if the runner has written since the first one.
    fn answered(&mut self, now: Time, found: Option<Option<Revision>>) -> bool {
        let Some(revision) = found else {
            *self = Witness::Unknown;
            return false;
        };
        match *self {
            Witness::Comparing(before) if before == revision => {
                *self = Witness::Still;
                false
            }
            Witness::Comparing(_) => {
                *self = Witness::Seen(revision, now);
                true
            }
            _ => {
                *self = Witness::Seen(revision, now);
                false
            }
        }
    }
}

impl Gateway {
    /// Reads the drafts of a job whose runner answers no pings.
    pub(in crate::decision::gateway) fn read_witness(&mut self, id: &BatchId) {
        let name = Arc::from(id.as_str());
        let call = StoreCall::Get(Kind::Drafts, name);
        self.call_store(Purpose::Witness(id.clone()), call);
    }

    /// Handles the answer to a read of the drafts. A runner that writes is no longer suspected.
    pub(in crate::decision::gateway) fn witness_answered(
        &mut self,
        id: &BatchId,
        answer: &Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let found = match answer {
            Ok(Answer::Found(found)) => Some(found.as_ref().map(|(revision, _)| *revision)),
            _ => None,
        };
        if job.witness.answered(now, found) {
            job.suspected_since = Some(now);
        }
    }
}

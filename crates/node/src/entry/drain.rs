//! Drain of an entry, and its state for the administration server.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flume::Sender;
use sardinepath_core::decision::process::DrainEnd;
use sardinepath_core::decision::process::Process;
use sardinepath_core::decision::process::Serving;
use sardinepath_core::port::admin::AdminFront;
use sardinepath_core::port::admin::Readiness;
use sardinepath_core::port::clock::Clock;

use crate::entry::Entry;
use crate::entry::control::Message;
use crate::entry::duty::DutyMessage;
use crate::entry::snapshot::SharedSnapshot;
use crate::entry::step::StepMessage;
use crate::metrics::Metrics;
use crate::process::wait_for_drain;

/// Timeout of the release of all leases: a call that is under way takes up to 3 s, and so does the
/// write that releases a lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(7);

/// Metrics and readiness of an entry for the administration server.
pub(super) struct EntryAdmin {
    pub(super) metrics: Arc<Metrics>,
    pub(super) snapshot: SharedSnapshot,
    pub(super) control: Sender<Message>,
    pub(super) draining: Arc<AtomicBool>,
}

impl AdminFront for EntryAdmin {
    fn metrics(&self) -> String {
        self.metrics.text(self.control.len())
    }

    fn ready(&self) -> Readiness {
        if self.draining.load(Ordering::Relaxed) {
            return Readiness::Draining;
        }
        match self.snapshot.load().ready {
            true => Readiness::Ready,
            false => Readiness::Starting,
        }
    }
}

impl Entry {
    /// Reports the process as not ready.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Stops admission, waits until every running request has its answer or the drain limit passes,
    /// and releases the leases.
    pub fn drain(&self, process: Process<Serving>, clock: &dyn Clock) -> DrainEnd {
        let process = process.drain(clock.now());
        self.begin_drain();
        // A control thread that has ended holds no lease.
        let _ = self.control.send(Message::Step(StepMessage::Drain));
        let finished = self.server.drain();
        let end = wait_for_drain(&process, clock, &finished);
        self.release_leases();
        end
    }

    /// Releases the leases, so that other entries take over the duties at once. If that fails, they
    /// wait until the leases expire.
    fn release_leases(&self) {
        let (done, released) = flume::bounded(1);
        let message = Message::Duty(DutyMessage::Release(done));
        if self.control.send(message).is_ok() {
            let _ = released.recv_timeout(RELEASE_TIMEOUT);
        }
    }
}

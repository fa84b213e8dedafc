//! Waiting for the end of a drain.

use flume::Receiver;
use flume::RecvTimeoutError;
use sardinepath_core::decision::process::DrainEnd;
use sardinepath_core::decision::process::DrainStep;
use sardinepath_core::decision::process::Draining;
use sardinepath_core::decision::process::Process;
use sardinepath_core::port::clock::Clock;

/// Blocks until `finished` is closed or the drain limit passes.
pub(crate) fn wait_for_drain(
    process: &Process<Draining>,
    clock: &dyn Clock,
    finished: &Receiver<()>,
) -> DrainEnd {
    loop {
        let DrainStep::Wait(left) = process.step(clock.now()) else {
            return DrainEnd::LimitReached;
        };
        match finished.recv_timeout(left) {
            Err(RecvTimeoutError::Disconnected) => return DrainEnd::Finished,
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
        }
    }
}

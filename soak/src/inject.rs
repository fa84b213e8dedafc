//! Faults and changes that a run draws from its seed.

use std::time::Duration;

use rand::RngExt;
use rustix::process::Signal;
use tokio::time::Instant;

use crate::callers::KEY;
use crate::callers::config;
use crate::proxy::Disturbance;
use crate::run::Recovery;
use crate::run::Run;
use crate::run::pool_of;
use crate::store::StoreFault;
use crate::target::DRAIN_TIME;

/// Additional time that a terminated gateway has to drain before it is killed and restarted.
const STOP_TIME: Duration = Duration::from_secs(4);

impl Run {
    /// Draws and injects one fault or change.
    pub(crate) fn inject_fault(&mut self) {
        let node = self.random.random_range(0..self.fleet.len());
        let length = Duration::from_millis(self.random.random_range(300..3_500));
        let short = Duration::from_millis(self.random.random_range(50..300));
        match self.random.random_range(0..14) {
            0..=4 => self.fail_process(node, length),
            5..=7 => self.fail_path(node, length, short),
            8 | 9 => self.fail_store(length, short),
            10 => {
                self.record("store: history dropped".to_owned());
                self.store.compact();
            }
            11 => {
                self.config_version += 1;
                let spare = !self.config_version.is_multiple_of(2);
                let keys: &[&str] = if spare { &[KEY, "spare"] } else { &[KEY] };
                self.record(format!("configuration {}", self.config_version));
                self.store
                    .put("config", "main", &config(self.config_version, keys));
            }
            12 => {
                let target = self.random.random_range(0..3);
                self.record(format!("target {target} slow for {length:?}"));
                self.targets[target].set_event_interval(Duration::from_millis(90));
                self.recoveries
                    .push((Instant::now() + length, Recovery::RestoreTarget(target)));
            }
            _ => {
                self.record(format!("hang-up signal to g{node}"));
                self.fleet[node].signal(Signal::HUP);
            }
        }
    }

    /// Makes a target say that it is leaving, unless another one of its pool does. Its entry says so
    /// in every second case.
    pub(crate) fn leave_target(&mut self) {
        let target = self.leave_random.random_range(0..self.targets.len());
        let pool = pool_of(target);
        let leaving = self.recoveries.iter().any(|(_, recovery)| {
            matches!(recovery, Recovery::StartTarget(other) if pool_of(*other) == pool)
        });
        if leaving {
            return;
        }
        let listed = self.leave_random.random_bool(0.5);
        self.record(format!("target {target} leaves, listed: {listed}"));
        self.targets[target].say_leaving();
        if listed {
            self.targets[target].leave(pool);
        }
        let end = Instant::now() + 2 * DRAIN_TIME;
        self.recoveries.push((end, Recovery::StartTarget(target)));
    }

    /// Kills, terminates or pauses a gateway.
    fn fail_process(&mut self, node: usize, length: Duration) {
        let end = Instant::now() + length;
        match self.random.random_range(0..5) {
            0 | 1 => {
                self.record(format!("kill g{node}"));
                self.fleet[node].signal(Signal::KILL);
                self.recoveries.push((end, Recovery::RestartGateway(node)));
            }
            2 => {
                self.record(format!("terminate g{node}"));
                self.fleet[node].signal(Signal::TERM);
                self.recoveries
                    .push((end + STOP_TIME, Recovery::RestartGateway(node)));
            }
            _ => {
                self.record(format!("freeze g{node} for {length:?}"));
                self.fleet[node].signal(Signal::STOP);
                self.recoveries.push((end, Recovery::ResumeGateway(node)));
            }
        }
    }

    /// Disturbs the path from a gateway to the store.
    fn fail_path(&mut self, node: usize, length: Duration, short: Duration) {
        let kinds = [
            Disturbance::Delay(short),
            Disturbance::Refuse,
            Disturbance::Silence,
            Disturbance::OneWay,
        ];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        self.record(format!(
            "path g{node} to the store: {kind:?} for {length:?}"
        ));
        self.fleet[node].store.disturb(kind);
        self.recoveries
            .push((Instant::now() + length, Recovery::RestorePath(node)));
    }

    /// Makes the store fail for all gateways.
    fn fail_store(&mut self, length: Duration, short: Duration) {
        let kinds = [
            StoreFault::Busy,
            StoreFault::Silent,
            StoreFault::Slow(short),
            StoreFault::AnswerLost,
            StoreFault::Late(Duration::from_millis(1_500)),
        ];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        self.record(format!("store: {kind:?} for {length:?}"));
        self.store.set_fault(kind);
        self.recoveries
            .push((Instant::now() + length, Recovery::RestoreStore));
    }
}

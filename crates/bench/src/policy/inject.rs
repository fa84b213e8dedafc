//! Injection of faults into the simulation.

use std::time::Duration;

use sardinepath_core::domain::error::ErrorKind;

use crate::policy::event::Event;
use crate::policy::fault::FaultKind;
use crate::policy::port::Policy;
use crate::policy::simulation::FAILURE_DELAY;
use crate::policy::simulation::Simulation;
use crate::policy::target::Health;
use crate::policy::target::Target;

/// Time after which a crashed engine serves again.
const RESTART_TIME: Duration = Duration::from_secs(60);

/// Additional age of the load in reports during the `Reports` fault.
const REPORT_DELAY: Duration = Duration::from_secs(3);

impl<P: Policy> Simulation<'_, P> {
    /// Starts the fault of the run.
    pub(super) fn inject_fault(&mut self) {
        self.fault_active = true;
        let engines = self.settings.deployment.engines;
        match self.settings.fault {
            FaultKind::None | FaultKind::Gaps => {}
            FaultKind::Crash => self.take_down(0),
            FaultKind::Half => {
                for target in &mut self.targets[..engines / 2] {
                    target.health = Health::Failing;
                }
                (0..engines / 2).for_each(|index| self.fail_attempts(index));
            }
            FaultKind::Centre => {
                let centre = self.settings.deployment.centre(0);
                for index in 0..self.targets.len() {
                    if self.targets[index].centre == centre {
                        self.take_down(index);
                    }
                }
            }
            FaultKind::Reports => {
                let delay_reports = |target: &mut Target| target.report_delay = REPORT_DELAY;
                self.targets.iter_mut().for_each(delay_reports);
            }
        }
        if self.settings.fault == FaultKind::Crash {
            self.queue.push(self.now + RESTART_TIME, Event::FaultEnd);
        }
    }

    /// Ends the fault. All targets work normally again.
    pub(super) fn clear_fault(&mut self) {
        self.fault_active = false;
        for target in &mut self.targets {
            target.health = Health::Up;
            target.report_delay = Duration::ZERO;
        }
    }

    /// Makes a target unreachable and fails its attempts.
    fn take_down(&mut self, index: usize) {
        self.targets[index].health = Health::Down;
        self.fail_attempts(index);
    }

    /// Fails all running and waiting attempts of a target.
    fn fail_attempts(&mut self, index: usize) {
        for (id, attempt) in self.targets[index].crash() {
            self.record_waste(id, attempt);
            let event = Event::Fail(id, attempt, ErrorKind::TargetFailed);
            self.queue.push(self.now + FAILURE_DELAY, event);
        }
    }
}

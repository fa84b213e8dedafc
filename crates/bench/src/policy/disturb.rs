//! Faults of the virtual world.

use std::time::Duration;

use sardinepath_core::domain::error::ErrorKind;

use crate::policy::event::Event;
use crate::policy::fault::FaultKind;
use crate::policy::port::Policy;
use crate::policy::target::Health;
use crate::policy::target::Target;
use crate::policy::world::FAILURE;
use crate::policy::world::World;

/// Time in which a crashed engine is started again.
const RESTART: Duration = Duration::from_secs(60);

/// Additional age of late reports.
const LATE: Duration = Duration::from_secs(3);

impl<P: Policy> World<'_, P> {
    /// Puts the fault schedule in force.
    pub(super) fn disturb(&mut self) {
        self.broken = true;
        let engines = self.settings.deployment.engines;
        match self.settings.fault {
            FaultKind::None | FaultKind::Gaps => {}
            FaultKind::Crash => self.lose(0),
            FaultKind::Half => {
                for target in &mut self.targets[..engines / 2] {
                    target.health = Health::Failing;
                }
                (0..engines / 2).for_each(|at| self.drop_work(at));
            }
            FaultKind::Centre => {
                let centre = self.settings.deployment.centre(0);
                for at in 0..self.targets.len() {
                    if self.targets[at].centre == centre {
                        self.lose(at);
                    }
                }
            }
            FaultKind::Reports => {
                let late = |target: &mut Target| target.delay = LATE;
                self.targets.iter_mut().for_each(late);
            }
        }
        if self.settings.fault == FaultKind::Crash {
            self.agenda.add(self.now + RESTART, Event::Mend);
        }
    }

    /// Ends the fault schedule.
    pub(super) fn mend(&mut self) {
        self.broken = false;
        for target in &mut self.targets {
            target.health = Health::Up;
            target.delay = Duration::ZERO;
        }
    }

    /// Takes a target down.
    fn lose(&mut self, at: usize) {
        self.targets[at].health = Health::Down;
        self.drop_work(at);
    }

    /// Fails everything that runs on a target.
    fn drop_work(&mut self, at: usize) {
        for (id, attempt) in self.targets[at].crash() {
            self.note_waste(id, attempt);
            let event = Event::Fail(id, attempt, ErrorKind::TargetFailed);
            self.agenda.add(self.now + FAILURE, event);
        }
    }
}

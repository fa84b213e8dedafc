//! Evacuation of a data centre during a run, and the check that nothing is sent there.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::run::Run;
use crate::target::DEFAULT_CENTRE;
use crate::target::OTHER_CENTRE;

/// Time within which gateways that reach the store must know of an evacuation.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Kind of the objects that evacuate data centres.
const KIND: &str = "evacuations";

/// Evacuation of one data centre.
#[derive(Debug)]
pub(crate) struct Evacuation {
    centre: &'static str,
    /// Time from the start of the run to the evacuation.
    after: Duration,
    state: State,
}

/// Life cycle of an evacuation. Each state holds when it began.
#[derive(Clone, Copy, Debug)]
enum State {
    Planned,
    Stored(Instant),
    TakenBack(Instant, Instant),
}

impl Evacuation {
    /// Draws the data centre and the time, apart from the random numbers of the faults.
    pub(crate) fn draw(seed: u64, time: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(17));
        let centres = [DEFAULT_CENTRE, OTHER_CENTRE];
        Self {
            centre: centres[random.random_range(0..centres.len())],
            after: time.mul_f64(random.random_range(0.2..0.9)),
            state: State::Planned,
        }
    }
}

impl Run {
    /// Stores the evacuation when it is due.
    pub(crate) fn evacuate_due(&mut self) {
        let planned = matches!(self.evacuation.state, State::Planned);
        if planned && self.start.elapsed() >= self.evacuation.after {
            self.evacuation.state = State::Stored(Instant::now());
            self.record(format!("evacuation of {}", self.evacuation.centre));
            self.store.put(KIND, self.evacuation.centre, &json!({}));
        }
    }

    /// Removes the evacuation.
    pub(crate) fn take_back(&mut self) {
        if let State::Stored(since) = self.evacuation.state {
            self.evacuation.state = State::TakenBack(since, Instant::now());
            self.record(format!(
                "evacuation of {} taken back",
                self.evacuation.centre
            ));
            self.store.remove(KIND, self.evacuation.centre);
        }
    }

    /// Checks that targets of the evacuated data centre got nothing once all gateways had contact to the
    /// store for a while after the faults ended.
    pub(crate) fn check_evacuation(&mut self, healed: Instant) {
        let State::TakenBack(since, end) = self.evacuation.state else {
            return;
        };
        let known = healed.max(since) + CONTACT_TIME;
        let centre = self.evacuation.centre;
        for target in self.targets.iter().filter(|t| t.centre() == centre) {
            let log = target.log();
            let times = log.runs.values().flatten();
            let late = times.filter(|at| **at > known && **at < end).count();
            if late > 0 {
                let name = &target.name;
                self.faults.push(format!(
                    "{name}: got {late} requests while its data centre {centre} was evacuated"
                ));
            }
        }
    }
}

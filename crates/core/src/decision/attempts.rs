//! Attempts of one plain request: when to send it, send it once more, or give it up.

use std::time::Duration;

use crate::domain::time::Time;

/// A second attempt starts after this many objectives without an answer.
const HEDGE: u32 = 2;

/// Share of the objective, as a divisor, after which a request without a target is refused. A
/// refusal within a quarter of the objective lets the caller come back in time.
const REFUSE: u32 = 5;

/// Pause before the next attempt when no target could take the last one.
const PAUSE: Duration = Duration::from_millis(8);

/// Attempts that targets may refuse before the request is refused.
const REFUSALS_MOST: u32 = 6;

/// Terms of one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTerms {
    /// True if the request may run more than once.
    pub safe: bool,
    /// Most targets that may run it.
    pub most: u32,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Arrival of the request.
    pub start: Time,
    /// Time at which the caller gets its final answer.
    pub until: Time,
}

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    terms: AttemptTerms,
    running: u32,
    /// Attempts that ended and may have run.
    ran: u32,
    refusals: u32,
    /// True if an attempt that does not count against the limit may have run.
    unclear: bool,
    last: Time,
    due: Time,
}

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target did not run it, or nothing was sent.
    NotRun,
    /// A kept connection ended before any answer, so the target most likely did not read it.
    Dropped,
    /// It ran, or may have run.
    MayHaveRun,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// Choose a target and send the request.
    Send,
    /// Wait for the running attempts, at most until this time.
    Wait(Time),
    /// Answer the caller that the request did not run and will not run.
    Refuse,
    /// Answer the caller that the request failed and may have run.
    Fail,
    /// Answer the caller that its time is over and the request may have run.
    TimeOut,
}

impl Attempts {
    /// Starts without attempts.
    pub fn new(terms: AttemptTerms) -> Self {
        Self {
            running: 0,
            ran: 0,
            refusals: 0,
            unclear: false,
            last: terms.start,
            due: terms.start,
            terms,
        }
    }

    /// Decides what to do next.
    pub fn next(&self, now: Time) -> AttemptStep {
        let terms = &self.terms;
        if now >= terms.until {
            let clean = self.running == 0 && self.is_clean();
            return if clean {
                AttemptStep::Refuse
            } else {
                AttemptStep::TimeOut
            };
        }
        if self.running > 0 {
            let hedge = self.last + terms.objective * HEDGE;
            let more = terms.safe && self.running == 1 && self.ran + self.running < terms.most;
            return match (more, now >= hedge.max(self.due)) {
                (true, true) => AttemptStep::Send,
                (true, false) => AttemptStep::Wait(terms.until.min(hedge.max(self.due))),
                (false, _) => AttemptStep::Wait(terms.until),
            };
        }
        let spent = self.ran >= terms.most || (!self.is_clean() && !terms.safe);
        if spent {
            return AttemptStep::Fail;
        }
        let late = now >= terms.start + terms.objective / REFUSE;
        if self.refusals >= REFUSALS_MOST || (self.refusals > 0 && late) {
            let clean = self.is_clean();
            return if clean {
                AttemptStep::Refuse
            } else {
                AttemptStep::Fail
            };
        }
        if now < self.due {
            return AttemptStep::Wait(self.due);
        }
        AttemptStep::Send
    }

    /// Notes that an attempt was sent.
    pub fn started(&mut self, now: Time) {
        self.running += 1;
        self.last = now;
    }

    /// Notes that no target could be chosen.
    pub fn no_target(&mut self, now: Time) {
        self.refusals += 1;
        self.due = now + PAUSE;
    }

    /// Notes that an attempt ended without an answer for the caller.
    pub fn ended(&mut self, now: Time, end: AttemptEnd) {
        self.running = self.running.saturating_sub(1);
        match end {
            AttemptEnd::NotRun => {
                self.refusals += 1;
                self.due = now + PAUSE;
            }
            AttemptEnd::Dropped => {
                self.refusals += 1;
                self.unclear = true;
            }
            AttemptEnd::MayHaveRun => self.ran += 1,
        }
    }

    /// Tells whether no attempt has run.
    fn is_clean(&self) -> bool {
        self.ran == 0 && !self.unclear
    }
}

//! Port between the simulation and a policy that admits requests and assigns them to targets.

use std::time::Duration;

use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;

use crate::policy::job::JobId;

/// Decision of a policy that the simulation carries out.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send the job to the target after a delay.
    Start(JobId, TargetName, Duration),
    /// End the job with this failure.
    Refuse(JobId, Failure),
}

/// Policy that decides for all entries of a deployment.
pub trait Policy {
    /// Whether targets start waiting requests by priority class instead of by arrival.
    const USES_PRIORITIES: bool;

    /// Receives a request at one entry.
    fn submit(&mut self, now: Time, entry: usize, job: JobId, request: AdmissionRequest);

    /// Handles a failed attempt: the policy decides whether to repeat it.
    fn retry(&mut self, now: Time, job: JobId, failure: Failure);

    /// Handles the end of a request.
    fn finish(&mut self, now: Time, job: JobId, outcome: &Outcome);

    /// Receives the report of a target at all entries.
    fn report(&mut self, now: Time, report: &Report);

    /// Runs the timers that are due.
    fn tick(&mut self, now: Time);

    /// Returns the next decision, or `None` if there is nothing to do.
    fn next_decision(&mut self) -> Option<Decision>;
}

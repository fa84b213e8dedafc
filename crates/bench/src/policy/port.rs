//! Port between the virtual world and a policy that admits and places requests.

use std::time::Duration;

use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;

use crate::policy::job::JobId;

/// What the world has to do next for a policy.
#[derive(Clone, Debug)]
pub enum Step {
    /// Send the job to the target after a delay.
    Start(JobId, TargetName, Duration),
    /// The job ends with this failure.
    Refuse(JobId, Failure),
}

/// A policy for all entries of a deployment.
pub trait Policy {
    /// True if targets serve waiting requests by priority class and not by arrival.
    const CLASSES: bool;

    /// Takes in a request at one entry.
    fn ask(&mut self, now: Time, entry: usize, job: JobId, ask: AdmissionRequest);

    /// Decides whether a failed attempt is repeated.
    fn retry(&mut self, now: Time, job: JobId, failure: Failure);

    /// Notes the end of a request.
    fn ended(&mut self, now: Time, job: JobId, outcome: &Outcome);

    /// Takes in a target's report at all entries.
    fn report(&mut self, now: Time, report: &Report);

    /// Lets timers run.
    fn tick(&mut self, now: Time);

    /// Returns the next step.
    fn next_step(&mut self) -> Option<Step>;
}

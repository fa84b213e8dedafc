//! Lease of the duty. Its holder orders targets to load weights, reports usage and removes old
//! jobs; one process at a time holds it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::GatewaySettings;
use crate::decision::gateway::jobs::routes::JobRoute;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::decision::lease::Claim;
use crate::decision::lease::Held;
use crate::decision::lease::HeldStep;
use crate::decision::lease::Lease;
use crate::decision::lease::LeaseRead;
use crate::decision::lease::LeaseWrite;
use crate::decision::lease::Permit;
use crate::decision::lease::Tenure;
use crate::decision::lease::Vacant;
use crate::decision::lease::VacantStep;
use crate::decision::weights::OrderEnd;
use crate::decision::weights::Replica;
use crate::domain::batch::Head;
use crate::domain::event::Event;
use crate::domain::fleet::TargetEntry;
use crate::domain::ids::Incarnation;
use crate::domain::name::DutyName;
use crate::domain::name::ModelName;
use crate::domain::name::TargetName;
use crate::domain::table::RouteTable;
use crate::domain::time::Time;
use crate::port::object::ObjectError;
use crate::port::object::Precondition;

/// Name of the duty and its lease object.
/// Number of requests with which a target is ordered to load a version: the report is read before.
const ORDER_REQUESTS: usize = 2;

const DUTY_NAME: &str = "fleet";

/// Minimum remaining lease time for sending an order or report, so that it arrives in time.
pub(in crate::decision::gateway) const MIN_LEASE_REMAINDER: Duration = Duration::from_millis(300);

/// Part of the length of a lease, in percent, after its start and after each tenure for which a process
/// does not claim the duty where old fencing tokens are not rejected. No host then acts again within a
/// lease after another one did, also with clocks that are wrong by a fifth.
const RECLAIM_WAIT_PERCENT: u32 = 120;

/// State of the duty lease at this process.
#[derive(Debug)]
pub(in crate::decision::gateway) struct Duty {
    lease: Option<State>,
    /// Call to the object API whose answer is outstanding.
    pending: Call,
    /// Whether a newer holder was observed, which ends the tenure of this process.
    fenced: bool,
    /// Number of orders and reports that may still be sent or arrive.
    in_flight: usize,
    /// Time before which this process does not claim the duty.
    claims_from: Time,
}

#[derive(Debug)]
enum State {
    Vacant(Lease<Vacant>),
    Held(Lease<Held>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Nothing,
    Read,
    Write,
}

impl Duty {
    pub(in crate::decision::gateway) fn new(settings: &GatewaySettings, now: Time) -> Self {
        let duty = DutyName::from(DUTY_NAME);
        let lease = Lease::challenge_with_terms(duty, settings.peer.incarnation, settings.lease);
        Self {
            lease: Some(State::Vacant(lease)),
            pending: Call::Nothing,
            fenced: false,
            in_flight: 0,
            claims_from: now + reclaim_wait(settings),
        }
    }

    /// Records that a run of a process has certainly ended, so its lease can be claimed early.
    pub(in crate::decision::gateway) fn record_ended(&mut self, incarnation: Incarnation) {
        if let Some(State::Vacant(lease)) = &mut self.lease {
            lease.record_ended(incarnation);
        }
    }

    pub(in crate::decision::gateway) fn is_vacant(&self) -> bool {
        !matches!(self.lease, Some(State::Held(_)))
    }

    /// Returns `true` if no call for the duty or its lease is under way.
    fn is_idle(&self) -> bool {
        self.pending == Call::Nothing && self.in_flight == 0
    }

    /// Counts a call for the duty that is about to be sent.
    pub(in crate::decision::gateway) fn call_started(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of a call for the duty. No byte of it arrives after that.
    pub(in crate::decision::gateway) fn call_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn permit(&self) -> Option<Permit> {
        match &self.lease {
            Some(State::Held(lease)) if !self.fenced => Some(lease.permit()),
            _ => None,
        }
    }
}

impl Gateway {
    /// Returns the permit to act for the duty if it remains valid long enough for a call. A process that
    /// drains starts nothing more.
    pub(in crate::decision::gateway) fn permit(&self) -> Option<Permit> {
        if self.draining {
            return None;
        }
        let permit = self.duty.permit()?;
        permit
            .allows(self.now + MIN_LEASE_REMAINDER)
            .then_some(permit)
    }

    pub(in crate::decision::gateway) fn tick_duty(&mut self) {
        self.step_lease();
        self.tick_weights();
        self.tick_reports();
        self.tick_removal();
    }

    fn step_lease(&mut self) {
        let now = self.now;
        match self.duty.lease.take() {
            Some(State::Vacant(mut lease)) => {
                let may_claim =
                    !self.draining && self.may_hold_duty() && now >= self.duty.claims_from;
                if may_claim && self.duty.pending == Call::Nothing {
                    match lease.next(now) {
                        VacantStep::Read(_) => self.read_lease(),
                        VacantStep::Acquire(write) => self.write_lease(write),
                        VacantStep::Wait(_) => {}
                    }
                }
                self.duty.lease = Some(State::Vacant(lease));
            }
            Some(State::Held(lease)) if self.duty.fenced => {
                let lapsed = lease.lapse();
                self.duty.lease = Some(State::Vacant(lapsed.rejoin()));
                self.duty_lost("fenced");
            }
            // The next holder may act as soon as the lease is released, so nothing of this one may arrive
            // after it.
            Some(State::Held(lease)) if self.draining && self.duty.is_idle() => {
                let (lapsed, write) = lease.release();
                self.duty.lease = Some(State::Vacant(lapsed.rejoin()));
                self.write_lease(write);
                self.log(Event::DutyReleased, vec![("duty", DUTY_NAME.to_owned())]);
            }
            Some(State::Held(mut lease)) => {
                let step = lease.next(now);
                if step == HeldStep::Lapse {
                    self.duty.lease = Some(State::Vacant(lease.lapse().rejoin()));
                    self.duty_lost("lapsed");
                    return;
                }
                self.duty.lease = Some(State::Held(lease));
                match step {
                    HeldStep::Renew(write) => self.write_lease(write),
                    HeldStep::ReadBack(_) => self.read_lease(),
                    HeldStep::Wait(_) | HeldStep::Lapse => {}
                }
            }
            None => {}
        }
    }

    fn read_lease(&mut self) {
        self.duty.pending = Call::Read;
        self.call_store(
            Purpose::Lease,
            StoreCall::Get(Kind::Leases, Arc::from(DUTY_NAME)),
        );
    }

    fn write_lease(&mut self, write: LeaseWrite) {
        self.duty.pending = Call::Write;
        let name = Arc::from(DUTY_NAME);
        let record = Record::Lease(write.record);
        let call = match write.expect {
            Precondition::Absent => StoreCall::Create(Kind::Leases, name, record),
            Precondition::At(revision) => StoreCall::Update(Kind::Leases, name, record, revision),
        };
        self.call_store(Purpose::Lease, call);
    }

    /// Handles the answer to a read or write of the lease.
    pub(in crate::decision::gateway) fn lease_answered(
        &mut self,
        answer: Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let pending = std::mem::replace(&mut self.duty.pending, Call::Nothing);
        let state = match (self.duty.lease.take(), pending) {
            (Some(State::Vacant(lease)), Call::Read) => {
                claimed(lease.observed(now, as_read(answer)))
            }
            (Some(State::Vacant(lease)), Call::Write) => {
                claimed(lease.answered(now, &as_write(answer)))
            }
            (Some(State::Held(lease)), Call::Read) => kept(lease.observed(now, as_read(answer))),
            (Some(State::Held(lease)), Call::Write) => kept(lease.answered(now, &as_write(answer))),
            (state, Call::Nothing) => (state, TenureChange::Same),
            (None, _) => (None, TenureChange::Same),
        };
        let (state, change) = state;
        self.duty.lease = state;
        match change {
            TenureChange::Same => {}
            TenureChange::Gained => self.duty_acquired(),
            TenureChange::Lost => self.duty_lost("lapsed"),
        }
    }

    fn duty_acquired(&mut self) {
        let fence = self.duty.permit().map_or(0, |p| p.fence.0);
        self.duty.fenced = false;
        self.weights.reset();
        self.reset_reports();
        self.reset_removal();
        self.log(
            Event::DutyAcquired,
            vec![("duty", DUTY_NAME.to_owned()), ("fence", fence.to_string())],
        );
        self.tick_weights();
    }

    fn duty_lost(&mut self, reason: &str) {
        self.duty.fenced = false;
        self.duty.claims_from = self.now + reclaim_wait(&self.settings);
        self.weights.reset();
        self.log(
            Event::DutyLost,
            vec![
                ("duty", DUTY_NAME.to_owned()),
                ("reason", reason.to_owned()),
            ],
        );
    }

    /// Records that a newer holder was observed. The tenure ends with the next tick.
    pub(in crate::decision::gateway) fn record_fenced(&mut self) {
        self.duty.fenced = matches!(self.duty.lease, Some(State::Held(_)));
    }

    /// Orders targets to load the newest weights, if this process holds the duty.
    pub(in crate::decision::gateway) fn tick_weights(&mut self) {
        let Some(permit) = self.permit() else {
            return;
        };
        // Which models have texts of one version only is not known before the configuration.
        let Some(table) = self.table.as_ref() else {
            return;
        };
        let fixed = self.single_version_models(table);
        let mut replicas = Vec::new();
        let places = &self.directory.places;
        let ordered = |t: &&TargetEntry| !t.leaving && places.is_open(&t.centre);
        for target in self.directory.entries().filter(ordered) {
            for (model, version) in &target.models {
                replicas.push(Replica {
                    target: target.name.clone(),
                    model: model.clone(),
                    version: *version,
                    busy: self.directory.total_load(&target.name),
                    version_fixed: fixed.contains(model),
                });
            }
        }
        for load in self.weights.next(self.now, &replicas) {
            let Some(address) = self.directory.get(&load.target).map(|t| t.address) else {
                continue;
            };
            self.log(
                Event::LoadOrdered,
                vec![
                    ("target", load.target.to_string()),
                    ("version", load.version.to_string()),
                    ("fence", permit.fence.0.to_string()),
                ],
            );
            for _ in 0..ORDER_REQUESTS {
                self.directory.starts.record_send(self.now, &load.target);
            }
            self.duty.call_started();
            self.effects.push(Effect::OrderLoad(load, address, permit));
        }
    }

    /// Returns the models that have jobs whose texts must come from a single version.
    fn single_version_models(&self, table: &RouteTable) -> BTreeSet<ModelName> {
        let single = |head: &&Head| {
            let route = JobRoute::find(table, head);
            route.is_some_and(|route| route.settings.single)
        };
        let heads = self.jobs.values().map(|job| &job.head);
        let models = heads.filter(single).filter_map(|head| head.model.clone());
        models.collect()
    }

    pub(in crate::decision::gateway) fn order_ended(&mut self, target: &TargetName, end: OrderEnd) {
        self.duty.call_ended();
        self.weights.order_ended(self.now, target, end);
        if end == OrderEnd::Fenced {
            self.record_fenced();
        }
        self.log(
            Event::OrderEnded,
            vec![("target", target.to_string()), ("end", format!("{end:?}"))],
        );
    }
}

/// Returns the time for which a process does not claim the duty after its start or its last tenure.
fn reclaim_wait(settings: &GatewaySettings) -> Duration {
    match settings.fence_checked {
        true => Duration::ZERO,
        false => settings.lease.length * RECLAIM_WAIT_PERCENT / 100,
    }
}

/// Change of the lease tenure of this process.
enum TenureChange {
    Same,
    Gained,
    Lost,
}

fn claimed(claim: Claim) -> (Option<State>, TenureChange) {
    match claim {
        Claim::Vacant(lease) => (Some(State::Vacant(lease)), TenureChange::Same),
        Claim::Held(lease) => (Some(State::Held(lease)), TenureChange::Gained),
    }
}

fn kept(tenure: Tenure) -> (Option<State>, TenureChange) {
    match tenure {
        Tenure::Held(lease) => (Some(State::Held(lease)), TenureChange::Same),
        Tenure::Lapsed(lease) => (Some(State::Vacant(lease.rejoin())), TenureChange::Lost),
    }
}

fn as_read(answer: Result<Answer, ObjectError>) -> LeaseRead {
    match answer? {
        Answer::Found(Some((revision, Record::Lease(record)))) => Ok(Some((revision, record))),
        Answer::Found(None) => Ok(None),
        other => Err(ObjectError::Invalid(format!("not a lease: {other:?}"))),
    }
}

fn as_write(
    answer: Result<Answer, ObjectError>,
) -> Result<crate::domain::ids::Revision, ObjectError> {
    match answer? {
        Answer::Written(revision) => Ok(revision),
        Answer::Found(_) => Err(ObjectError::Invalid("not the answer to a write".to_owned())),
    }
}

//! The duty of one process at a time: orders to targets and usage reports, under one lease.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::Identity;
use crate::decision::gateway::jobs::find_route;
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
use crate::domain::ids::Incarnation;
use crate::domain::name::DutyName;
use crate::domain::name::ModelName;
use crate::domain::name::TargetName;
use crate::port::object::Expect;
use crate::port::object::ObjectError;

/// Name of the duty.
const DUTY: &str = "fleet";

/// Time that must be left of the lease when an order or report is sent, for the way there.
pub(super) const WAY: Duration = Duration::from_millis(300);

/// The lease of the duty as this process sees it.
#[derive(Debug)]
pub(super) struct Duty {
    side: Option<Side>,
    /// The call that waits for its answer.
    asked: Asked,
    /// A newer holder was seen, so the tenure ends.
    fenced: bool,
}

#[derive(Debug)]
enum Side {
    Vacant(Lease<Vacant>),
    Held(Lease<Held>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Nothing,
    Read,
    Write,
}

impl Duty {
    pub(super) fn new(me: &Identity) -> Self {
        let duty = DutyName::from(DUTY);
        let lease = Lease::challenge_under(duty, me.peer.incarnation, me.lease);
        Self {
            side: Some(Side::Vacant(lease)),
            asked: Asked::Nothing,
            fenced: false,
        }
    }

    /// Notes that a run of a process has certainly ended.
    pub(super) fn note_ended(&mut self, incarnation: Incarnation) {
        if let Some(Side::Vacant(lease)) = &mut self.side {
            lease.note_ended(incarnation);
        }
    }

    pub(super) fn is_free(&self) -> bool {
        !matches!(self.side, Some(Side::Held(_)))
    }

    fn permit(&self) -> Option<Permit> {
        match &self.side {
            Some(Side::Held(lease)) if !self.fenced => Some(lease.permit()),
            _ => None,
        }
    }
}

impl Gateway {
    /// Returns the permission to act for the duty, if it lasts long enough for a call.
    pub(super) fn permit(&self) -> Option<Permit> {
        let permit = self.duty.permit()?;
        permit.allows(self.now + WAY).then_some(permit)
    }

    pub(super) fn tick_duty(&mut self) {
        self.step_lease();
        self.tick_weights();
        self.tick_reports();
        self.tick_retire();
    }

    fn step_lease(&mut self) {
        let now = self.now;
        match self.duty.side.take() {
            Some(Side::Vacant(mut lease)) => {
                if !self.draining && self.challenges() && self.duty.asked == Asked::Nothing {
                    match lease.next(now) {
                        VacantStep::Read(_) => self.read_lease(),
                        VacantStep::Acquire(write) => self.write_lease(write),
                        VacantStep::Wait(_) => {}
                    }
                }
                self.duty.side = Some(Side::Vacant(lease));
            }
            Some(Side::Held(lease)) if self.duty.fenced => {
                let lapsed = lease.lapse();
                self.duty.side = Some(Side::Vacant(lapsed.rejoin()));
                self.lost_duty("fenced");
            }
            Some(Side::Held(lease)) if self.draining && self.duty.asked == Asked::Nothing => {
                let (lapsed, write) = lease.release();
                self.duty.side = Some(Side::Vacant(lapsed.rejoin()));
                self.write_lease(write);
                self.log(Event::DutyReleased, vec![("duty", DUTY.to_owned())]);
            }
            Some(Side::Held(mut lease)) => {
                let step = lease.next(now);
                if step == HeldStep::Lapse {
                    self.duty.side = Some(Side::Vacant(lease.lapse().rejoin()));
                    self.lost_duty("lapsed");
                    return;
                }
                self.duty.side = Some(Side::Held(lease));
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
        self.duty.asked = Asked::Read;
        self.call_store(
            Purpose::Lease,
            StoreCall::Get(Kind::Leases, Arc::from(DUTY)),
        );
    }

    fn write_lease(&mut self, write: LeaseWrite) {
        self.duty.asked = Asked::Write;
        let name = Arc::from(DUTY);
        let record = Record::Lease(write.record);
        let call = match write.expect {
            Expect::Absent => StoreCall::Create(Kind::Leases, name, record),
            Expect::At(revision) => StoreCall::Update(Kind::Leases, name, record, revision),
        };
        self.call_store(Purpose::Lease, call);
    }

    /// Takes in the answer to a read or write of the lease.
    pub(super) fn lease_answered(&mut self, answer: Result<Answer, ObjectError>) {
        let now = self.now;
        let asked = std::mem::replace(&mut self.duty.asked, Asked::Nothing);
        let side = match (self.duty.side.take(), asked) {
            (Some(Side::Vacant(lease)), Asked::Read) => {
                claimed(lease.observed(now, as_read(answer)))
            }
            (Some(Side::Vacant(lease)), Asked::Write) => {
                claimed(lease.answered(now, &as_write(answer)))
            }
            (Some(Side::Held(lease)), Asked::Read) => kept(lease.observed(now, as_read(answer))),
            (Some(Side::Held(lease)), Asked::Write) => kept(lease.answered(now, &as_write(answer))),
            (side, Asked::Nothing) => (side, Turn::Same),
            (None, _) => (None, Turn::Same),
        };
        let (side, turn) = side;
        self.duty.side = side;
        match turn {
            Turn::Same => {}
            Turn::Gained => self.gained_duty(),
            Turn::Lost => self.lost_duty("lapsed"),
        }
    }

    fn gained_duty(&mut self) {
        let fence = self.duty.permit().map_or(0, |p| p.fence.0);
        self.duty.fenced = false;
        self.weights.reset();
        self.reset_reports();
        self.reset_retire();
        self.log(
            Event::DutyAcquired,
            vec![("duty", DUTY.to_owned()), ("fence", fence.to_string())],
        );
        self.tick_weights();
    }

    fn lost_duty(&mut self, reason: &str) {
        self.duty.fenced = false;
        self.weights.reset();
        self.log(
            Event::DutyLost,
            vec![("duty", DUTY.to_owned()), ("reason", reason.to_owned())],
        );
    }

    /// Notes that a newer holder was seen. The tenure ends with the next tick.
    pub(super) fn note_fenced(&mut self) {
        self.duty.fenced = matches!(self.duty.side, Some(Side::Held(_)));
    }

    /// Sends orders to load weights.
    pub(super) fn tick_weights(&mut self) {
        let Some(permit) = self.permit() else {
            return;
        };
        let fixed = self.fixed_models();
        let mut replicas = Vec::new();
        for target in self.directory.listed().filter(|t| !t.leaving) {
            for (model, version) in &target.models {
                replicas.push(Replica {
                    target: target.name.clone(),
                    model: model.clone(),
                    version: *version,
                    busy: self.directory.busy(&target.name),
                    fixed: fixed.contains(model),
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
            self.effects.push(Effect::Order(load, address, permit));
        }
    }

    /// Returns the models whose texts must come from one version.
    fn fixed_models(&self) -> BTreeSet<ModelName> {
        let Some(table) = &self.table else {
            return BTreeSet::new();
        };
        let single = |head: &&Head| {
            let route = find_route(table, head);
            route.is_some_and(|route| route.is_single())
        };
        let heads = self.jobs.values().map(|job| &job.head);
        let models = heads.filter(single).filter_map(|head| head.model.clone());
        models.collect()
    }

    pub(super) fn ordered(&mut self, target: &TargetName, end: OrderEnd) {
        self.weights.ended(self.now, target, end);
        if end == OrderEnd::Fenced {
            self.note_fenced();
        }
        self.log(
            Event::OrderEnded,
            vec![("target", target.to_string()), ("end", format!("{end:?}"))],
        );
    }
}

/// Change of the holder.
enum Turn {
    Same,
    Gained,
    Lost,
}

fn claimed(claim: Claim) -> (Option<Side>, Turn) {
    match claim {
        Claim::Vacant(lease) => (Some(Side::Vacant(lease)), Turn::Same),
        Claim::Held(lease) => (Some(Side::Held(lease)), Turn::Gained),
    }
}

fn kept(tenure: Tenure) -> (Option<Side>, Turn) {
    match tenure {
        Tenure::Held(lease) => (Some(Side::Held(lease)), Turn::Same),
        Tenure::Lapsed(lease) => (Some(Side::Vacant(lease.rejoin())), Turn::Lost),
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

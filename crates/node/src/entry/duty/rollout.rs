//! Weight roll-out, as part of the duty `orders/{data centre}`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_adapters::event::emit;
use sardinepath_adapters::runtime::Task;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::decision::order::TAKEOVER_DELAY;
use sardinepath_core::decision::rollout::Replica;
use sardinepath_core::decision::rollout::Rollout;
use sardinepath_core::decision::rollout::RolloutStep;
use sardinepath_core::domain::declare::PoolSpec;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::PoolId;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::order::AgentAction;
use sardinepath_core::domain::order::AgentOrder;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::domain::time::Time;

use crate::entry::duty::DutyMessage;
use crate::entry::duty::context::Context;

/// Interval at which the latest version of each model is read from the weight store. A version must
/// reach all replicas within 32 s of its publication.
const VERSION_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum interval between the starts of two loads of a pool. With 425 replicas in a data centre,
/// all loads start within 22 s.
const LOAD_INTERVAL: Duration = Duration::from_millis(50);

/// Age from which a report is ignored. Without this limit, a lost replica would count as one that
/// loads weights, and block the roll-out to a small pool permanently.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Result of an order to load a weight version.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Fencing token of the order.
    pub fence: Fence,
    /// Pool of the target.
    pub pool: PoolId,
    /// Target that got the order.
    pub target: TargetName,
    /// The weight version.
    pub version: WeightVersion,
    /// Success, or the kind of the error.
    pub result: Result<(), ErrorKind>,
}

/// The weight roll-outs of one data centre.
pub(super) struct RolloutDuty {
    centre: CentreName,
    /// Last report of each target, with the time at which it was received.
    reports: BTreeMap<TargetName, (Time, Report)>,
    tenure: Option<Tenure>,
}

struct Tenure {
    fence: Fence,
    /// Time from which no order of a former holder can be under way.
    orders_from: Time,
    models: BTreeMap<ModelName, Latest>,
    /// Roll-outs, each with the minimum number of serving targets that it keeps.
    pools: BTreeMap<PoolId, (usize, Rollout)>,
    /// Pools whose blocked roll-out at the floor has been logged.
    at_floor: BTreeSet<PoolId>,
    /// Orders under way. Dropping a task abandons its order.
    loads: BTreeMap<TargetName, Task>,
}

#[derive(Default)]
struct Latest {
    version: Option<WeightVersion>,
    due: Time,
    pending: bool,
}

impl RolloutDuty {
    /// Creates the state of an entry that does not hold the lease.
    pub(super) fn new(centre: CentreName) -> Self {
        Self {
            centre,
            reports: BTreeMap::new(),
            tenure: None,
        }
    }

    /// Records the report of a target.
    pub(super) fn add_report(&mut self, now: Time, report: &Report) {
        let target = report.target.clone();
        self.reports.insert(target, (now, report.clone()));
    }

    pub(super) fn acquire(&mut self, now: Time, fence: Fence) {
        self.tenure = Some(Tenure {
            fence,
            orders_from: now + TAKEOVER_DELAY,
            models: BTreeMap::new(),
            pools: BTreeMap::new(),
            at_floor: BTreeSet::new(),
            loads: BTreeMap::new(),
        });
    }

    /// Ends the tenure. Orders that have not been sent yet are abandoned.
    pub(super) fn lose(&mut self) {
        self.tenure = None;
    }

    /// Makes the calls and orders that are due.
    pub(super) fn tick(
        &mut self,
        now: Time,
        config: &Config,
        context: &mut Context,
        permit: Permit,
    ) {
        let held = self.tenure.as_mut().filter(|t| t.fence == permit.fence);
        let Some(tenure) = held.filter(|tenure| now >= tenure.orders_from) else {
            return;
        };
        for (team, state) in config.teams() {
            let pools = state.tree.iter().flat_map(|tree| &tree.pools);
            for (name, pool) in pools {
                let Some(model) = &pool.model else {
                    continue;
                };
                let id = PoolId {
                    team: team.clone(),
                    name: name.clone(),
                };
                let replicas = replicas(now, pool, &self.centre, &self.reports);
                tenure.poll(now, model, context);
                tenure.advance(now, id, pool, &replicas, context, permit);
            }
        }
    }

    /// Records the latest version of a model. A failed read is logged.
    pub(super) fn set_latest(
        &mut self,
        fence: Fence,
        model: &ModelName,
        answer: Result<WeightVersion, String>,
    ) {
        let held = self.tenure.as_mut().filter(|t| t.fence == fence);
        let Some(latest) = held.and_then(|t| t.models.get_mut(model)) else {
            return;
        };
        latest.pending = false;
        match answer {
            Ok(version) => latest.version = latest.version.max(Some(version)),
            Err(e) => emit(Event::WeightsUnknown, &[("model", model), ("error", &e)]),
        }
    }

    /// Handles the result of an order.
    pub(super) fn loaded(&mut self, now: Time, loaded: &LoadResult, context: &Context) {
        let held = self.tenure.as_mut().filter(|t| t.fence == loaded.fence);
        let Some(tenure) = held else {
            return;
        };
        tenure.loads.remove(&loaded.target);
        let target: (&str, &dyn std::fmt::Display) = ("target", &loaded.target);
        let version: (&str, &dyn std::fmt::Display) = ("version", &loaded.version);
        match &loaded.result {
            Ok(()) => {
                context.metrics.count_order("load");
                emit(Event::Loaded, &[target, version]);
            }
            Err(kind) => {
                emit(Event::LoadFailed, &[target, version, ("error", kind)]);
                if let Some((_, rollout)) = tenure.pools.get_mut(&loaded.pool) {
                    rollout.failed(now, &loaded.target);
                }
            }
        }
    }
}

impl Tenure {
    /// Queues the read of the latest version of a model, if it is due.
    fn poll(&mut self, now: Time, model: &ModelName, context: &mut Context) {
        let latest = self.models.entry(model.clone()).or_default();
        if latest.pending || now < latest.due {
            return;
        }
        latest.due = now + VERSION_POLL_INTERVAL;
        let fence = self.fence;
        let asked = model.clone();
        let started = context.call(move |ports| {
            let answer = ports.latest(&asked);
            DutyMessage::Latest(fence, asked, answer)
        });
        latest.pending = started.is_ok();
    }

    /// Sends the orders that are due for a pool.
    fn advance(
        &mut self,
        now: Time,
        id: PoolId,
        pool: &PoolSpec,
        replicas: &[Replica],
        context: &Context,
        permit: Permit,
    ) {
        let latest = pool.model.as_ref().and_then(|m| self.models.get(m));
        let Some(version) = latest.and_then(|latest| latest.version) else {
            return;
        };
        let floor = usize::try_from(pool.floor).unwrap_or(usize::MAX);
        let fresh = || (floor, Rollout::new(version, floor, LOAD_INTERVAL));
        let entry = self.pools.entry(id.clone()).or_insert_with(fresh);
        if entry.0 != floor {
            *entry = fresh();
        }
        entry.1.publish(version);
        loop {
            let rollout = self.pools.get_mut(&id).map(|(_, rollout)| rollout);
            match rollout.map(|rollout| rollout.next(now, replicas)) {
                Some(RolloutStep::Load(target, version)) => {
                    self.load(&id, pool, target, version, context, permit);
                }
                Some(RolloutStep::AtFloor) => {
                    if self.at_floor.insert(id.clone()) {
                        emit(Event::RolloutAtFloor, &[("pool", &id)]);
                    }
                    return;
                }
                Some(RolloutStep::Done) => {
                    self.at_floor.remove(&id);
                    return;
                }
                Some(RolloutStep::Wait(_)) | None => return,
            }
        }
    }

    /// Orders a target to load a version.
    fn load(
        &mut self,
        pool: &PoolId,
        spec: &PoolSpec,
        target: TargetName,
        version: WeightVersion,
        context: &Context,
        permit: Permit,
    ) {
        let Some((place, model)) = spec.targets.get(&target).zip(spec.model.clone()) else {
            return;
        };
        let order = AgentOrder {
            fence: self.fence,
            intent: Arc::from(format!("{target}-{}-load-{version}", self.fence.0)),
            action: AgentAction::Load { model, version },
        };
        let loaded = LoadResult {
            fence: self.fence,
            pool: pool.clone(),
            target: target.clone(),
            version,
            result: Ok(()),
        };
        let task = send_order(context, place.agent, order, loaded, permit);
        self.loads.insert(target, task);
    }
}

/// Sends an order to an agent. A look-up first opens the connection, so that the check of the
/// permit is the last step before the write.
fn send_order(
    context: &Context,
    agent: SocketAddr,
    order: AgentOrder,
    loaded: LoadResult,
    permit: Permit,
) -> Task {
    let peers = context.peers.clone();
    let clock = context.ports.clock.clone();
    let control = context.control.clone();
    context.spawner.spawn(async move {
        let result = match peers.lookup(agent, RequestId(0)).await {
            Err(failure) => Err(failure.kind),
            Ok(_) if !permit.allows(clock.now()) => Err(ErrorKind::Fenced),
            Ok(_) => match peers.order(agent, &order).await {
                Ok(answer) => answer.result,
                Err(failure) => Err(failure.kind),
            },
        };
        let loaded = LoadResult { result, ..loaded };
        // A closed queue means that the process stops.
        let _ = control.send_async(DutyMessage::Loaded(loaded)).await;
    })
}

/// Returns the replicas of a pool in the data centre with a recent report.
fn replicas(
    now: Time,
    pool: &PoolSpec,
    centre: &CentreName,
    reports: &BTreeMap<TargetName, (Time, Report)>,
) -> Vec<Replica> {
    let own = pool.targets.iter().filter(|(_, t)| t.centre == *centre);
    let reported = own.filter_map(|(name, _)| reports.get(name));
    let fresh = reported.filter(|(at, _)| now.since(*at) < MAX_REPORT_AGE);
    fresh
        .map(|(_, report)| Replica {
            target: report.target.clone(),
            version: report.version,
            serving: report.state == ServingState::Serving,
        })
        .collect()
}

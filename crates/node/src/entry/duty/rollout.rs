//! Weight roll-out, a part of the duty `orders/{data centre}`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_adapters::event::emit;
use sardinepath_adapters::runtime::Task;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::decision::order::WAIT;
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

/// Interval at which the weight store is asked for the latest version of each model. A version
/// must reach all replicas within 32 s of its publication.
const POLL: Duration = Duration::from_secs(2);

/// Time between two loads of a pool. With 425 replicas in a data centre, all loads begin within
/// 22 s.
const PACE: Duration = Duration::from_millis(50);

/// Age at which a report counts no more. Without this limit, a dead replica would count as one
/// that swaps, and hold up the roll-out to a small pool for ever.
const REPORT_LIMIT: Duration = Duration::from_secs(5);

/// Result of an order to load a version.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// Fencing token of the order.
    pub fence: Fence,
    /// Pool of the target.
    pub pool: PoolId,
    /// The target.
    pub target: TargetName,
    /// The version.
    pub version: WeightVersion,
    /// Success, or why the load failed.
    pub result: Result<(), ErrorKind>,
}

/// The roll-outs of one data centre.
pub(super) struct RolloutDuty {
    centre: CentreName,
    reports: BTreeMap<TargetName, (Time, Report)>,
    tenure: Option<Tenure>,
}

struct Tenure {
    fence: Fence,
    /// Time from which orders of a former holder cannot be under way any more.
    from: Time,
    models: BTreeMap<ModelName, Latest>,
    /// Roll-outs, with the floors that they keep.
    pools: BTreeMap<PoolId, (usize, Rollout)>,
    /// Pools of which operators were told that they are at their floor.
    stuck: BTreeSet<PoolId>,
    /// Orders under way. They are abandoned when dropped.
    loads: BTreeMap<TargetName, Task>,
}

#[derive(Default)]
struct Latest {
    version: Option<WeightVersion>,
    due: Time,
    pending: bool,
}

impl RolloutDuty {
    /// Starts without the lease.
    pub(super) fn new(centre: CentreName) -> Self {
        Self {
            centre,
            reports: BTreeMap::new(),
            tenure: None,
        }
    }

    /// Keeps the last report of each target.
    pub(super) fn report(&mut self, now: Time, report: &Report) {
        let target = report.target.clone();
        self.reports.insert(target, (now, report.clone()));
    }

    pub(super) fn acquire(&mut self, now: Time, fence: Fence) {
        self.tenure = Some(Tenure {
            fence,
            from: now + WAIT,
            models: BTreeMap::new(),
            pools: BTreeMap::new(),
            stuck: BTreeSet::new(),
            loads: BTreeMap::new(),
        });
    }

    /// Ends the tenure. Orders that were not written yet are abandoned.
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
        let Some(tenure) = held.filter(|tenure| now >= tenure.from) else {
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

    /// Takes in the latest version of a model.
    pub(super) fn latest(
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

    /// Takes in the result of an order.
    pub(super) fn loaded(&mut self, now: Time, loaded: &Loaded, context: &Context) {
        let held = self.tenure.as_mut().filter(|t| t.fence == loaded.fence);
        let Some(tenure) = held else {
            return;
        };
        tenure.loads.remove(&loaded.target);
        let target: (&str, &dyn std::fmt::Display) = ("target", &loaded.target);
        let version: (&str, &dyn std::fmt::Display) = ("version", &loaded.version);
        match &loaded.result {
            Ok(()) => {
                context.metrics.order("load");
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
    /// Asks the weight store for the latest version of a model, if that is due.
    fn poll(&mut self, now: Time, model: &ModelName, context: &mut Context) {
        let latest = self.models.entry(model.clone()).or_default();
        if latest.pending || now < latest.due {
            return;
        }
        latest.due = now + POLL;
        let fence = self.fence;
        let asked = model.clone();
        let started = context.call(move |ports| {
            let answer = ports.latest(&asked);
            DutyMessage::Latest(fence, asked, answer)
        });
        latest.pending = started.is_ok();
    }

    /// Orders the loads of a pool that are due.
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
        let fresh = || (floor, Rollout::new(version, floor, PACE));
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
                    if self.stuck.insert(id.clone()) {
                        emit(Event::RolloutAtFloor, &[("pool", &id)]);
                    }
                    return;
                }
                Some(RolloutStep::Done) => {
                    self.stuck.remove(&id);
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
        let loaded = Loaded {
            fence: self.fence,
            pool: pool.clone(),
            target: target.clone(),
            version,
            result: Ok(()),
        };
        let task = send(context, place.agent, order, loaded, permit);
        self.loads.insert(target, task);
    }
}

/// Sends an order to an agent. A look-up opens the connection first, so that the check of the
/// permit is the last step before the write.
fn send(
    context: &Context,
    agent: SocketAddr,
    order: AgentOrder,
    loaded: Loaded,
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
        let loaded = Loaded { result, ..loaded };
        // A closed queue means that the process stops.
        let _ = control.send_async(DutyMessage::Loaded(loaded)).await;
    })
}

/// Returns the replicas of a pool in the data centre that have reported lately.
fn replicas(
    now: Time,
    pool: &PoolSpec,
    centre: &CentreName,
    reports: &BTreeMap<TargetName, (Time, Report)>,
) -> Vec<Replica> {
    let own = pool.targets.iter().filter(|(_, t)| t.centre == *centre);
    let reported = own.filter_map(|(name, _)| reports.get(name));
    let fresh = reported.filter(|(at, _)| now.since(*at) < REPORT_LIMIT);
    fresh
        .map(|(_, report)| Replica {
            target: report.target.clone(),
            version: report.version,
            serving: report.state == ServingState::Serving,
        })
        .collect()
}

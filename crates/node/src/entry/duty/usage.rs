//! Usage duties: the counters that this entry keeps, their collection, and the held shards.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use sardinepath_adapters::rpc::client::RpcClient;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::decision::usage::Tally;
use sardinepath_core::decision::usage::WindowClock;
use sardinepath_core::decision::usage::WindowRecord;
use sardinepath_core::decision::usage::shard;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;

use crate::entry::duty::DutyMessage;
use crate::entry::duty::chain::Chain;
use crate::entry::duty::chain::Lane;
use crate::entry::duty::chain::UsageAnswer;
use crate::entry::duty::chain::UsageCall;
use crate::entry::duty::context::Context;
use crate::entry::duty::context::Ports;

/// Interval at which counters are collected. Usage is lost only if an agent and all entries that
/// have its counters fail within one interval.
const COLLECT_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of processes that are asked for their counters at once.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Identifies a call about the usage windows of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageCallId {
    /// Fencing token of the tenure. Results of calls of an ended tenure are ignored.
    pub fence: Fence,
    /// Workspace of the windows.
    pub workspace: WorkspaceId,
    /// Kind of the call.
    pub lane: Lane,
}

/// State of the usage duties.
pub(super) struct UsageDuty {
    tally: Tally,
    clock: WindowClock,
    /// Length of a window.
    length: Duration,
    /// Number of the current window.
    current: u64,
    entries: Vec<SocketAddr>,
    shards: BTreeMap<u64, Shard>,
    collection: Collection,
}

/// A shard whose lease this process holds.
struct Shard {
    fence: Fence,
    chains: BTreeMap<WorkspaceId, Chain>,
}

#[derive(Default)]
struct Collection {
    /// Start of the last collection, with the number of the window at that time.
    started: Option<(Time, u64)>,
    pending: bool,
    /// Number of the window in which the last finished collection was started.
    finished: Option<u64>,
}

impl UsageDuty {
    /// Creates the state of an entry without counters and without held shards.
    pub(super) fn new(context: &Context, length: Duration) -> Self {
        let clock = &context.ports.clock;
        Self {
            tally: Tally::default(),
            clock: WindowClock::new(clock.now(), clock.wall_time()),
            length,
            current: clock.wall_time().window(length),
            entries: Vec::new(),
            shards: BTreeMap::new(),
            collection: Collection::default(),
        }
    }

    pub(super) fn set_entries(&mut self, entries: Vec<SocketAddr>) {
        self.entries = entries;
    }

    /// Adds a counter as a second copy beside that of its agent.
    pub(super) fn add_counter(&mut self, counter: &Counter) {
        self.tally.merge(counter);
    }

    pub(super) fn counters(&self) -> Vec<Counter> {
        self.tally.all()
    }

    pub(super) fn acquire(&mut self, shard: u64, fence: Fence) {
        let chains = BTreeMap::new();
        self.shards.insert(shard, Shard { fence, chains });
    }

    pub(super) fn lose(&mut self, shard: u64) {
        self.shards.remove(&shard);
    }

    /// Makes the calls that are due. `permits` returns the permit of a shard, or none if it is not
    /// held.
    pub(super) fn tick(
        &mut self,
        now: Time,
        config: &Config,
        context: &mut Context,
        permits: impl Fn(u64) -> Option<Permit>,
    ) {
        let wall = self.clock.read(now, context.ports.clock.wall_time());
        self.current = wall.window(self.length);
        if self.shards.is_empty() {
            return;
        }
        self.add_workspaces(config);
        self.collect(now, config, context);
        let fresh = self.collection.finished == Some(self.current);
        for (number, shard) in &mut self.shards {
            let Some(permit) = permits(*number).filter(|p| p.fence == shard.fence) else {
                continue;
            };
            for (workspace, chain) in &mut shard.chains {
                let collected =
                    (fresh && chain.is_due(self.current)).then(|| self.tally.counters(workspace));
                let id = |lane| UsageCallId {
                    fence: shard.fence,
                    workspace: workspace.clone(),
                    lane,
                };
                if let Some(call) = chain.next_freeze(now, self.current, collected.as_ref()) {
                    start_call(now, chain, id(Lane::Freeze), call, context);
                }
                if let Some(call) = chain.next_report(now, permit) {
                    start_call(now, chain, id(Lane::Report), call, context);
                }
            }
        }
    }

    /// Handles the result of a call.
    pub(super) fn answer(&mut self, now: Time, id: &UsageCallId, answer: UsageAnswer) {
        let held = self.shards.get_mut(&shard(&id.workspace));
        let Some(shard) = held.filter(|shard| shard.fence == id.fence) else {
            return;
        };
        let Some(chain) = shard.chains.get_mut(&id.workspace) else {
            return;
        };
        if let Some(covered) = chain.answer(now, id.lane, answer) {
            self.tally.prune(&id.workspace, &covered);
        }
    }

    /// Adds the collected counters of other processes and ends the collection.
    pub(super) fn add_collected(&mut self, counters: &[Counter]) {
        for counter in counters {
            self.tally.merge(counter);
        }
        self.collection.pending = false;
        self.collection.finished = self.collection.started.map(|(_, window)| window);
    }

    /// Returns the numbers of open and of unreported windows, and the age of the oldest unreported
    /// one.
    pub(super) fn backlog(&self) -> (usize, usize, Duration) {
        let chains = || self.shards.values().flat_map(|shard| shard.chains.values());
        let unreported = chains().map(Chain::unreported_count).sum();
        let oldest = chains().filter_map(Chain::oldest_unreported).min();
        let windows = oldest.map_or(0, |window| self.current.saturating_sub(window + 1));
        let windows = u32::try_from(windows).unwrap_or(u32::MAX);
        (
            chains().count(),
            unreported,
            self.length.saturating_mul(windows),
        )
    }

    /// Starts chains for the new workspaces of the held shards.
    fn add_workspaces(&mut self, config: &Config) {
        for (team, state) in config.teams() {
            let names = state.tree.iter().flat_map(|tree| tree.workspaces.keys());
            for name in names {
                let (team, name) = (team.clone(), name.clone());
                self.add_workspace(WorkspaceId { team, name });
            }
        }
        // A workspace that was removed can still have unreported usage.
        for counter in self.tally.all() {
            self.add_workspace(counter.workspace);
        }
    }

    fn add_workspace(&mut self, workspace: WorkspaceId) {
        if let Some(shard) = self.shards.get_mut(&shard(&workspace)) {
            let chains = &mut shard.chains;
            if !chains.contains_key(&workspace) {
                chains.insert(workspace.clone(), Chain::new(workspace));
            }
        }
    }

    /// Starts to collect the counters of the other entries and all agents, at each interval and
    /// after the end of a window.
    fn collect(&mut self, now: Time, config: &Config, context: &Context) {
        let chains = || self.shards.values().flat_map(|shard| shard.chains.values());
        let due = chains().any(|chain| chain.is_due(self.current));
        let wanted = match self.collection.started {
            None => true,
            Some((at, window)) => now >= at + COLLECT_INTERVAL || (due && window != self.current),
        };
        if self.collection.pending || !wanted {
            return;
        }
        self.collection.pending = true;
        self.collection.started = Some((now, self.current));
        let entries = self.entries.clone();
        let agents = agent_addresses(config);
        let peers = context.peers.clone();
        let control = context.control.clone();
        let collect = async move {
            let counters = fetch_counters(&peers, entries, agents).await;
            // A closed queue means that the process stops.
            let message = DutyMessage::Collected(counters);
            let _ = control.send_async(message).await;
        };
        context.spawner.spawn(collect).detach();
    }
}

/// Makes a call to the platform. Blocks, so it must run on a platform thread.
fn call_platform(ports: &Ports, call: UsageCall) -> UsageAnswer {
    let objects = &ports.objects;
    match call {
        UsageCall::List(prefix) => {
            let listing = objects.list(&prefix);
            let records = listing.and_then(|l| l.objects.iter().map(decode).collect());
            UsageAnswer::Listed(records)
        }
        UsageCall::Read(path) => {
            let found = objects.get(&path);
            UsageAnswer::Read(found.and_then(|o| o.as_ref().map(decode).transpose()))
        }
        UsageCall::Write(write) => {
            let value = serde_json::to_string(&write.record)
                .map_err(|e| ObjectError::Invalid(e.to_string()));
            let written = value.and_then(|value| objects.put(&write.path, &value, write.expect));
            UsageAnswer::Written(written)
        }
        UsageCall::Report(report, permit) => UsageAnswer::Sent(ports.report(&report, permit)),
    }
}

fn decode(object: &Object) -> Result<(Revision, WindowRecord), ObjectError> {
    let record = serde_json::from_str(&object.value)
        .map_err(|e| ObjectError::Invalid(format!("{}: {e}", object.path)))?;
    Ok((object.revision, record))
}

fn start_call(
    now: Time,
    chain: &mut Chain,
    id: UsageCallId,
    call: UsageCall,
    context: &mut Context,
) {
    let lane = id.lane;
    let started = context.call(move |ports| DutyMessage::Usage(id, call_platform(ports, call)));
    if started.is_err() {
        chain.defer(now, lane);
    }
}

fn agent_addresses(config: &Config) -> Vec<SocketAddr> {
    let trees = config.teams().values().filter_map(|t| t.tree.as_deref());
    let pools = trees.flat_map(|tree| tree.pools.values());
    let targets = pools.flat_map(|pool| pool.targets.values());
    let mut agents: Vec<_> = targets.map(|target| target.agent).collect();
    agents.sort_unstable();
    agents.dedup();
    agents
}

/// Reads the counters of all given processes. Those that do not answer are left out; their usage is
/// counted in a later window.
async fn fetch_counters(
    peers: &Arc<RpcClient>,
    entries: Vec<SocketAddr>,
    agents: Vec<SocketAddr>,
) -> Vec<Counter> {
    let entries = entries.into_iter().map(|address| (address, true));
    let agents = agents.into_iter().map(|address| (address, false));
    let answers = stream::iter(entries.chain(agents)).map(|(address, is_entry)| async move {
        let answer: Result<Vec<Counter>, Failure> = match is_entry {
            true => peers.entry_counters(address).await,
            false => peers.counters(address).await,
        };
        answer.unwrap_or_default()
    });
    let answers: Vec<_> = answers
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect()
        .await;
    answers.into_iter().flatten().collect()
}

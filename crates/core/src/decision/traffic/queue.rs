//! Weighted fair queue of one pool.
//!
//! Start-time fair queueing over workspaces: a workspace's virtual time grows by the tokens it was
//! served divided by its weight, and the one with the lowest virtual time goes next. A workspace
//! that was idle starts at the queue's virtual time, so that it cannot save up service. The queue's
//! virtual time does not count what still runs: a workspace that comes back to a full pool gets
//! the next slots until it has its share of them.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::decision::traffic::TicketKey;
use crate::domain::declare::Priority;
use crate::domain::name::WorkspaceId;

/// Virtual time of one token at weight one, times the parts of a weight.
const TOKEN: u64 = 1 << 20;

/// Number of priority classes.
const CLASSES: usize = 3;

/// Requests of one workspace that wait for one pool.
#[derive(Debug, Default)]
struct Flow {
    waiting: [VecDeque<TicketKey>; CLASSES],
    time: u64,
    running: u32,
    /// Virtual time charged for what runs.
    ahead: u64,
}

/// The queue of one pool.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    flows: BTreeMap<WorkspaceId, Flow>,
    time: u64,
}

impl FairQueue {
    /// Adds a request behind those of the same workspace and class, or in front of them if it has
    /// been admitted before.
    pub(super) fn push(
        &mut self,
        workspace: &WorkspaceId,
        priority: Priority,
        key: TicketKey,
        back: bool,
    ) {
        let known = self.flows.get(workspace);
        if known.is_none_or(Flow::is_idle) {
            self.advance();
        }
        let idle = self.time;
        let flow = self.flows.entry(workspace.clone()).or_default();
        if flow.is_idle() {
            flow.time = flow.time.max(idle);
        }
        let queue = &mut flow.waiting[class(priority)];
        if back {
            queue.push_back(key);
        } else {
            queue.push_front(key);
        }
    }

    /// Returns the next request of each workspace, that of the workspace to be served next first.
    pub(super) fn heads(&self) -> Vec<TicketKey> {
        let heads = self.flows.values();
        let heads = heads.filter_map(|flow| Some((flow.time, flow.head()?)));
        let mut heads: Vec<_> = heads.collect();
        // Stable, so workspaces of equal time keep the order of their names.
        heads.sort_by_key(|(time, _)| *time);
        heads.into_iter().map(|(_, key)| key).collect()
    }

    /// Takes a waiting request out.
    pub(super) fn remove(&mut self, workspace: &WorkspaceId, key: TicketKey) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.take(key);
        }
        self.forget(workspace);
    }

    /// Notes that a request of a workspace starts, with its expected tokens.
    pub(super) fn start(&mut self, workspace: &WorkspaceId, tokens: u64, weight: u64) {
        let idle = self.time;
        let flow = self.flows.entry(workspace.clone()).or_default();
        flow.running += 1;
        // The state of a workspace may have been dropped since its request was queued.
        if flow.running == 1 {
            flow.time = flow.time.max(idle);
        }
        let cost = cost(tokens, weight);
        flow.time = flow.time.saturating_add(cost);
        flow.ahead = flow.ahead.saturating_add(cost);
    }

    /// Notes that a request ended, and corrects the charge from the expected to the served tokens.
    pub(super) fn end(&mut self, workspace: &WorkspaceId, expected: u64, served: u64, weight: u64) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.running = flow.running.saturating_sub(1);
            flow.time = flow.time.saturating_add(cost(served, weight));
            flow.time = flow.time.saturating_sub(cost(expected, weight));
            flow.ahead = flow.ahead.saturating_sub(cost(expected, weight));
            // The weight may have changed since the start.
            if flow.running == 0 {
                flow.ahead = 0;
            }
        }
        self.advance();
        self.forget(workspace);
    }

    /// Returns the number of requests of a workspace that run.
    pub(super) fn running(&self, workspace: &WorkspaceId) -> u32 {
        self.flows.get(workspace).map_or(0, |flow| flow.running)
    }

    /// Returns the requests that run or wait by workspace.
    pub(super) fn open(&self) -> BTreeMap<WorkspaceId, u32> {
        let open = |(id, flow): (&WorkspaceId, &Flow)| (id.clone(), flow.open());
        self.flows.iter().map(open).collect()
    }

    /// Returns the number of requests that run.
    pub(super) fn all_running(&self) -> u32 {
        self.flows.values().map(|flow| flow.running).sum()
    }

    /// Returns the number of requests of a workspace that wait.
    pub(super) fn waiting(&self, workspace: &WorkspaceId) -> usize {
        self.flows.get(workspace).map_or(0, Flow::len)
    }

    /// Returns all waiting requests.
    pub(super) fn keys(&self) -> Vec<TicketKey> {
        let flows = self.flows.values();
        let classes = flows.flat_map(|flow| flow.waiting.iter());
        classes.flatten().copied().collect()
    }

    /// Returns the newest request of the least urgent class that is below `priority`, taken from
    /// the workspace with the most waiting requests of that class.
    pub(super) fn sheddable(&self, priority: Priority) -> Option<TicketKey> {
        let lower = (class(priority) + 1..CLASSES).rev();
        lower.into_iter().find_map(|class| {
            let queues = self.flows.values().map(|flow| &flow.waiting[class]);
            let longest = queues.max_by_key(|queue| queue.len())?;
            longest.back().copied()
        })
    }

    /// Moves the queue's virtual time up to the lowest one of the workspaces that have requests,
    /// without what runs. When none has, all claims are settled.
    fn advance(&mut self) {
        let busy = self.flows.values().filter(|flow| !flow.is_idle());
        let lowest = busy.map(|flow| flow.time.saturating_sub(flow.ahead)).min();
        let settled = || self.flows.values().map(|flow| flow.time).max();
        let time = lowest.or_else(settled).unwrap_or(0);
        self.time = self.time.max(time);
    }

    /// Drops the state of a workspace that has no claim left to remember.
    fn forget(&mut self, workspace: &WorkspaceId) {
        let time = self.time;
        let settled = |flow: &Flow| flow.is_idle() && flow.time <= time;
        if self.flows.get(workspace).is_some_and(settled) {
            self.flows.remove(workspace);
        }
    }
}

impl Flow {
    fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Returns the request that goes next.
    fn head(&self) -> Option<TicketKey> {
        let mut classes = self.waiting.iter();
        classes.find_map(|class| class.front().copied())
    }

    /// Takes a request out. Nearly always it is the first of its class.
    fn take(&mut self, key: TicketKey) {
        for class in &mut self.waiting {
            if class.front() == Some(&key) {
                class.pop_front();
                return;
            }
        }
        for class in &mut self.waiting {
            class.retain(|other| *other != key);
        }
    }

    fn open(&self) -> u32 {
        let waiting = u32::try_from(self.len()).unwrap_or(u32::MAX);
        self.running.saturating_add(waiting)
    }

    fn is_idle(&self) -> bool {
        self.running == 0 && self.len() == 0
    }
}

/// Returns the virtual time of some tokens.
fn cost(tokens: u64, weight: u64) -> u64 {
    tokens.saturating_mul(TOKEN) / weight.max(1)
}

fn class(priority: Priority) -> usize {
    match priority {
        Priority::Training => 0,
        Priority::Interactive => 1,
        Priority::Batch => 2,
    }
}

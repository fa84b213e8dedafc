//! Weighted fair queue of one pool.
//!
//! Start-time fair queueing over workspaces: the virtual time of a workspace grows by the tokens
//! served to it divided by its weight, and the workspace with the lowest virtual time goes next. A
//! workspace that was idle starts at the queue's virtual time, so it cannot accumulate credit. The
//! queue's virtual time leaves out running requests, so a workspace that returns to a full pool
//! gets the next free slots until it has its share.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::decision::traffic::TicketKey;
use crate::domain::declare::Priority;
use crate::domain::name::WorkspaceId;

/// Virtual time of one token at a scaled weight of one, see `WEIGHT_SCALE`.
const TOKEN_TIME: u64 = 1 << 20;

/// Number of priority classes, the most urgent first.
const PRIORITY_COUNT: usize = 3;

/// Requests of one workspace for one pool.
#[derive(Debug, Default)]
struct Flow {
    waiting: [VecDeque<TicketKey>; PRIORITY_COUNT],
    virtual_time: u64,
    running: u32,
    /// Virtual time charged in advance for running requests.
    running_cost: u64,
}

/// Waiting and running requests of one pool, by workspace.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    flows: BTreeMap<WorkspaceId, Flow>,
    virtual_time: u64,
}

impl FairQueue {
    /// Adds a request to the queue of its workspace and class: to the back if `back` is `true`,
    /// else to the front, where requests wait for a further attempt.
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
        let idle = self.virtual_time;
        let flow = self.flows.entry(workspace.clone()).or_default();
        if flow.is_idle() {
            flow.virtual_time = flow.virtual_time.max(idle);
        }
        let queue = &mut flow.waiting[class(priority)];
        if back {
            queue.push_back(key);
        } else {
            queue.push_front(key);
        }
    }

    /// Returns the next request of each workspace, ordered by virtual time.
    pub(super) fn heads(&self) -> Vec<TicketKey> {
        let heads = self.flows.values();
        let heads = heads.filter_map(|flow| Some((flow.virtual_time, flow.head()?)));
        let mut heads: Vec<_> = heads.collect();
        // The sort is stable, so ties keep the order of the workspace names.
        heads.sort_by_key(|(time, _)| *time);
        heads.into_iter().map(|(_, key)| key).collect()
    }

    /// Removes a waiting request.
    pub(super) fn remove(&mut self, workspace: &WorkspaceId, key: TicketKey) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.remove(key);
        }
        self.drop_settled(workspace);
    }

    /// Charges the expected tokens of a request that starts.
    pub(super) fn start(&mut self, workspace: &WorkspaceId, tokens: u64, weight: u64) {
        let idle = self.virtual_time;
        let flow = self.flows.entry(workspace.clone()).or_default();
        flow.running += 1;
        // The state of a workspace may have been dropped since its request was queued.
        if flow.running == 1 {
            flow.virtual_time = flow.virtual_time.max(idle);
        }
        let cost = virtual_cost(tokens, weight);
        flow.virtual_time = flow.virtual_time.saturating_add(cost);
        flow.running_cost = flow.running_cost.saturating_add(cost);
    }

    /// Replaces the charge of the expected tokens by the served ones when a request ends.
    pub(super) fn end(&mut self, workspace: &WorkspaceId, expected: u64, served: u64, weight: u64) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.running = flow.running.saturating_sub(1);
            flow.virtual_time = flow
                .virtual_time
                .saturating_add(virtual_cost(served, weight));
            flow.virtual_time = flow
                .virtual_time
                .saturating_sub(virtual_cost(expected, weight));
            flow.running_cost = flow
                .running_cost
                .saturating_sub(virtual_cost(expected, weight));
            // The weight may have changed since the start.
            if flow.running == 0 {
                flow.running_cost = 0;
            }
        }
        self.advance();
        self.drop_settled(workspace);
    }

    /// Returns the number of running requests of a workspace.
    pub(super) fn running(&self, workspace: &WorkspaceId) -> u32 {
        self.flows.get(workspace).map_or(0, |flow| flow.running)
    }

    /// Returns the number of waiting and running requests of each workspace.
    pub(super) fn open(&self) -> BTreeMap<WorkspaceId, u32> {
        let open = |(id, flow): (&WorkspaceId, &Flow)| (id.clone(), flow.open());
        self.flows.iter().map(open).collect()
    }

    /// Returns the number of running requests of all workspaces.
    pub(super) fn total_running(&self) -> u32 {
        self.flows.values().map(|flow| flow.running).sum()
    }

    /// Returns the number of waiting requests of a workspace.
    pub(super) fn waiting(&self, workspace: &WorkspaceId) -> usize {
        self.flows.get(workspace).map_or(0, Flow::len)
    }

    /// Returns the keys of all waiting requests.
    pub(super) fn keys(&self) -> Vec<TicketKey> {
        let flows = self.flows.values();
        let classes = flows.flat_map(|flow| flow.waiting.iter());
        classes.flatten().copied().collect()
    }

    /// Returns the request to shed in favour of one of the given priority: the newest one of the
    /// least urgent lower class, from the workspace with the most waiting requests of that class.
    pub(super) fn shed_candidate(&self, priority: Priority) -> Option<TicketKey> {
        let lower = (class(priority) + 1..PRIORITY_COUNT).rev();
        lower.into_iter().find_map(|class| {
            let queues = self.flows.values().map(|flow| &flow.waiting[class]);
            let longest = queues.max_by_key(|queue| queue.len())?;
            longest.back().copied()
        })
    }

    /// Advances the queue's virtual time to the lowest one of the busy workspaces, not counting
    /// running requests. If no workspace is busy, it advances to the highest one of all.
    fn advance(&mut self) {
        let busy = self.flows.values().filter(|flow| !flow.is_idle());
        let lowest = busy
            .map(|flow| flow.virtual_time.saturating_sub(flow.running_cost))
            .min();
        let settled = || self.flows.values().map(|flow| flow.virtual_time).max();
        let time = lowest.or_else(settled).unwrap_or(0);
        self.virtual_time = self.virtual_time.max(time);
    }

    /// Drops the state of an idle workspace that the queue's virtual time has caught up with.
    fn drop_settled(&mut self, workspace: &WorkspaceId) {
        let time = self.virtual_time;
        let settled = |flow: &Flow| flow.is_idle() && flow.virtual_time <= time;
        if self.flows.get(workspace).is_some_and(settled) {
            self.flows.remove(workspace);
        }
    }
}

impl Flow {
    /// Returns the number of waiting requests.
    fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Returns the oldest request of the most urgent class.
    fn head(&self) -> Option<TicketKey> {
        let mut classes = self.waiting.iter();
        classes.find_map(|class| class.front().copied())
    }

    /// Removes a request, which is nearly always the first of its class.
    fn remove(&mut self, key: TicketKey) {
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

    /// Returns the number of waiting and running requests.
    fn open(&self) -> u32 {
        let waiting = u32::try_from(self.len()).unwrap_or(u32::MAX);
        self.running.saturating_add(waiting)
    }

    fn is_idle(&self) -> bool {
        self.running == 0 && self.len() == 0
    }
}

/// Returns the virtual time of a number of tokens at a scaled weight.
fn virtual_cost(tokens: u64, weight: u64) -> u64 {
    tokens.saturating_mul(TOKEN_TIME) / weight.max(1)
}

fn class(priority: Priority) -> usize {
    match priority {
        Priority::Training => 0,
        Priority::Interactive => 1,
        Priority::Batch => 2,
    }
}

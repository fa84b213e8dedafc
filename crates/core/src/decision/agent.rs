//! Control state of an agent: repeated requests, drain, fencing, usage counters.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::domain::call::CallEvent;
use crate::domain::call::Counter;
use crate::domain::error::ErrorKind;
use crate::domain::error::Failure;
use crate::domain::error::RunState;
use crate::domain::ids::Attempt;
use crate::domain::ids::Fence;
use crate::domain::ids::Incarnation;
use crate::domain::ids::RequestId;
use crate::domain::ids::WeightVersion;
use crate::domain::name::WorkspaceId;
use crate::domain::target::Naming;
use crate::domain::target::ServingState;
use crate::port::target::TargetEvent;

/// Ids of non-idempotent requests, and of refused ones, that an agent remembers. At 100 such requests a second this
/// covers more than ten minutes, the longest deadline of a route.
const REMEMBERED: usize = 65_536;

/// What an agent knows of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// Never seen by this incarnation. An earlier incarnation may have run it.
    Unknown,
    /// Runs now.
    Running,
    /// Has ended.
    Ended,
}

/// The weight versions of one answer, gathered while it is passed on.
#[derive(Clone, Debug, Default)]
pub struct Label {
    named: BTreeSet<WeightVersion>,
    /// True if a part did not name all of its versions.
    open: bool,
    before: Option<WeightVersion>,
}

/// What an answer says of itself, gathered over its parts.
#[derive(Clone, Debug, Default)]
pub struct Gathered {
    /// Weight versions.
    pub label: Label,
    /// Tokens.
    pub tokens: u64,
}

/// What an agent does with an event of its target.
#[derive(Debug)]
pub enum Forward {
    /// Pass this event on to the entry.
    Pass(CallEvent),
    /// The answer is whole: count it and send its end.
    Whole,
    /// The target did not start the attempt: forget it, then send this failure.
    NotRun(Failure),
    /// The attempt failed: send this failure.
    Failed(Failure),
}

/// Control state of one agent.
#[derive(Debug)]
pub struct AgentState {
    incarnation: Incarnation,
    serving: ServingState,
    running: u32,
    fence: Fence,
    seen: HashMap<RequestId, Known>,
    order: VecDeque<RequestId>,
    /// The last attempt of a request that the target did not start, by request.
    refused: HashMap<RequestId, Attempt>,
    refusals: VecDeque<RequestId>,
    counters: HashMap<WorkspaceId, u64>,
}

impl Label {
    /// Starts with the version that was read before the call, if it could be read.
    pub fn new(before: Option<WeightVersion>) -> Self {
        Self {
            named: BTreeSet::new(),
            open: false,
            before,
        }
    }

    /// Takes in what a part of the answer names.
    pub fn take(&mut self, naming: Naming) {
        match naming {
            Naming::Nothing => {}
            Naming::All(versions) => self.named.extend(versions),
            Naming::Some(versions) => {
                self.named.extend(versions);
                self.open = true;
            }
        }
    }

    /// Returns the versions that produced the answer, ascending.
    ///
    /// Where every part named its versions, the readings before and after the call add nothing: a
    /// version that was replaced before the first token produced none of it. Where a part did not,
    /// both readings are added, and the list is empty if one of them is missing, because a swap
    /// could then go unnoticed.
    pub fn versions(self, after: Option<WeightVersion>) -> Vec<WeightVersion> {
        let complete = !self.open && !self.named.is_empty();
        if complete {
            return self.named.into_iter().collect();
        }
        if self.before.is_none() || after.is_none() {
            return Vec::new();
        }
        let mut versions = self.named;
        versions.extend(self.before);
        versions.extend(after);
        versions.into_iter().collect()
    }
}

impl Gathered {
    /// Starts with the version that was read before the call, if it could be read.
    pub fn new(before: Option<WeightVersion>) -> Self {
        Self {
            label: Label::new(before),
            tokens: 0,
        }
    }

    /// Takes in an event of the target.
    pub fn take(&mut self, event: TargetEvent) -> Forward {
        match event {
            TargetEvent::Head { status, fields } => {
                Forward::Pass(CallEvent::Head { status, fields })
            }
            TargetEvent::Chunk {
                bytes,
                naming,
                tokens,
            } => {
                self.label.take(naming);
                self.tokens = tokens.unwrap_or(self.tokens);
                Forward::Pass(CallEvent::Chunk(bytes))
            }
            TargetEvent::Whole => Forward::Whole,
            TargetEvent::Failed(failure) if failure.run == RunState::NotRun => {
                Forward::NotRun(failure)
            }
            TargetEvent::Failed(failure) => Forward::Failed(failure),
        }
    }
}

impl AgentState {
    /// Creates the state of a new run of an agent.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            serving: ServingState::Serving,
            running: 0,
            fence: Fence::default(),
            seen: HashMap::new(),
            order: VecDeque::new(),
            refused: HashMap::new(),
            refusals: VecDeque::new(),
            counters: HashMap::new(),
        }
    }

    /// Returns the run of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the serving state.
    pub fn serving(&self) -> ServingState {
        self.serving
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Decides whether an attempt may start at the target.
    ///
    /// An attempt that was refused does not start later, however often its message arrives: the
    /// entry was told that it did not run.
    pub fn begin(
        &mut self,
        request: RequestId,
        attempt: Attempt,
        idempotent: bool,
    ) -> Result<(), ErrorKind> {
        if self.serving != ServingState::Serving {
            return Err(ErrorKind::TargetLeaving);
        }
        if self
            .refused
            .get(&request)
            .is_some_and(|last| attempt <= *last)
        {
            return Err(ErrorKind::Repeated);
        }
        if !idempotent {
            self.remember(request)?;
        }
        self.running += 1;
        Ok(())
    }

    /// Notes the end of an attempt that had begun. Whole answers are counted.
    pub fn end(
        &mut self,
        request: RequestId,
        workspace: &WorkspaceId,
        tokens: Option<u64>,
    ) -> Option<Counter> {
        self.running = self.running.saturating_sub(1);
        if let Some(known) = self.seen.get_mut(&request) {
            *known = Known::Ended;
        }
        let total = self.counters.entry(workspace.clone()).or_default();
        *total += tokens?;
        Some(Counter {
            incarnation: self.incarnation,
            workspace: workspace.clone(),
            tokens: *total,
        })
    }

    /// Notes that the target did not start an attempt that had begun. The id may come again as
    /// another attempt.
    pub fn refuse(&mut self, request: RequestId, attempt: Attempt) {
        self.running = self.running.saturating_sub(1);
        self.seen.remove(&request);
        // The id is among the newest.
        if let Some(at) = self.order.iter().rposition(|id| *id == request) {
            self.order.remove(at);
        }
        self.remember_refusal(request, attempt);
    }

    /// Tells what is known of a request id.
    pub fn lookup(&self, request: RequestId) -> Known {
        self.seen.get(&request).copied().unwrap_or(Known::Unknown)
    }

    /// Returns all usage counters.
    pub fn counters(&self) -> Vec<Counter> {
        let mut counters: Vec<_> = self
            .counters
            .iter()
            .map(|(workspace, tokens)| Counter {
                incarnation: self.incarnation,
                workspace: workspace.clone(),
                tokens: *tokens,
            })
            .collect();
        counters.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        counters
    }

    /// Stops new requests. Running ones finish.
    pub fn drain(&mut self) {
        self.serving = ServingState::Leaving;
    }

    /// Returns the highest fencing token seen.
    pub fn highest_fence(&self) -> Fence {
        self.fence
    }

    /// Accepts an order if its fencing token is not older than any seen before.
    pub fn fence(&mut self, fence: Fence) -> Result<(), Fence> {
        if fence < self.fence {
            return Err(self.fence);
        }
        self.fence = fence;
        Ok(())
    }

    fn remember_refusal(&mut self, request: RequestId, attempt: Attempt) {
        if self.refused.insert(request, attempt).is_some() {
            return;
        }
        if self.refusals.len() == REMEMBERED
            && let Some(oldest) = self.refusals.pop_front()
        {
            self.refused.remove(&oldest);
        }
        self.refusals.push_back(request);
    }

    /// Records a non-idempotent request id, or refuses one that was seen before.
    fn remember(&mut self, request: RequestId) -> Result<(), ErrorKind> {
        if self.seen.contains_key(&request) {
            return Err(ErrorKind::Repeated);
        }
        if self.order.len() == REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        self.order.push_back(request);
        self.seen.insert(request, Known::Running);
        Ok(())
    }
}

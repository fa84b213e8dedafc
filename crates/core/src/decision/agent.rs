//! Control state of an agent: duplicate requests, drain, fencing and usage counters.

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
use crate::domain::target::ServingState;
use crate::domain::target::StatedVersions;
use crate::port::target::TargetEvent;

/// Maximum number of ids that an agent remembers, for non-idempotent requests and for refused ones
/// each. At 100 such requests a second this covers more than ten minutes, the longest deadline of
/// a route.
const MAX_REMEMBERED_IDS: usize = 65_536;

/// State of a request id at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Not seen by this incarnation. An earlier incarnation may have run it.
    Unknown,
    /// Is running.
    Running,
    /// Has ended.
    Ended,
}

/// Weight versions of one answer, collected while its parts are forwarded.
#[derive(Clone, Debug, Default)]
pub struct AnswerVersions {
    named: BTreeSet<WeightVersion>,
    /// `true` if a part of the answer did not name all of its versions.
    incomplete: bool,
    /// Version of the target before the call, or `None` if it could not be read.
    before: Option<WeightVersion>,
}

/// Weight versions and tokens of one answer, collected while its parts are forwarded.
#[derive(Clone, Debug, Default)]
pub struct AnswerCollector {
    /// Weight versions that produced the answer.
    pub versions: AnswerVersions,
    /// Number of tokens so far, as last reported by the target.
    pub tokens: u64,
}

/// Step that an agent takes after an event of its target.
#[derive(Debug)]
pub enum ForwardStep {
    /// Forward this event to the entry.
    Pass(CallEvent),
    /// The answer is complete: count its tokens and send the end.
    Complete,
    /// The target did not start the attempt: call `refuse`, then send this failure.
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
    /// State of the non-idempotent requests, by id.
    seen: HashMap<RequestId, RequestState>,
    /// Keys of `seen`, oldest first.
    seen_order: VecDeque<RequestId>,
    /// Last attempt that the target did not start, by request.
    refused: HashMap<RequestId, Attempt>,
    /// Keys of `refused`, oldest first.
    refused_order: VecDeque<RequestId>,
    /// Total number of tokens of each workspace since the start of this incarnation.
    counters: HashMap<WorkspaceId, u64>,
}

impl AnswerVersions {
    /// Creates an empty set of versions. `before` is the target's version before the call, or
    /// `None` if it could not be read.
    pub fn new(before: Option<WeightVersion>) -> Self {
        Self {
            named: BTreeSet::new(),
            incomplete: false,
            before,
        }
    }

    /// Adds the versions that a part of the answer names.
    pub fn add(&mut self, versions: StatedVersions) {
        match versions {
            StatedVersions::Nothing => {}
            StatedVersions::All(versions) => self.named.extend(versions),
            StatedVersions::Some(versions) => {
                self.named.extend(versions);
                self.incomplete = true;
            }
        }
    }

    /// Returns the versions that produced the answer in ascending order. `after` is the target's
    /// version after the call, or `None` if it could not be read.
    ///
    /// If every part named its versions, the readings before and after the call are left out: a
    /// version that was replaced before the first token produced no part of the answer. Otherwise
    /// both readings are added, and the list is empty if one is missing, because a change of
    /// weights could go unnoticed.
    pub fn versions(self, after: Option<WeightVersion>) -> Vec<WeightVersion> {
        let complete = !self.incomplete && !self.named.is_empty();
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

impl AnswerCollector {
    /// Creates an empty summary. `before` is the target's version before the call, or `None` if it
    /// could not be read.
    pub fn new(before: Option<WeightVersion>) -> Self {
        Self {
            versions: AnswerVersions::new(before),
            tokens: 0,
        }
    }

    /// Processes an event of the target and returns the next step.
    pub fn handle_event(&mut self, event: TargetEvent) -> ForwardStep {
        match event {
            TargetEvent::Head { status, fields } => {
                ForwardStep::Pass(CallEvent::Head { status, fields })
            }
            TargetEvent::Chunk {
                bytes,
                versions,
                tokens,
            } => {
                self.versions.add(versions);
                self.tokens = tokens.unwrap_or(self.tokens);
                ForwardStep::Pass(CallEvent::Chunk(bytes))
            }
            TargetEvent::End => ForwardStep::Complete,
            TargetEvent::Failed(failure) if failure.run == RunState::NotRun => {
                ForwardStep::NotRun(failure)
            }
            TargetEvent::Failed(failure) => ForwardStep::Failed(failure),
        }
    }
}

impl AgentState {
    /// Creates the state of a new incarnation of an agent.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            serving: ServingState::Serving,
            running: 0,
            fence: Fence::default(),
            seen: HashMap::new(),
            seen_order: VecDeque::new(),
            refused: HashMap::new(),
            refused_order: VecDeque::new(),
            counters: HashMap::new(),
        }
    }

    /// Returns the incarnation, which identifies one run of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the serving state, which is `Leaving` once a drain has begun.
    pub fn serving(&self) -> ServingState {
        self.serving
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Registers an attempt that is about to start at the target, or returns why it must not start.
    ///
    /// A refused attempt does not start later, even if its message arrives again, because the entry
    /// was told that it did not run.
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
            self.record_id(request)?;
        }
        self.running += 1;
        Ok(())
    }

    /// Records the end of an attempt that had begun. `tokens` is the size of a complete answer, for
    /// which the updated usage counter is returned.
    pub fn end(
        &mut self,
        request: RequestId,
        workspace: &WorkspaceId,
        tokens: Option<u64>,
    ) -> Option<Counter> {
        self.running = self.running.saturating_sub(1);
        if let Some(known) = self.seen.get_mut(&request) {
            *known = RequestState::Ended;
        }
        let total = self.counters.entry(workspace.clone()).or_default();
        *total += tokens?;
        Some(Counter {
            incarnation: self.incarnation,
            workspace: workspace.clone(),
            tokens: *total,
        })
    }

    /// Records that the target did not start an attempt that had begun. The request may come again
    /// with a higher attempt number.
    pub fn refuse(&mut self, request: RequestId, attempt: Attempt) {
        self.running = self.running.saturating_sub(1);
        self.seen.remove(&request);
        // The search starts at the back because the id is among the newest.
        if let Some(at) = self.seen_order.iter().rposition(|id| *id == request) {
            self.seen_order.remove(at);
        }
        self.record_refusal(request, attempt);
    }

    /// Returns the state of a request id.
    pub fn lookup(&self, request: RequestId) -> RequestState {
        self.seen
            .get(&request)
            .copied()
            .unwrap_or(RequestState::Unknown)
    }

    /// Returns all usage counters, sorted by workspace.
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

    /// Refuses new attempts from now on. Running ones still finish.
    pub fn drain(&mut self) {
        self.serving = ServingState::Leaving;
    }

    /// Returns the highest accepted fencing token.
    pub fn highest_fence(&self) -> Fence {
        self.fence
    }

    /// Accepts an order unless its fencing token is lower than the highest one so far, which is
    /// returned as the error.
    pub fn fence(&mut self, fence: Fence) -> Result<(), Fence> {
        if fence < self.fence {
            return Err(self.fence);
        }
        self.fence = fence;
        Ok(())
    }

    /// Records the last refused attempt of a request.
    fn record_refusal(&mut self, request: RequestId, attempt: Attempt) {
        if self.refused.insert(request, attempt).is_some() {
            return;
        }
        if self.refused_order.len() == MAX_REMEMBERED_IDS
            && let Some(oldest) = self.refused_order.pop_front()
        {
            self.refused.remove(&oldest);
        }
        self.refused_order.push_back(request);
    }

    /// Records the id of a non-idempotent request. Fails if it was seen before.
    fn record_id(&mut self, request: RequestId) -> Result<(), ErrorKind> {
        if self.seen.contains_key(&request) {
            return Err(ErrorKind::Repeated);
        }
        if self.seen_order.len() == MAX_REMEMBERED_IDS
            && let Some(oldest) = self.seen_order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        self.seen_order.push_back(request);
        self.seen.insert(request, RequestState::Running);
        Ok(())
    }
}

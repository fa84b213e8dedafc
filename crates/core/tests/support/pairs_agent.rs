//! The steps of an agent between its decisions, and its fake target, which logs executions.

use std::collections::BTreeMap;

use sardinepath_core::decision::agent::AgentState;
use sardinepath_core::decision::agent::AnswerCollector;
use sardinepath_core::decision::agent::ForwardStep;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::StatedVersions;
use sardinepath_core::port::target::TargetEvent;

use crate::support::pairs::Execution;
use crate::support::pairs::Message;
use crate::support::pairs::Receiver;
use crate::support::pairs::Simulation;
use crate::support::pairs::StreamId;
use crate::support::pairs::agent_state;
use crate::support::pairs_fault::AttemptFault;
use crate::support::pairs_fixture;

/// Time without events after which the entry ends a stream, in milliseconds.
pub const SILENCE_TIMEOUT: u64 = 4_000;

/// Interval of reports in milliseconds.
const REPORT_INTERVAL: u64 = 1_000;

/// An agent and its target.
pub struct Agent {
    pub number: usize,
    /// Number of restarts before this incarnation.
    pub incarnation: u32,
    pub state: AgentState,
    pub runs: BTreeMap<u64, RunningAttempt>,
    /// No connection to the agent succeeds before this time.
    pub down_until: u64,
    /// No connection to the target succeeds before this time.
    pub outage_until: u64,
    /// No report leaves the agent before this time.
    pub silent_until: u64,
    /// Number of runs in this incarnation. The last run has this number.
    run_count: u64,
}

/// An attempt that runs at the target.
pub struct RunningAttempt {
    /// Stream of the entry, or `None` for the second copy of a duplicated message.
    pub stream: Option<StreamId>,
    call: Call,
    summary: AnswerCollector,
}

impl Agent {
    /// Creates an agent in its first incarnation.
    pub fn new(number: usize) -> Self {
        Self {
            number,
            incarnation: 0,
            state: agent_state(number, 0),
            runs: BTreeMap::new(),
            down_until: 0,
            outage_until: 0,
            silent_until: 0,
            run_count: 0,
        }
    }

    /// Restarts the agent without any state. It accepts no connection before the time `down_until`.
    pub fn restart(&mut self, down_until: u64) {
        self.incarnation += 1;
        self.state = agent_state(self.number, self.incarnation);
        self.runs.clear();
        self.down_until = down_until;
    }

    fn report(&self) -> Report {
        Report {
            incarnation: self.state.incarnation(),
            target: format!("t{}", self.number).into(),
            version: WeightVersion(0),
            running: self.state.running(),
            queued: 0,
            capacity: 8,
            state: self.state.serving(),
            cached: vec![],
            evicted: vec![],
            cache_gap: false,
        }
    }
}

impl Simulation {
    /// Sends an attempt to an agent, with the pending failure applied to the message.
    pub fn execute(&mut self, agent: usize, stream: StreamId, call: Call) {
        let attempt_id = (call.request, call.attempt);
        let mut after = self.latency();
        if self.now < self.agents[agent].down_until {
            let event = CallEvent::Failed(Failure::from(ErrorKind::Unreachable));
            return self.send_task(stream.0, after, Message::Event(stream, attempt_id, event));
        }
        let receiver = Receiver::Agent(agent, self.agents[agent].incarnation);
        let channel = (3, agent, self.agents[agent].incarnation);
        let message = Message::Execute(agent, stream, call);
        match self.attempt_fault.take() {
            Some(AttemptFault::Lose) => return self.lose_stream(stream, attempt_id),
            Some(AttemptFault::Delay(more)) => after += more,
            Some(AttemptFault::Duplicate(more)) => {
                let Message::Execute(_, _, call) = message.clone() else {
                    unreachable!()
                };
                let copy = Message::Execute(agent, (usize::MAX, 0), call);
                self.send(receiver, after + more, copy);
            }
            Some(AttemptFault::Cross) => self.attempt_fault = Some(AttemptFault::CrossWith(stream)),
            Some(AttemptFault::CrossWith(other)) => {
                self.crossed_streams.insert(stream, other);
                self.crossed_streams.insert(other, stream);
            }
            None => {}
        }
        self.send_in_order(receiver, channel, after, message);
    }

    /// Drops all further events of a stream. The entry ends the stream after the silence timeout.
    pub fn lose_stream(&mut self, stream: StreamId, attempt_id: (RequestId, Attempt)) {
        self.lost_streams.insert(stream);
        let event = CallEvent::Failed(Failure::from(ErrorKind::TargetSilent));
        let receiver = Receiver::Entry(self.entry.incarnation);
        self.send(
            receiver,
            SILENCE_TIMEOUT,
            Message::Event(stream, attempt_id, event),
        );
    }

    /// Handles a message to an agent or its target.
    pub fn step_agent(&mut self, message: Message) {
        match message {
            Message::Execute(agent, stream, call) => self.begin_attempt(agent, stream, call),
            Message::Cancel(agent, stream) => self.handle_cancel(agent, stream),
            Message::TargetEvent(agent, run, event) => self.handle_target_event(agent, run, event),
            Message::ReportTick(agent) => {
                self.send_report(agent);
                self.send(
                    Receiver::Environment,
                    REPORT_INTERVAL,
                    Message::ReportTick(agent),
                );
            }
            other => panic!("an agent does not handle {other:?}"),
        }
    }

    /// Sends a report to the entry, unless reports are stopped or the agent is down.
    pub fn send_report(&mut self, agent: usize) {
        let from = &self.agents[agent];
        if self.now < from.silent_until.max(from.down_until) {
            return;
        }
        let report = from.report();
        let after = self.latency();
        let channel = (5, agent, self.entry.incarnation);
        let receiver = Receiver::Entry(self.entry.incarnation);
        self.send_in_order(receiver, channel, after, Message::Report(report));
    }

    fn begin_attempt(&mut self, agent: usize, stream: StreamId, call: Call) {
        let process = &mut self.agents[agent];
        let attempt_id = (call.request, call.attempt);
        let stream = Some(stream).filter(|(request, _)| *request != usize::MAX);
        if let Err(kind) = process
            .state
            .begin(call.request, call.attempt, call.idempotent)
        {
            let event = CallEvent::Failed(Failure::from(kind));
            return self.send_event(stream, attempt_id, event);
        }
        process.run_count += 1;
        let run = process.run_count;
        let summary = AnswerCollector::new(None);
        let running = RunningAttempt {
            stream,
            call: call.clone(),
            summary,
        };
        process.runs.insert(run, running);
        self.call_target(agent, run, &call);
    }

    /// Starts a call at the target, which schedules its complete answer.
    fn call_target(&mut self, agent: usize, run: u64, call: &Call) {
        let receiver = Receiver::Agent(agent, self.agents[agent].incarnation);
        if self.now < self.agents[agent].outage_until {
            let failure = Failure::from(ErrorKind::Unreachable);
            let event = TargetEvent::Failed(failure);
            return self.send(receiver, 1, Message::TargetEvent(agent, run, event));
        }
        let request = usize::try_from(call.request.0).unwrap();
        self.executions.push(Execution {
            request,
            workspace: call.workspace.clone(),
            agent,
            at: self.now,
            left: self.observed.departures.contains_key(&agent),
        });
        let part_time = self.callers[request].part_time;
        let fields = vec![];
        let head = TargetEvent::Head {
            status: 200,
            fields,
        };
        self.send(receiver, 1, Message::TargetEvent(agent, run, head));
        for number in 0..pairs_fixture::PART_COUNT {
            let event = TargetEvent::Chunk {
                bytes: pairs_fixture::answer_part(request, number),
                versions: StatedVersions::Nothing,
                tokens: None,
            };
            let after = part_time * (u64::from(number) + 1);
            self.send(receiver, after, Message::TargetEvent(agent, run, event));
        }
        let after = part_time * u64::from(pairs_fixture::PART_COUNT) + 1;
        self.send(
            receiver,
            after,
            Message::TargetEvent(agent, run, TargetEvent::End),
        );
    }

    fn handle_target_event(&mut self, agent: usize, run: u64, event: TargetEvent) {
        let event = match event {
            TargetEvent::End if self.truncate_next == Some(agent) => {
                self.truncate_next = None;
                TargetEvent::Failed(Failure::from(ErrorKind::Truncated))
            }
            event => event,
        };
        let process = &mut self.agents[agent];
        let Some(running) = process.runs.get_mut(&run) else {
            return;
        };
        let (stream, call) = (running.stream, running.call.clone());
        let event = match running.summary.handle_event(event) {
            ForwardStep::Pass(event) => event,
            ForwardStep::Complete => {
                let counter = process.state.end(call.request, &call.workspace, Some(1));
                process.runs.remove(&run);
                CallEvent::End(AnswerSummary {
                    tokens: 1,
                    versions: vec![],
                    counter,
                })
            }
            ForwardStep::NotRun(failure) => {
                process.state.refuse(call.request, call.attempt);
                process.runs.remove(&run);
                CallEvent::Failed(failure)
            }
            ForwardStep::Failed(failure) => {
                process.state.end(call.request, &call.workspace, None);
                process.runs.remove(&run);
                CallEvent::Failed(failure)
            }
        };
        self.send_event(stream, (call.request, call.attempt), event);
    }

    /// Sends an event to the entry on the stream of an attempt.
    fn send_event(
        &mut self,
        stream: Option<StreamId>,
        attempt_id: (RequestId, Attempt),
        event: CallEvent,
    ) {
        let Some(stream) = stream else {
            return;
        };
        if self.lost_streams.contains(&stream) {
            return;
        }
        let to = self.crossed_streams.get(&stream).copied().unwrap_or(stream);
        let after = self.latency()
            + self
                .stalled_streams
                .get(&stream)
                .map_or(0, |at| at.saturating_sub(self.now));
        let channel = (4, stream.0, stream.1);
        let receiver = Receiver::Entry(self.entry.incarnation);
        self.send_in_order(
            receiver,
            channel,
            after,
            Message::Event(to, attempt_id, event),
        );
    }

    fn handle_cancel(&mut self, agent: usize, stream: StreamId) {
        let process = &mut self.agents[agent];
        let found = process
            .runs
            .iter()
            .find(|(_, run)| run.stream == Some(stream));
        let Some(run) = found.map(|(run, _)| *run) else {
            return;
        };
        let running = process.runs.remove(&run).unwrap();
        process
            .state
            .end(running.call.request, &running.call.workspace, None);
    }
}

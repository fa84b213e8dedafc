//! Runs requests on the traffic threads of an entry.

mod job;
mod sample;
mod ticket;

use std::sync::Arc;
use std::sync::OnceLock;

use flume::Receiver;
use flume::Sender;
use sardinepath_adapters::rpc::client::RpcClient;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::decision::admission::authorize_body;
use sardinepath_core::decision::admission::authorize_request;
use sardinepath_core::decision::answer::AnswerBuffer;
use sardinepath_core::decision::answer::AnswerStep;
use sardinepath_core::decision::authorize::Authorized;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::memory::Owner;
use sardinepath_core::decision::request::Admitted;
use sardinepath_core::decision::request::AfterFailure;
use sardinepath_core::decision::request::Answered;
use sardinepath_core::decision::request::AttemptStart;
use sardinepath_core::decision::request::Dispatched;
use sardinepath_core::decision::request::Request;
use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Choice;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::port::agent::AgentPort;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::front::CallerFront;
use sardinepath_core::port::step::StepFront;
use sardinepath_core::port::target::CallGuard;

use crate::entry::inbox::Inbox;
use crate::entry::request::Decision;
use crate::entry::request::RequestMessage;
use crate::entry::service::job::Job;
use crate::entry::service::ticket::Ticket;
use crate::entry::snapshot::SharedSnapshot;
use crate::metrics::Metrics;

pub use sample::SampleCall;

/// Capacity of the queue of decisions on one request. At most a dispatch and a revocation wait.
const DECISION_QUEUE_CAPACITY: usize = 4;

/// Maximum number of events of one attempt that wait to be relayed.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// Service that runs callers' requests.
#[derive(Clone)]
pub struct EntryService {
    shared: Arc<Shared>,
    steps: Arc<dyn StepFront>,
}

/// State that all requests share.
struct Shared {
    spawner: Spawner,
    clock: Arc<dyn Clock>,
    snapshot: SharedSnapshot,
    control: Inbox<RequestMessage>,
    agents: Arc<RpcClient>,
    metrics: Arc<Metrics>,
}

/// Continuation of a request after an attempt.
enum NextStep {
    Retry(Request<Admitted>, Failure),
    Done(Request<Answered>, u64),
}

/// Result of an attempt.
enum AttemptEnd {
    /// The answer was complete, with this number of tokens.
    Whole(u64),
    Failed(Failure),
    Revoked(Failure),
}

impl EntryService {
    /// Creates the service.
    pub fn new(
        spawner: Spawner,
        clock: Arc<dyn Clock>,
        snapshot: SharedSnapshot,
        control: Inbox<RequestMessage>,
        agents: Arc<RpcClient>,
        steps: Arc<dyn StepFront>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let shared = Shared {
            spawner,
            clock,
            snapshot,
            control,
            agents,
            metrics,
        };
        Self {
            shared: Arc::new(shared),
            steps,
        }
    }
}

impl CallerFront for EntryService {
    fn submit(&self, inbound: Inbound, events: Sender<CallEvent>) -> Box<dyn CallGuard> {
        let shared = self.shared.clone();
        let work = async move { shared.serve(inbound, events).await };
        Box::new(self.shared.spawner.spawn(work))
    }

    fn admit_body(&self, head: &Inbound) -> Result<Owner, ErrorKind> {
        let snapshot = self.shared.snapshot.load();
        authorize_body(snapshot.view(), self.shared.clock.now(), head)
    }

    fn record_refusal(&self, kind: ErrorKind) {
        self.shared.metrics.count_refusal(kind);
    }

    fn steps(&self) -> Option<&dyn StepFront> {
        Some(self.steps.as_ref())
    }
}

impl Shared {
    /// Authorizes and runs a request.
    async fn serve(&self, inbound: Inbound, events: Sender<CallEvent>) {
        let admitted = self.admit(inbound, events.clone());
        self.run_admitted(admitted, events).await;
    }

    /// Runs an admitted request, and sends the caller its failure or refusal.
    async fn run_admitted(&self, admitted: Result<Job, ErrorKind>, events: Sender<CallEvent>) {
        let _running = self.metrics.count_request();
        let failure = match admitted {
            Ok(job) => self.run(&job).await,
            Err(kind) => Some(Failure::from(kind)),
        };
        if let Some(failure) = failure {
            self.metrics.count_refusal(failure.kind);
            // A closed channel means that the caller has disconnected.
            let _ = events.send_async(CallEvent::Failed(failure)).await;
        }
    }

    /// Authorizes a request and asks the control thread to admit it.
    fn admit(&self, inbound: Inbound, events: Sender<CallEvent>) -> Result<Job, ErrorKind> {
        let now = self.clock.now();
        let snapshot = self.snapshot.load();
        let (authorized, request) = authorize_request(snapshot.view(), now, &inbound)?;
        self.request_admission(authorized, request, inbound, events)
    }

    /// Asks the control thread to admit an authorized request. Fails if its queue is full.
    fn request_admission(
        &self,
        authorized: Authorized,
        request: AdmissionRequest,
        inbound: Inbound,
        events: Sender<CallEvent>,
    ) -> Result<Job, ErrorKind> {
        let deadline = request.deadline;
        let streamed = inbound.completion.as_ref().is_some_and(|c| c.streamed);
        let (sender, decisions) = flume::bounded(DECISION_QUEUE_CAPACITY);
        let message = RequestMessage::Admit {
            request,
            decisions: sender,
        };
        self.control
            .try_send(message)
            .map_err(|_| ErrorKind::Overloaded)?;
        Ok(Job {
            id: RequestId(rand::random()),
            authorized,
            streamed,
            inbound,
            deadline,
            clock: self.clock.clone(),
            buffered: false,
            decisions,
            events,
            counter: OnceLock::new(),
        })
    }

    /// Makes attempts until the request is answered. Returns its failure, or none if the answer is
    /// complete.
    async fn run(&self, job: &Job) -> Option<Failure> {
        let mut request = Request::new(job.id, job.authorized.idempotent);
        let mut held: Option<Ticket<'_>> = None;
        loop {
            let (key, choice, delay) = match job.decisions.recv_async().await {
                Ok(Decision::Dispatch {
                    ticket,
                    choice,
                    delay,
                }) => (ticket, choice, delay),
                Ok(Decision::Refused(failure)) => {
                    // The control thread has closed the ticket.
                    held.iter_mut().for_each(Ticket::close);
                    return request.refuse(failure).failure();
                }
                Ok(Decision::Revoked(failure)) => {
                    let answered = request.refuse(failure);
                    held.iter_mut()
                        .for_each(|ticket| ticket.set_outcome(&answered, 0));
                    return answered.failure();
                }
                Err(_) => {
                    let failure = Failure::from(ErrorKind::Draining);
                    return request.refuse(failure).failure();
                }
            };
            let ticket = held.get_or_insert_with(|| Ticket::new(key, &self.control, &job.counter));
            if let Err(failure) = job.wait_delay(delay).await {
                let answered = request.refuse(failure);
                ticket.set_outcome(&answered, 0);
                return answered.failure();
            }
            let now = self.clock.now();
            let departed = match request.start_attempt(now, choice.valid_until, job.deadline) {
                AttemptStart::Started(request) => request,
                AttemptStart::ChoiceExpired(admitted, failure) => {
                    ticket.retry(failure).await;
                    request = admitted;
                    continue;
                }
                AttemptStart::TimedOut(answered) => {
                    ticket.set_outcome(&answered, 0);
                    return answered.failure();
                }
            };
            match self.attempt(job, departed, &choice).await {
                NextStep::Retry(next, failure) => {
                    self.metrics.count_retry(failure.kind);
                    ticket.retry(failure).await;
                    request = next;
                }
                NextStep::Done(answered, tokens) => {
                    self.metrics.count_tokens(tokens);
                    ticket.set_outcome(&answered, tokens);
                    return answered.failure();
                }
            }
        }
    }

    /// Makes one attempt at the chosen target.
    async fn attempt(&self, job: &Job, request: Request<Dispatched>, choice: &Choice) -> NextStep {
        let mut request = request;
        let (sender, events) = flume::bounded(EVENT_QUEUE_CAPACITY);
        let call = job.call(&request, job.time_left());
        let _guard = self.agents.execute(choice.agent, call, sender);
        match relay(job, &mut request, &events).await {
            AttemptEnd::Whole(tokens) => NextStep::Done(request.finish(), tokens),
            AttemptEnd::Revoked(failure) => NextStep::Done(request.abort(failure), 0),
            AttemptEnd::Failed(failure) => match request.fail(failure) {
                AfterFailure::Retry(next) => NextStep::Retry(next, failure),
                AfterFailure::Final(answered) => NextStep::Done(answered, 0),
            },
        }
    }
}

/// Relays the events of an attempt to the caller until it ends.
async fn relay(
    job: &Job,
    request: &mut Request<Dispatched>,
    events: &Receiver<CallEvent>,
) -> AttemptEnd {
    let mut answer = AnswerBuffer::new(job.streamed && !job.buffered);
    loop {
        let event = match job.next_event(events).await {
            Ok(event) => event,
            Err(failure) => return AttemptEnd::Revoked(failure),
        };
        match answer.handle_event(request, event) {
            AnswerStep::Wait => {}
            AnswerStep::Pass(event) => {
                if let Err(failure) = job.forward(event).await {
                    return AttemptEnd::Revoked(failure);
                }
            }
            AnswerStep::Complete(parts, tokens) => {
                if let Some(CallEvent::End(ending)) = parts.last() {
                    job.store_counter(ending);
                }
                return finish_answer(job, parts, tokens).await;
            }
            AnswerStep::Failed(failure) => return AttemptEnd::Failed(failure),
            AnswerStep::Stop(failure) => return AttemptEnd::Revoked(failure),
        }
    }
}

/// Forwards the last events of a complete answer.
async fn finish_answer(job: &Job, parts: Vec<CallEvent>, tokens: u64) -> AttemptEnd {
    for part in parts {
        if let Err(failure) = job.forward(part).await {
            return AttemptEnd::Revoked(failure);
        }
    }
    AttemptEnd::Whole(tokens)
}

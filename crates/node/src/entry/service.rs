//! Runs requests on the traffic threads of an entry.

mod sample;

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use futures_util::future::Either;
use futures_util::future::select;
use sardinepath_adapters::rpc::client::Peers;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_adapters::runtime::sleep;
use sardinepath_core::decision::answer::Answer;
use sardinepath_core::decision::answer::Taken;
use sardinepath_core::decision::authorize::Authorized;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::entrance::enter;
use sardinepath_core::decision::request::Admitted;
use sardinepath_core::decision::request::AfterFailure;
use sardinepath_core::decision::request::Answered;
use sardinepath_core::decision::request::Departure;
use sardinepath_core::decision::request::Dispatched;
use sardinepath_core::decision::request::Request;
use sardinepath_core::decision::traffic::Ask;
use sardinepath_core::decision::traffic::Choice;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::call::Ending;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::error::RunState;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::agent::AgentPort;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::front::CallerFront;
use sardinepath_core::port::step::StepFront;
use sardinepath_core::port::target::CallGuard;

use crate::entry::inbox::Inbox;
use crate::entry::request::RequestMessage;
use crate::entry::request::Verdict;
use crate::entry::snapshot::Published;
use crate::metrics::Metrics;

pub use sample::SampleCall;

/// Verdicts that may wait for one request: a grant and a revocation.
const VERDICT_ROOM: usize = 4;

/// Events of one attempt that may wait.
const EVENT_ROOM: usize = 16;

/// Serves callers.
#[derive(Clone)]
pub struct EntryService {
    shared: Arc<Shared>,
    steps: Arc<dyn StepFront>,
}

/// What all requests share.
struct Shared {
    spawner: Spawner,
    clock: Arc<dyn Clock>,
    snapshot: Published,
    control: Inbox<RequestMessage>,
    agents: Arc<Peers>,
    metrics: Arc<Metrics>,
}

/// One authorized request.
struct Job {
    id: RequestId,
    authorized: Authorized,
    inbound: Inbound,
    deadline: Time,
    clock: Arc<dyn Clock>,
    streamed: bool,
    /// True if the target streams the answer but it is passed on only when it is whole.
    collected: bool,
    verdicts: Receiver<Verdict>,
    events: Sender<CallEvent>,
    /// The agent's usage counter that came with the end of the answer.
    counter: OnceLock<Counter>,
}

/// Tells the control thread the end of a request, also if its task is stopped or its key is
/// withdrawn between two attempts.
struct Ticket<'a> {
    key: TicketKey,
    control: &'a Inbox<RequestMessage>,
    counter: &'a OnceLock<Counter>,
    outcome: Outcome,
    /// False once the control thread has closed the ticket.
    open: bool,
}

/// What follows an attempt.
enum Step {
    Retry(Request<Admitted>, Failure),
    Done(Request<Answered>, u64),
}

/// What an attempt came to.
enum AttemptEnd {
    Whole(u64),
    Failed(Failure),
    Revoked(Failure),
}

impl EntryService {
    /// Creates the service.
    pub fn new(
        spawner: Spawner,
        clock: Arc<dyn Clock>,
        snapshot: Published,
        control: Inbox<RequestMessage>,
        agents: Arc<Peers>,
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

    fn note_refusal(&self, kind: ErrorKind) {
        self.shared.metrics.refuse(kind);
    }

    fn steps(&self) -> Option<&dyn StepFront> {
        Some(self.steps.as_ref())
    }
}

impl Shared {
    /// Serves a request and passes a failure on to the caller.
    async fn serve(&self, inbound: Inbound, events: Sender<CallEvent>) {
        let admitted = self.admit(inbound, events.clone());
        self.run_admitted(admitted, events).await;
    }

    /// Runs a request that was admitted, or tells its refusal.
    async fn run_admitted(&self, admitted: Result<Job, ErrorKind>, events: Sender<CallEvent>) {
        let _running = self.metrics.start();
        let failure = match admitted {
            Ok(job) => self.run(&job).await,
            Err(kind) => Some(Failure::from(kind)),
        };
        if let Some(failure) = failure {
            self.metrics.refuse(failure.kind);
            // A closed channel means that the caller has gone.
            let _ = events.send_async(CallEvent::Failed(failure)).await;
        }
    }

    /// Authorizes a request and asks the control thread for admission.
    fn admit(&self, inbound: Inbound, events: Sender<CallEvent>) -> Result<Job, ErrorKind> {
        let now = self.clock.now();
        let snapshot = self.snapshot.load();
        let (authorized, ask) = enter(snapshot.view(), now, &inbound)?;
        self.ask(authorized, ask, inbound, events)
    }

    /// Asks the control thread for the admission of an authorized request.
    fn ask(
        &self,
        authorized: Authorized,
        ask: Ask,
        inbound: Inbound,
        events: Sender<CallEvent>,
    ) -> Result<Job, ErrorKind> {
        let deadline = ask.deadline;
        let streamed = inbound.completion.as_ref().is_some_and(|c| c.streamed);
        let (sender, verdicts) = flume::bounded(VERDICT_ROOM);
        let message = RequestMessage::Ask {
            ask,
            verdicts: sender,
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
            collected: false,
            verdicts,
            events,
            counter: OnceLock::new(),
        })
    }

    /// Makes attempts until the request is answered. Returns its failure, if any.
    async fn run(&self, job: &Job) -> Option<Failure> {
        let mut request = Request::new(job.id, job.authorized.idempotent);
        let mut held: Option<Ticket<'_>> = None;
        loop {
            let (key, choice, delay) = match job.verdicts.recv_async().await {
                Ok(Verdict::Go {
                    ticket,
                    choice,
                    delay,
                }) => (ticket, choice, delay),
                Ok(Verdict::Refused(failure)) => {
                    // The control thread has closed the ticket.
                    held.iter_mut().for_each(Ticket::close);
                    return request.refuse(failure).failure();
                }
                Ok(Verdict::Revoked(failure)) => {
                    let answered = request.refuse(failure);
                    held.iter_mut().for_each(|ticket| ticket.done(&answered, 0));
                    return answered.failure();
                }
                Err(_) => {
                    let failure = Failure::from(ErrorKind::Draining);
                    return request.refuse(failure).failure();
                }
            };
            let ticket = held.get_or_insert_with(|| Ticket::new(key, &self.control, job));
            if let Err(failure) = job.delayed(delay).await {
                let answered = request.refuse(failure);
                ticket.done(&answered, 0);
                return answered.failure();
            }
            let now = self.clock.now();
            let departed = match request.depart(now, choice.until, job.deadline) {
                Departure::Go(request) => request,
                Departure::Expired(admitted, failure) => {
                    ticket.retry(failure).await;
                    request = admitted;
                    continue;
                }
                Departure::Late(answered) => {
                    ticket.done(&answered, 0);
                    return answered.failure();
                }
            };
            match self.attempt(job, departed, &choice).await {
                Step::Retry(next, failure) => {
                    self.metrics.retry(failure.kind);
                    ticket.retry(failure).await;
                    request = next;
                }
                Step::Done(answered, tokens) => {
                    self.metrics.finish(tokens);
                    ticket.done(&answered, tokens);
                    return answered.failure();
                }
            }
        }
    }

    /// Makes one attempt.
    async fn attempt(&self, job: &Job, request: Request<Dispatched>, choice: &Choice) -> Step {
        let mut request = request;
        let (sender, events) = flume::bounded(EVENT_ROOM);
        let call = job.call(&request, job.left());
        let _guard = self.agents.execute(choice.agent, call, sender);
        match relay(job, &mut request, &events).await {
            AttemptEnd::Whole(tokens) => Step::Done(request.finish(), tokens),
            AttemptEnd::Revoked(failure) => Step::Done(request.abort(failure), 0),
            AttemptEnd::Failed(failure) => match request.fail(failure) {
                AfterFailure::Retry(next) => Step::Retry(next, failure),
                AfterFailure::Final(answered) => Step::Done(answered, 0),
            },
        }
    }
}

impl Job {
    /// Builds the call of one attempt.
    fn call(&self, request: &Request<Dispatched>, left: Duration) -> Call {
        Call {
            request: request.id(),
            attempt: request.attempt(),
            workspace: self.authorized.workspace.clone(),
            method: self.inbound.method.clone(),
            path: self.authorized.path.clone(),
            fields: self.authorized.fields.clone(),
            body: self.inbound.body.clone(),
            idempotent: self.authorized.idempotent,
            deadline: left,
            priority: self.authorized.priority,
            streamed: self.streamed,
        }
    }

    /// Returns the time left until the deadline.
    fn left(&self) -> Duration {
        self.deadline.since(self.clock.now())
    }

    /// Waits for the delay before an attempt, unless a revocation comes first.
    async fn delayed(&self, delay: Duration) -> Result<(), Failure> {
        let verdict = Box::pin(self.verdicts.recv_async());
        match select(verdict, Box::pin(sleep(delay))).await {
            Either::Left((Ok(Verdict::Revoked(failure) | Verdict::Refused(failure)), _)) => {
                Err(failure)
            }
            Either::Left((Err(_), _)) => Err(Failure::from(ErrorKind::Draining)),
            // One grant is out at a time, so no second one can come.
            Either::Left((Ok(Verdict::Go { .. }), _)) | Either::Right(_) => Ok(()),
        }
    }

    /// Does a part of an attempt, unless a revocation or the deadline comes first.
    ///
    /// The revocation is looked at first, so a steady stream cannot hold it off.
    async fn until_stopped<T>(&self, work: impl Future<Output = T>) -> Result<T, Failure> {
        let verdict = self.verdicts.recv_async();
        let work = select(Box::pin(work), Box::pin(sleep(self.left())));
        match select(verdict, work).await {
            Either::Right((Either::Left((done, _)), _)) => Ok(done),
            Either::Right((Either::Right(_), _)) => Err(Failure::from(ErrorKind::DeadlinePassed)),
            Either::Left((Ok(Verdict::Revoked(failure)), _)) => Err(failure),
            // The control thread stopped while the target was running the request.
            Either::Left(_) => Err(Failure {
                run: RunState::MayHaveRun,
                ..Failure::from(ErrorKind::Draining)
            }),
        }
    }

    /// Waits for the next event of an attempt.
    async fn next(&self, events: &Receiver<CallEvent>) -> Result<CallEvent, Failure> {
        let event = self.until_stopped(events.recv_async()).await?;
        let lost = CallEvent::Failed(Failure::from(ErrorKind::AgentLost));
        Ok(event.unwrap_or(lost))
    }

    /// Keeps the usage counter, also if the caller goes before it has read the answer.
    fn count(&self, ending: &Ending) {
        if let Some(counter) = &ending.counter {
            // A request has one whole answer, so the cell is empty.
            let _ = self.counter.set(counter.clone());
        }
    }

    /// Passes an event on to the caller.
    async fn pass(&self, event: CallEvent) -> Result<(), Failure> {
        let passed = self.until_stopped(self.events.send_async(event)).await?;
        passed.map_err(|_| Failure::from(ErrorKind::Cancelled))
    }
}

impl<'a> Ticket<'a> {
    fn new(key: TicketKey, control: &'a Inbox<RequestMessage>, job: &'a Job) -> Self {
        Self {
            key,
            control,
            counter: &job.counter,
            outcome: Outcome::Failed(Failure::from(ErrorKind::Cancelled)),
            open: true,
        }
    }

    /// Asks for another target. The request stays known to the control thread.
    async fn retry(&self, failure: Failure) {
        // The request sees a closed verdict channel if the control thread is gone.
        let message = RequestMessage::Retry {
            ticket: self.key,
            failure,
        };
        let _ = self.control.send_async(message).await;
    }

    /// Notes that the control thread has closed the ticket.
    fn close(&mut self) {
        self.open = false;
    }

    /// Notes how the request ended.
    fn done(&mut self, answered: &Request<Answered>, tokens: u64) {
        self.outcome = match answered.failure() {
            None => Outcome::Whole(tokens),
            Some(failure) => Outcome::Failed(failure),
        };
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let outcome = self.outcome.clone();
        // The control thread needs no news once it has stopped.
        let _ = self.control.send(RequestMessage::Ended {
            ticket: self.key,
            outcome,
            counter: self.counter.get().cloned(),
        });
    }
}

/// Takes in the events of an attempt and passes its answer on.
async fn relay(
    job: &Job,
    request: &mut Request<Dispatched>,
    events: &Receiver<CallEvent>,
) -> AttemptEnd {
    let mut answer = Answer::new(job.streamed && !job.collected);
    loop {
        let event = match job.next(events).await {
            Ok(event) => event,
            Err(failure) => return AttemptEnd::Revoked(failure),
        };
        match answer.take(request, event) {
            Taken::Wait => {}
            Taken::Pass(event) => {
                if let Err(failure) = job.pass(event).await {
                    return AttemptEnd::Revoked(failure);
                }
            }
            Taken::Whole(parts, tokens) => {
                if let Some(CallEvent::End(ending)) = parts.last() {
                    job.count(ending);
                }
                return finish(job, parts, tokens).await;
            }
            Taken::Failed(failure) => return AttemptEnd::Failed(failure),
            Taken::Stop(failure) => return AttemptEnd::Revoked(failure),
        }
    }
}

/// Passes the last events of a whole answer on.
async fn finish(job: &Job, parts: Vec<CallEvent>, tokens: u64) -> AttemptEnd {
    for part in parts {
        if let Err(failure) = job.pass(part).await {
            return AttemptEnd::Revoked(failure);
        }
    }
    AttemptEnd::Whole(tokens)
}

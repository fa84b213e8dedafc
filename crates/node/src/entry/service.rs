//! Runs requests on the traffic threads of an entry.

use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use futures_util::future::Either;
use futures_util::future::select;
use sardinepath_adapters::rpc::client::Peers;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_adapters::runtime::sleep;
use sardinepath_core::decision::authorize::Authorized;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::authorize::authorize;
use sardinepath_core::decision::request::Admitted;
use sardinepath_core::decision::request::AfterFailure;
use sardinepath_core::decision::request::Answered;
use sardinepath_core::decision::request::Dispatched;
use sardinepath_core::decision::request::Request;
use sardinepath_core::decision::traffic::Ask;
use sardinepath_core::decision::traffic::Choice;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::agent::AgentPort;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::front::CallerFront;
use sardinepath_core::port::target::CallGuard;

use crate::entry::control::Message;
use crate::entry::control::Published;
use crate::entry::control::Verdict;

/// Verdicts that may wait for one request: a grant and a revocation.
const VERDICT_ROOM: usize = 4;

/// Events of one attempt that may wait.
const EVENT_ROOM: usize = 16;

/// Largest answer that is collected before it is passed on, in bytes.
const ANSWER_MOST: usize = 8 << 20;

/// Serves callers.
#[derive(Clone)]
pub struct EntryService {
    shared: Arc<Shared>,
}

/// What all requests share.
struct Shared {
    spawner: Spawner,
    clock: Arc<dyn Clock>,
    snapshot: Published,
    control: Sender<Message>,
    agents: Arc<Peers>,
}

/// One authorized request.
struct Job {
    id: RequestId,
    authorized: Authorized,
    inbound: Inbound,
    deadline: Time,
    streamed: bool,
    verdicts: Receiver<Verdict>,
    events: Sender<CallEvent>,
}

/// Tells the control thread the end of a request, also if its task is stopped.
struct Ticket<'a> {
    key: TicketKey,
    control: &'a Sender<Message>,
    outcome: Outcome,
    /// False once the control thread keeps the request for another attempt.
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
        control: Sender<Message>,
        agents: Arc<Peers>,
    ) -> Self {
        let shared = Shared {
            spawner,
            clock,
            snapshot,
            control,
            agents,
        };
        Self {
            shared: Arc::new(shared),
        }
    }
}

impl CallerFront for EntryService {
    fn submit(&self, inbound: Inbound, events: Sender<CallEvent>) -> Box<dyn CallGuard> {
        let shared = self.shared.clone();
        let work = async move { shared.serve(inbound, events).await };
        Box::new(self.shared.spawner.spawn(work))
    }
}

impl Shared {
    /// Serves a request and passes a failure on to the caller.
    async fn serve(&self, inbound: Inbound, events: Sender<CallEvent>) {
        let failure = match self.admit(inbound, events.clone()) {
            Ok(job) => self.run(&job).await,
            Err(kind) => Some(Failure::from(kind)),
        };
        if let Some(failure) = failure {
            // A closed channel means that the caller has gone.
            let _ = events.send_async(CallEvent::Failed(failure)).await;
        }
    }

    /// Authorizes a request and asks the control thread for admission.
    fn admit(&self, inbound: Inbound, events: Sender<CallEvent>) -> Result<Job, ErrorKind> {
        let now = self.clock.now();
        let snapshot = self.snapshot.load();
        if !snapshot.ready {
            return Err(ErrorKind::KeysStale);
        }
        let authorized = authorize(&snapshot.config, snapshot.is_fresh(now), &inbound)?;
        let deadline = now + authorized.deadline;
        let completion = inbound.completion.clone().unwrap_or_default();
        let ask = Ask {
            route: authorized.route.clone(),
            pool: authorized.pool.clone(),
            workspace: authorized.workspace.clone(),
            key: authorized.key,
            priority: authorized.priority,
            prefixes: Vec::new(),
            tokens: completion.tokens,
            deadline,
        };
        let (sender, verdicts) = flume::bounded(VERDICT_ROOM);
        let message = Message::Ask {
            ask,
            verdicts: sender,
        };
        self.control
            .try_send(message)
            .map_err(|_| ErrorKind::Overloaded)?;
        Ok(Job {
            id: RequestId(rand::random()),
            authorized,
            streamed: completion.streamed,
            inbound,
            deadline,
            verdicts,
            events,
        })
    }

    /// Makes attempts until the request is answered. Returns its failure, if any.
    async fn run(&self, job: &Job) -> Option<Failure> {
        let mut request = Request::new(job.id, job.authorized.idempotent);
        loop {
            let (key, choice, delay) = match job.verdicts.recv_async().await {
                Ok(Verdict::Go {
                    ticket,
                    choice,
                    delay,
                }) => (ticket, choice, delay),
                Ok(Verdict::Refused(failure) | Verdict::Revoked(failure)) => {
                    return request.refuse(failure).failure();
                }
                Err(_) => {
                    let failure = Failure::from(ErrorKind::Draining);
                    return request.refuse(failure).failure();
                }
            };
            let mut ticket = Ticket::new(key, &self.control);
            sleep(delay).await;
            match self.attempt(job, request.dispatch(), &choice).await {
                Step::Retry(next, failure) => {
                    ticket.retry(failure);
                    request = next;
                }
                Step::Done(answered, tokens) => {
                    ticket.done(&answered, tokens);
                    return answered.failure();
                }
            }
        }
    }

    /// Makes one attempt.
    async fn attempt(&self, job: &Job, request: Request<Dispatched>, choice: &Choice) -> Step {
        let mut request = request;
        let left = job.deadline.since(self.clock.now());
        if left.is_zero() {
            let failure = Failure::from(ErrorKind::DeadlineInQueue);
            return Step::Done(request.abort(failure), 0);
        }
        let (sender, events) = flume::bounded(EVENT_ROOM);
        let call = job.call(&request, left);
        let _guard = self.agents.execute(choice.agent, call, sender);
        let end = if job.streamed {
            stream(job, &mut request, &events, left).await
        } else {
            collect(job, &events, left).await
        };
        match end {
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

    /// Waits for the next event of an attempt, a revocation or the deadline.
    async fn next(&self, events: &Receiver<CallEvent>, left: Duration) -> CallEvent {
        let event = events.recv_async();
        let verdict = self.verdicts.recv_async();
        let limit = Box::pin(sleep(left));
        match select(select(event, verdict), limit).await {
            Either::Left((Either::Left((Ok(event), _)), _)) => event,
            Either::Left((Either::Left((Err(_), _)), _)) => {
                CallEvent::Failed(Failure::from(ErrorKind::AgentLost))
            }
            Either::Left((Either::Right((Ok(Verdict::Revoked(failure)), _)), _)) => {
                CallEvent::Failed(failure)
            }
            Either::Left((Either::Right(_), _)) => {
                CallEvent::Failed(Failure::from(ErrorKind::Draining))
            }
            Either::Right(_) => CallEvent::Failed(Failure::from(ErrorKind::DeadlinePassed)),
        }
    }

    /// Passes an event on to the caller.
    async fn pass(&self, event: CallEvent) -> Result<(), Failure> {
        self.events
            .send_async(event)
            .await
            .map_err(|_| Failure::from(ErrorKind::Cancelled))
    }
}

impl<'a> Ticket<'a> {
    fn new(key: TicketKey, control: &'a Sender<Message>) -> Self {
        Self {
            key,
            control,
            outcome: Outcome::Failed(Failure::from(ErrorKind::Cancelled)),
            open: true,
        }
    }

    /// Asks for another target. The request stays known to the control thread.
    fn retry(mut self, failure: Failure) {
        self.open = false;
        // The request sees a closed verdict channel if the control thread is gone.
        let _ = self.control.send(Message::Retry {
            ticket: self.key,
            failure,
        });
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
        let _ = self.control.send(Message::Ended {
            ticket: self.key,
            outcome,
        });
    }
}

/// Passes a streamed answer on as it comes.
async fn stream(
    job: &Job,
    request: &mut Request<Dispatched>,
    events: &Receiver<CallEvent>,
    left: Duration,
) -> AttemptEnd {
    loop {
        let event = job.next(events, left).await;
        match event {
            CallEvent::Heartbeat => continue,
            CallEvent::Failed(failure) => return ended(failure),
            CallEvent::Head { .. } | CallEvent::Chunk(_) => {
                request.mark_sent();
                if let Err(failure) = job.pass(event).await {
                    return AttemptEnd::Revoked(failure);
                }
            }
            CallEvent::End(ending) => {
                let tokens = ending.tokens;
                return finish(job, vec![CallEvent::End(ending)], tokens).await;
            }
        }
    }
}

/// Collects an answer and passes it on when it is whole.
async fn collect(job: &Job, events: &Receiver<CallEvent>, left: Duration) -> AttemptEnd {
    let mut parts = Vec::new();
    let mut size = 0;
    loop {
        let event = job.next(events, left).await;
        match event {
            CallEvent::Heartbeat => continue,
            CallEvent::Failed(failure) => return ended(failure),
            CallEvent::End(ref ending) => {
                let tokens = ending.tokens;
                parts.push(event);
                return finish(job, parts, tokens).await;
            }
            CallEvent::Chunk(ref bytes) => size += bytes.len(),
            CallEvent::Head { .. } => {}
        }
        if size > ANSWER_MOST {
            return AttemptEnd::Revoked(Failure::from(ErrorKind::AnswerTooLarge));
        }
        parts.push(event);
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

/// Tells a failed attempt from one that was stopped here.
fn ended(failure: Failure) -> AttemptEnd {
    match failure.kind {
        ErrorKind::KeyWithdrawn | ErrorKind::DeadlinePassed => AttemptEnd::Revoked(failure),
        _ => AttemptEnd::Failed(failure),
    }
}

//! Control state of a gateway, the role that serves callers and runs batch jobs.
//!
//! `Gateway::handle` processes a message and `Gateway::tick` runs timers; both return effects. The
//! control thread of the role owns the gateway. Adapters carry out the effects and send the results
//! back as messages.
//!
//! - `jobs`: batch jobs, from their submission to their removal
//! - `requests`: plain requests and streams, and what answers say about targets and requests
//! - `limits`: request limits of targets, and permits that gateways give each other
//! - `duties`: work of the lease holder (weight updates and usage reports)
//! - `membership`: other processes, sources of watched objects, and the health of the store
//! - `message`, `stored`, `call`: messages of the control thread, and records of the object API
//! - `settings`: identity and settings of the process

mod call;
mod duties;
mod jobs;
mod limits;
mod membership;
pub mod message;
mod requests;
mod settings;
pub mod stored;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::RetainedTexts;
use crate::decision::batch::RunId;
use crate::decision::directory::Directory;
use crate::decision::directory::TargetNeeds;
use crate::decision::gateway::duties::duty::Duty;
use crate::decision::gateway::duties::usage::Reports;
use crate::decision::gateway::jobs::Job;
use crate::decision::gateway::jobs::read::JobLookup;
use crate::decision::gateway::jobs::removal::Removal;
use crate::decision::gateway::jobs::share::Shares;
use crate::decision::gateway::jobs::submit::Submission;
use crate::decision::gateway::limits::limit::Permits;
use crate::decision::gateway::membership::health::StoreHealth;
use crate::decision::gateway::membership::peers::Peers;
use crate::decision::gateway::membership::source::Feed;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::Message;
use crate::decision::gateway::message::Question;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::requests::leaving::LeaveSource;
use crate::decision::gateway::requests::streams::Streams;
use crate::decision::gateway::requests::suspects::Suspects;
pub use crate::decision::gateway::settings::GatewaySettings;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::StoreCall;
use crate::decision::opening::Starts;
use crate::decision::places::Places;
use crate::decision::tally::Tally;
use crate::decision::target_watch::TargetWatch;
use crate::decision::weights::Weights;
use crate::domain::event::Event;
use crate::domain::name::BatchId;
use crate::domain::table::RouteTable;
use crate::domain::time::Time;
use crate::domain::time::WallTime;
use crate::port::object::ObjectError;

/// Delay before a failed call to the object API is repeated.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval between ticks while this process runs jobs or callers wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(60);

/// Interval between ticks while there is no such work.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a tick or message after which this process counts as paused.
const MAX_TICK_DELAY: Duration = Duration::from_millis(400);

/// Time after which unanswered calls to the object API count as an outage, whose end is followed by
/// the calls that waited. A shorter one may be a single refused call, which is repeated after its delay.
const MIN_OUTAGE: Duration = Duration::from_millis(400);

/// Control state of a gateway process.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    table: Option<Arc<RouteTable>>,
    directory: Directory,
    jobs: BTreeMap<BatchId, Job>,
    /// Job of each running attempt.
    runs: HashMap<RunId, BatchId>,
    submissions: BTreeMap<BatchId, Submission>,
    /// Earliest time of the next write of a held submission while no call is answered.
    next_held_write: Time,
    lookups: BTreeMap<BatchId, Vec<JobLookup>>,
    /// Texts that ended jobs did not need.
    retained: RetainedTexts,
    peers: Peers,
    shares: Shares,
    permits: Permits,
    suspects: Suspects,
    streams: Streams,
    feed: Feed,
    duty: Duty,
    weights: Weights,
    tally: Tally,
    reports: Reports,
    draining: bool,
    /// Whether `Effect::Drained` has been emitted.
    drained: bool,
    /// Earliest time at which a draining process tries again to hand over its jobs.
    next_hand_over: Time,
    /// Time at which a draining process hands over jobs whose records are not stored.
    hand_over_by: Time,
    /// Availability of the object API.
    store: StoreHealth,
    /// Watch of the entries of targets.
    target_watch: TargetWatch,
    /// Removal of an old job that is in progress.
    removal: Option<Removal>,
    next_removal: Time,
    /// Failed calls with the time at which they are repeated.
    retries: Vec<(Time, Purpose, StoreCall)>,
    next_run: u64,
    random_state: u64,
    /// Time of the current message or tick.
    now: Time,
    /// End of the last pause of this process, initially its start.
    resumed: Time,
    effects: Vec<Effect>,
}

impl Gateway {
    /// Creates a gateway that knows no objects yet. Its first effect announces the process.
    pub fn new(settings: GatewaySettings, now: Time) -> Self {
        let window = settings.usage_window.unwrap_or(Duration::from_secs(5));
        let host = settings.peer.host.clone();
        let mut directory = Directory::with_places(known_places(&settings));
        directory.starts = Starts::new(host, settings.cold_tolerance);
        let mut gateway = Self {
            table: None,
            directory,
            jobs: BTreeMap::new(),
            runs: HashMap::new(),
            submissions: BTreeMap::new(),
            next_held_write: now,
            lookups: BTreeMap::new(),
            retained: RetainedTexts::default(),
            peers: Peers::default(),
            shares: Shares::default(),
            permits: Permits::default(),
            suspects: Suspects::default(),
            streams: Streams::default(),
            feed: Feed::default(),
            duty: Duty::new(&settings, now),
            weights: Weights::default(),
            tally: Tally::new(window),
            reports: Reports::new(now),
            draining: false,
            drained: false,
            next_hand_over: now,
            hand_over_by: now,
            store: StoreHealth::new(now),
            target_watch: TargetWatch::new(settings.entry_lapse),
            removal: None,
            next_removal: now,
            retries: Vec::new(),
            next_run: 1,
            random_state: settings.seed | 1,
            now,
            resumed: now,
            effects: Vec::new(),
            settings,
        };
        gateway.announce();
        gateway
    }

    /// Processes a message and returns the resulting effects.
    pub fn handle(&mut self, now: Time, message: Message) -> Vec<Effect> {
        self.advance(now);
        let outage = self.store.outage_time(now);
        match message {
            Message::Ask(call, question) => self.handle_question(call, question),
            Message::RequestEnded(target, end) => self.directory.release(now, &target, end),
            Message::LimitStated(target, statement) => self.limit_stated(&target, statement),
            Message::LeavingStated(statement) => {
                self.leaving_stated(&statement, LeaveSource::Answer)
            }
            Message::TargetCrashed(crash) => self.target_crashed(crash),
            Message::RequestSurvived(request) => self.request_survived(&request),
            Message::PermitsAnswered(request, granter, grant) => {
                self.permits_answered(&request, granter, grant)
            }
            Message::RequestStarted(workspace) => {
                let wall = self.wall_time();
                self.tally.count(wall, workspace);
            }
            Message::RunProgress(run, partial) => self.run_advanced(run, partial),
            Message::RunEnded(run, end, partial) => self.run_ended(run, &end, partial),
            Message::ScoringEnded(run, end) => self.scoring_ended(run, &end),
            Message::Stored(purpose, answer) => {
                let failed = matches!(
                    answer,
                    Err(ObjectError::Unavailable(_) | ObjectError::Unknown(_))
                );
                self.store.record(now, !failed);
                self.stored(purpose, answer);
            }
            Message::Decoded(id, batch) => self.decoded(&id, batch),
            Message::Listing(kind, views) => self.objects_listed(kind, views),
            Message::Changed(view) => self.object_changed(view),
            Message::WatchContact(kind, up) => self.contact_changed(kind, up),
            Message::StoreProbed(up) => self.store_probed(up),
            Message::FeedJoined(lapse) => self.target_watch.joined(now, lapse),
            Message::FeedLost(address, end) => self.feed_lost(address, end),
            Message::SubmissionNotTaken(address) => self.exclude_peer(address),
            Message::PingEnded(host, pong) => self.ping_ended(host, pong),
            Message::CountsCollected(window, host, counts) => {
                self.counts_collected(window, host, counts)
            }
            Message::OrderEnded(target, end) => self.order_ended(&target, end),
            Message::ReportEnded(window, end) => self.report_ended(window, end),
            Message::Drain => self.drain(),
            // The control thread handles this message itself.
            Message::Stop => {}
        }
        if outage >= MIN_OUTAGE && self.store.outage_start.is_none() {
            self.store_returned();
        }
        std::mem::take(&mut self.effects)
    }

    /// Runs all timers that are due and returns the resulting effects.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        self.advance(now);
        for name in self.directory.expire(now, self.target_watch.recovered()) {
            self.log(Event::TargetLost, vec![("target", name.to_string())]);
        }
        self.tick_evacuations();
        self.tick_starts();
        self.send_retries();
        self.tick_submissions();
        self.tick_duty();
        self.tick_jobs();
        self.tick_hand_over();
        self.tick_peers();
        self.tick_limits();
        self.tick_suspects();
        self.tick_streams();
        self.tick_source();
        self.dispatch();
        self.write_pages();
        self.write_drafts();
        self.write_failures();
        if !self.drained && self.is_drained() {
            self.drained = true;
            self.effects.push(Effect::Drained);
        }
        std::mem::take(&mut self.effects)
    }

    /// Sets the time, and notices if the process was paused before it.
    fn advance(&mut self, now: Time) {
        if now.since(self.now) > MAX_TICK_DELAY {
            self.resumed = now;
        }
        self.now = now;
    }

    /// Returns the time of the next tick.
    pub fn next_tick(&self) -> Time {
        let busy = !self.submissions.is_empty() || self.jobs.values().any(Job::is_busy);
        self.now + if busy { BUSY_INTERVAL } else { IDLE_INTERVAL }
    }

    /// Returns `true` if the gateway is draining and has handed over all of its work.
    pub fn is_drained(&self) -> bool {
        let unfinished = self
            .jobs
            .values()
            .any(|job| job.is_run_by(&self.settings.peer) && !job.head.ended);
        self.draining && !unfinished && self.submissions.is_empty() && self.duty.is_vacant()
    }

    fn handle_question(&mut self, call: CallId, question: Question) {
        match question {
            Question::ChooseTarget {
                pool,
                request,
                tried,
                software,
                homes,
            } => {
                let need = TargetNeeds {
                    excluded: tried,
                    software,
                    homes,
                    seed: self.settings.seed,
                    ..TargetNeeds::default()
                };
                self.choose_plain_target(call, &pool, request.as_ref(), need);
            }
            Question::FindStream { pool, begun } => self.find_stream(call, pool, &begun),
            Question::RecordStream { pool, id, software } => {
                self.record_stream(call, &pool, id, software);
            }
            Question::ChooseRunner { id, route, homes } => {
                let homes = self.directory.places.binding(homes);
                self.choose_runner(call, &id, &route, homes.as_ref());
            }
            Question::Submit(request) => self.submit(call, request),
            Question::Read {
                id,
                workspace,
                after,
                wait,
                local,
            } => {
                self.read(call, id, workspace, after, wait, local);
            }
            Question::ReadItem {
                id,
                workspace,
                item,
            } => self.body(call, id, workspace, item),
            Question::EndJob { id, workspace } => self.end_job(call, id, workspace),
            Question::Ping(ping) => self.answer_ping(call, &ping),
            Question::JobEnded(id, revision) => self.end_told(call, &id, revision),
            Question::UsageCounts(window) => {
                let counts = self.tally.counts(window);
                self.reply(call, Reply::Counts(counts));
            }
            Question::GrantPermits(request) => {
                let grant = self.grant_permits(&request);
                self.reply(call, Reply::Permits(grant));
            }
        }
    }

    fn drain(&mut self) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.effects.push(Effect::StopAccepting);
        self.shorten_submissions();
        self.begin_hand_over();
        self.leave();
    }

    fn wall_time(&self) -> WallTime {
        WallTime(self.now.0 + self.settings.epoch)
    }

    fn next_random(&mut self) -> u64 {
        // Xorshift is sufficient because the numbers only distribute requests.
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state
    }

    fn next_run_id(&mut self) -> RunId {
        self.next_run += 1;
        RunId(self.next_run)
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        self.effects.push(Effect::Reply(call, reply));
    }

    fn call_store(&mut self, purpose: Purpose, call: StoreCall) {
        self.effects.push(match self.body_homes(&purpose) {
            Some(homes) => Effect::StoreWithin(purpose, call, homes),
            None => Effect::Store(purpose, call),
        });
    }

    /// Schedules a failed call to the object API to be repeated.
    fn retry_store_call(&mut self, purpose: Purpose, call: StoreCall) {
        self.retries
            .push((self.now + STORE_RETRY_DELAY, purpose, call));
    }

    fn send_retries(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .retries
            .extract_if(.., |(at, _, _)| now >= *at)
            .collect();
        for (_, purpose, call) in due {
            self.call_store(purpose, call);
        }
    }

    fn log(&mut self, event: Event, fields: Vec<(&'static str, String)>) {
        self.effects.push(Effect::Log(event, fields));
    }
}

/// Returns what is known of data centres at the start of a process.
fn known_places(settings: &GatewaySettings) -> Places {
    match settings.places {
        true => Places::awaiting(settings.regions.clone()),
        false => Places::default(),
    }
}

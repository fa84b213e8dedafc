//! The control state of a gateway: the role that serves callers and runs batch jobs.
//!
//! `Gateway::handle` takes a message, `Gateway::tick` the time, and both return effects. The
//! control thread of the role owns the gateway; adapters carry the effects out and answer with
//! messages. Every subject has its own file: `jobs` (life of a batch job),
//! `head`, `load`, `pages`, `ending`, `place` (who runs a new one), `submit`, `read`, `draft` (texts
//! that outlive a process),
//! `dispatch` (items to targets), `duty` (lease and weights), `usage`, `retire` (old jobs),
//! `peers`, `source` (who watches the object API) and `view`.

mod dispatch;
mod draft;
mod duty;
mod ending;
mod head;
mod jobs;
mod load;
pub mod message;
mod pages;
mod peers;
mod place;
mod read;
mod retire;
mod source;
pub mod stored;
mod submit;
mod usage;
mod view;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::RunId;
use crate::decision::directory::Directory;
use crate::decision::directory::Need;
use crate::decision::gateway::duty::Duty;
use crate::decision::gateway::jobs::Job;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::Message;
use crate::decision::gateway::message::Pong;
use crate::decision::gateway::message::Question;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::peers::Peers;
use crate::decision::gateway::read::Search;
use crate::decision::gateway::retire::Retiring;
use crate::decision::gateway::source::Feed;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::StoreCall;
use crate::decision::gateway::submit::Submission;
use crate::decision::gateway::usage::Reports;
use crate::decision::lease::Terms;
use crate::decision::tally::Tally;
use crate::decision::weights::Weights;
use crate::domain::batch::Draft;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::name::BatchId;
use crate::domain::name::CentreName;
use crate::domain::name::PoolName;
use crate::domain::name::TargetName;
use crate::domain::table::RouteTable;
use crate::domain::time::Time;
use crate::domain::time::WallTime;
use crate::port::object::ObjectError;

/// Pause after a call to the object API that failed.
const STORE_PAUSE: Duration = Duration::from_millis(200);

/// Time between two ticks while batch jobs run here.
const BUSY_TICK: Duration = Duration::from_millis(60);

/// Time between two ticks otherwise.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// What a gateway knows of itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This process.
    pub peer: Peer,
    /// Data centre.
    pub centre: CentreName,
    /// Milliseconds since the Unix epoch at time zero of the clock that is passed in.
    pub epoch: u64,
    /// Terms of the lease.
    pub lease: Terms,
    /// Length of a usage window, or none if usage is not reported.
    pub window: Option<Duration>,
    /// Time after its acceptance for which an ended job can be read.
    pub keep: Duration,
    /// Time after the end of a window until its report is due.
    pub report_limit: Duration,
    /// Start of the random numbers.
    pub seed: u64,
}

/// Control state of a gateway.
#[derive(Debug)]
pub struct Gateway {
    me: Identity,
    table: Option<Arc<RouteTable>>,
    directory: Directory,
    jobs: BTreeMap<BatchId, Job>,
    /// Jobs of the attempts that run.
    runs: HashMap<RunId, BatchId>,
    submissions: BTreeMap<BatchId, Submission>,
    searches: BTreeMap<BatchId, Vec<Search>>,
    /// Texts of items that ended jobs did not list, since their items may come again.
    kept: VecDeque<Draft>,
    peers: Peers,
    feed: Feed,
    duty: Duty,
    weights: Weights,
    tally: Tally,
    reports: Reports,
    draining: bool,
    /// True once it has told that nothing is left to do.
    drained: bool,
    /// Whether the object API answers.
    store: StoreHealth,
    /// Start of the time since when the targets are watched without a gap, or none in an outage.
    watched: Option<Time>,
    /// The removal of an old job.
    retiring: Option<Retiring>,
    next_retire: Time,
    /// Calls that are repeated later, with their time.
    delayed: Vec<(Time, Purpose, StoreCall)>,
    next_run: u64,
    draws: u64,
    /// Time up to which messages have been handled.
    now: Time,
    effects: Vec<Effect>,
}

/// Whether the object API answers this process.
#[derive(Clone, Copy, Debug)]
struct StoreHealth {
    /// Start of the present outage.
    outage: Option<Time>,
    /// End of the last outage.
    back: Time,
}

impl StoreHealth {
    fn note(&mut self, now: Time, up: bool) {
        if !up {
            self.outage.get_or_insert(now);
        } else if self.outage.take().is_some() {
            self.back = now;
        }
    }

    /// Returns the length of the present outage.
    fn outage(&self, now: Time) -> Duration {
        self.outage.map_or(Duration::ZERO, |start| now.since(start))
    }

    /// Returns how long the object API has answered.
    fn steady(&self, now: Time) -> Duration {
        match self.outage {
            Some(_) => Duration::ZERO,
            None => now.since(self.back),
        }
    }
}

impl Gateway {
    /// Starts without knowledge. The first effects announce the process.
    pub fn new(me: Identity, now: Time) -> Self {
        let window = me.window.unwrap_or(Duration::from_secs(5));
        let mut gateway = Self {
            table: None,
            directory: Directory::default(),
            jobs: BTreeMap::new(),
            runs: HashMap::new(),
            submissions: BTreeMap::new(),
            searches: BTreeMap::new(),
            kept: VecDeque::new(),
            peers: Peers::default(),
            feed: Feed::default(),
            duty: Duty::new(&me),
            weights: Weights::default(),
            tally: Tally::new(window),
            reports: Reports::new(now),
            draining: false,
            drained: false,
            store: StoreHealth {
                outage: None,
                back: now,
            },
            watched: None,
            retiring: None,
            next_retire: now,
            delayed: Vec::new(),
            next_run: 1,
            draws: me.seed | 1,
            now,
            effects: Vec::new(),
            me,
        };
        gateway.announce();
        gateway
    }

    /// Takes in a message and returns what to do.
    pub fn handle(&mut self, now: Time, message: Message) -> Vec<Effect> {
        self.now = now;
        match message {
            Message::Ask(call, question) => self.ask(call, question),
            Message::Released(target, end) => self.directory.release(now, &target, end),
            Message::Began(workspace) => {
                let wall = self.wall();
                self.tally.count(wall, workspace);
            }
            Message::Advanced(run, partial) => self.advanced(run, partial),
            Message::RunEnded(run, end, partial) => self.run_ended(run, &end, partial),
            Message::Scored(run, end) => self.scored(run, &end),
            Message::Stored(purpose, answer) => {
                let away = matches!(
                    answer,
                    Err(ObjectError::Unavailable(_) | ObjectError::Unknown(_))
                );
                self.store.note(now, !away);
                self.stored(purpose, answer);
            }
            Message::Decoded(id, batch) => self.decoded(&id, batch),
            Message::Listing(kind, views) => self.listing(kind, views),
            Message::Changed(view) => self.changed(view),
            Message::Contact(kind, up) => self.note_contact(kind, up),
            Message::Probed(up) => self.probed(up),
            Message::FeedLost(address, end) => self.feed_lost(address, end),
            Message::Shunned(address) => self.shun(address),
            Message::Pinged(host, pong) => self.pinged(host, pong),
            Message::Collected(window, host, counts) => self.collected(window, host, counts),
            Message::Ordered(target, end) => self.ordered(&target, end),
            Message::Reported(window, end) => self.reported(window, end),
            Message::Drain => self.drain(),
            // The control thread ends by itself.
            Message::Stop => {}
        }
        std::mem::take(&mut self.effects)
    }

    /// Does what is due and returns what to do.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        self.now = now;
        for name in self.directory.expire(now, self.watched) {
            self.log(Event::TargetLost, vec![("target", name.to_string())]);
        }
        self.repeat_calls();
        self.tick_duty();
        self.tick_jobs();
        self.tick_peers();
        self.tick_source();
        self.dispatch();
        self.flush();
        self.write_drafts();
        if !self.drained && self.is_drained() {
            self.drained = true;
            self.effects.push(Effect::Drained);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the time of the next tick.
    pub fn next_tick(&self) -> Time {
        let busy = self.jobs.values().any(Job::is_busy);
        self.now + if busy { BUSY_TICK } else { IDLE_TICK }
    }

    /// Tells whether nothing is left to do after a drain.
    pub fn is_drained(&self) -> bool {
        let held = self
            .jobs
            .values()
            .any(|job| job.is_mine(&self.me.peer) && !job.head.ended);
        self.draining && !held && self.submissions.is_empty() && self.duty.is_free()
    }

    fn ask(&mut self, call: CallId, question: Question) {
        match question {
            Question::Pick { pool, tried } => self.pick(call, &pool, tried),
            Question::Place { id, route } => self.place(call, &id, &route),
            Question::Submit {
                id,
                workspace,
                route,
                batch,
            } => {
                self.submit(call, id, workspace, &route, batch);
            }
            Question::Read {
                id,
                workspace,
                after,
                wait,
                here,
            } => {
                self.read(call, id, workspace, after, wait, here);
            }
            Question::Body {
                id,
                workspace,
                item,
            } => self.body(call, id, workspace, item),
            Question::End { id, workspace } => self.end(call, id, workspace),
            Question::Ping => {
                let pong = Pong {
                    incarnation: self.me.peer.incarnation,
                    silence: u64::try_from(self.store.outage(self.now).as_millis()).unwrap_or(0),
                    load: self.directory.load(),
                };
                self.reply(call, Reply::Pong(pong));
            }
            Question::Count(window) => {
                let counts = self.tally.counts(window);
                self.reply(call, Reply::Counts(counts));
            }
        }
    }

    /// Chooses a target of a plain request.
    fn pick(&mut self, call: CallId, pool: &PoolName, tried: Vec<TargetName>) {
        let mut need = Need {
            tried,
            seed: self.me.seed,
            ..Need::default()
        };
        let mut choice = self
            .directory
            .choose(self.now, pool, &need, &self.me.centre);
        if choice.is_none() && !need.tried.is_empty() {
            // A second attempt at the same target is better than none.
            need.tried.clear();
            choice = self
                .directory
                .choose(self.now, pool, &need, &self.me.centre);
        }
        if choice.is_none() {
            need.paused = true;
            choice = self
                .directory
                .choose(self.now, pool, &need, &self.me.centre);
        }
        self.reply(call, choice.map_or(Reply::NoTarget, Reply::Target));
    }

    fn note_contact(&mut self, kind: Kind, up: bool) {
        self.store.note(self.now, up);
        if up {
            self.feed_found();
        } else {
            self.probed(false);
        }
        if kind == Kind::Targets {
            self.watched = up.then_some(self.watched.unwrap_or(self.now));
        }
        let event = if up {
            Event::WatchRegained
        } else {
            Event::WatchLost
        };
        self.log(event, vec![("kind", format!("{kind:?}"))]);
    }

    fn drain(&mut self) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.effects.push(Effect::Close);
        self.hurry_submissions();
        self.write_drafts_now();
        self.hand_over();
        let host = Arc::from(self.me.peer.host.as_str());
        self.call_store(Purpose::Leave, StoreCall::Delete(Kind::Peers, host));
    }

    fn wall(&self) -> WallTime {
        WallTime(self.now.0 + self.me.epoch)
    }

    fn draw(&mut self) -> u64 {
        // A xorshift generator: the numbers only separate equal choices.
        self.draws ^= self.draws << 13;
        self.draws ^= self.draws >> 7;
        self.draws ^= self.draws << 17;
        self.draws
    }

    fn new_run(&mut self) -> RunId {
        self.next_run += 1;
        RunId(self.next_run)
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        self.effects.push(Effect::Reply(call, reply));
    }

    fn call_store(&mut self, purpose: Purpose, call: StoreCall) {
        self.effects.push(Effect::Store(purpose, call));
    }

    /// Makes a call to the object API again after a pause, because it failed.
    fn call_store_again(&mut self, purpose: Purpose, call: StoreCall) {
        self.delayed.push((self.now + STORE_PAUSE, purpose, call));
    }

    fn repeat_calls(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .delayed
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

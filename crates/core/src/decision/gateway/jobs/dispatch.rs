//! Dispatch of items and scoring requests to targets.

use std::time::Duration;

use crate::decision::batch::Generation;
use crate::decision::batch::Pace;
use crate::decision::batch::RunEnd;
use crate::decision::batch::RunId;
use crate::decision::batch::Runner;
use crate::decision::batch::Task;
use crate::decision::batch::by_group;
use crate::decision::directory::CallEnd;
use crate::decision::directory::Choice;
use crate::decision::directory::Sharing;
use crate::decision::directory::TargetNeeds;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::jobs::homes::job_homes;
use crate::decision::gateway::jobs::routes::JobRoute;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::RunRequest;
use crate::domain::batch::Head;
use crate::domain::batch::PartialText;
use crate::domain::batch::Scorer;
use crate::domain::event::Event;
use crate::domain::ids::WeightVersion;
use crate::domain::name::BatchId;
use crate::domain::name::ModelName;
use crate::domain::name::TargetName;
use crate::domain::table::Route;

/// Maximum number of runs moved away from slow targets in one tick.
const MAX_MOVES_PER_TICK: usize = 8;

/// Time for which a text waits for a free target of the software version that began it. Beginning
/// anew takes longer than this for most texts.
const CONTINUATION_WAIT: Duration = Duration::from_millis(500);

/// Time after a pause of this process in which the events of the pause arrive.
const SETTLE_TIME: Duration = Duration::from_millis(400);

/// What to do with the remaining items of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dispatch {
    /// The item was sent.
    Sent,
    /// The item waits, but the next one may be sent.
    Next,
    /// No target has a free slot.
    Full,
}

impl Gateway {
    /// Dispatches all tasks for which targets have free slots, and moves texts away from slow targets.
    pub(in crate::decision::gateway) fn dispatch(&mut self) {
        self.dispatch_all();
        self.move_slow_runs();
    }

    /// Dispatches the tasks of all jobs, ordered by rank and age of the job. While the slots of a pool
    /// are short, its jobs send no more than their share.
    fn dispatch_all(&mut self) {
        let jobs = self.contenders();
        let limits = self.share_limits(&jobs);
        for job in jobs {
            let limit = limits.get(&job.id).copied().unwrap_or(u32::MAX);
            self.dispatch_job(&job.id, limit);
        }
    }

    /// Returns the priority rank of a job. A job whose route is gone sends only scoring requests, after
    /// the requests of all other jobs.
    pub(in crate::decision::gateway) fn rank(&self, head: &Head) -> u32 {
        let table = self.table.as_ref();
        let found = table.and_then(|table| Some((table, JobRoute::find(table, head)?)));
        found.map_or(u32::MAX, |(table, found)| {
            table.rank(&found.route, head.workspace.as_ref())
        })
    }

    /// Dispatches the tasks of a job, of which at most `limit` are generations.
    fn dispatch_job(&mut self, id: &BatchId, limit: u32) {
        let now = self.now;
        if self.is_recording() {
            return;
        }
        let Some(table) = self.table.clone() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let head = job.head.clone();
        let Work::Running(active) = &mut job.work else {
            return;
        };
        let max_scorings = |scorer: &Scorer| {
            let route = table.route(&scorer.host, &scorer.path)?;
            route.max_failures()
        };
        active.runner.give_up(now, max_scorings);
        let mut tasks = active.runner.tasks(now);
        if tasks.is_empty() {
            return;
        }
        let model = head.model.clone().map(|model| (model, head.min_version));
        if self.has_room_for(&tasks, limit, &head, model.as_ref()) {
            tasks = by_group(tasks);
        }
        let route = JobRoute::find(&table, &head);
        let mut left = limit;
        for task in tasks {
            match task {
                Task::Generate(_) if left == 0 => {}
                Task::Generate(task) => {
                    if let Some(route) = &route {
                        left = match self.generate(id, &head, route, task) {
                            Dispatch::Sent => left - 1,
                            Dispatch::Next => left,
                            Dispatch::Full => 0,
                        };
                    }
                }
                Task::Score { index, scorer } => self.score(id, index, scorer),
            }
        }
    }

    /// Returns `true` if all tasks of a job can start now, so that their order does not matter for the
    /// end of the job.
    fn has_room_for(
        &self,
        tasks: &[Task],
        limit: u32,
        head: &Head,
        model: Option<&(ModelName, WeightVersion)>,
    ) -> bool {
        let route = self.job_route(head);
        let pool = route.as_ref().and_then(|found| found.route.sole_pool());
        let Some(pool) = pool else {
            return false;
        };
        let room = self.directory.room(self.now, pool, model);
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        count <= room.free.min(limit)
    }

    /// Sends an item to a target.
    fn generate(
        &mut self,
        id: &BatchId,
        head: &Head,
        found: &JobRoute,
        task: Generation,
    ) -> Dispatch {
        let now = self.now;
        let index = task.index;
        let target = match self.choose_continuing(id, head, &found.route, task) {
            Ok(target) => target,
            Err(next) => return next,
        };
        let run = self.next_run_id();
        let started = match self.jobs.get_mut(id).map(|job| &mut job.work) {
            Some(Work::Running(active)) => {
                active.runner.generate(now, index, run, target.name.clone())
            }
            _ => None,
        };
        let Some((item, partial)) = started else {
            self.directory
                .release(now, &target.name, CallEnd::Cancelled);
            return Dispatch::Next;
        };
        let entry = self.directory.get(&target.name);
        let version = entry
            .zip(head.model.as_ref())
            .and_then(|(t, m)| t.version(m));
        let begun = partial.software.as_ref();
        self.log(
            Event::ItemSent,
            vec![
                ("batch", id.to_string()),
                ("item", item.id.to_string()),
                ("target", target.name.to_string()),
                ("software", target.software.to_string()),
                ("events", partial.events.to_string()),
                (
                    "begun",
                    begun.map_or("none".to_owned(), ToString::to_string),
                ),
                ("believed", version.map_or(0, |v| v.0).to_string()),
                ("least", head.min_version.to_string()),
            ],
        );
        self.runs.insert(run, id.clone());
        let stall_timeout = self.directory.stall_timeout(&target.name);
        self.effects.push(Effect::StartRun(Box::new(RunRequest {
            id: run,
            target,
            host: found.route.host.clone(),
            workspace: head.workspace.clone(),
            item,
            partial,
            versions: found.versions(head),
            rank: self.rank(head),
            stall_timeout,
        })));
        Dispatch::Sent
    }

    /// Chooses the target of an item. A text waits for a target of the software version that began
    /// it, and is discarded if a target of another version takes the item first. Without a target,
    /// returns what to do with the other items.
    fn choose_continuing(
        &mut self,
        id: &BatchId,
        head: &Head,
        route: &Route,
        mut task: Generation,
    ) -> Result<Choice, Dispatch> {
        if let Some(target) = self.choose_target(id, head, route, &task) {
            return Ok(target);
        }
        let Some(software) = task.software.take() else {
            return Err(Dispatch::Full);
        };
        let mut pools = route.split.iter().map(|(pool, _)| pool);
        let served = pools.any(|pool| self.directory.has_software(pool, &software));
        let waited = self.now.since(task.due);
        if served && waited < CONTINUATION_WAIT {
            return Err(Dispatch::Next);
        }
        let target = self.choose_target(id, head, route, &task);
        let target = target.ok_or(Dispatch::Full)?;
        if let Some(Work::Running(active)) = self.jobs.get_mut(id).map(|job| &mut job.work)
            && let Some((item, events)) = active.runner.discard_text(task.index)
        {
            let fields = vec![
                ("batch", id.to_string()),
                ("item", item.to_string()),
                ("software", software.to_string()),
                ("served", served.to_string()),
                ("events", events.to_string()),
                ("waited_ms", waited.as_millis().to_string()),
            ];
            self.log(Event::TextDiscarded, fields);
        }
        Ok(target)
    }

    /// Chooses the target of an item, at best one that holds the prompt of its group. Targets
    /// that the item should avoid are used only if no other one has a free slot.
    fn choose_target(
        &mut self,
        id: &BatchId,
        head: &Head,
        route: &Route,
        task: &Generation,
    ) -> Option<Choice> {
        let random = self.next_random();
        let pool = route.pool(random)?;
        let prefer = match self.jobs.get(id).map(|job| &job.work) {
            Some(Work::Running(active)) => active.runner.group_targets(task.group.as_ref()),
            _ => Vec::new(),
        };
        let mut need = TargetNeeds {
            model: head.model.clone().map(|model| (model, head.min_version)),
            homes: self.job_homes(head),
            software: task.software.clone(),
            excluded: task.avoid.clone(),
            preferred: prefer,
            deferrable: true,
            free_slot: true,
            allow_paused: false,
            suspect: false,
            sharing: Sharing::Apart,
            seed: self.settings.seed,
        };
        let choice = self.choose_permitted(pool, &need);
        if choice.is_some() || need.excluded.is_empty() {
            return choice;
        }
        need.excluded.clear();
        self.choose_permitted(pool, &need)
    }

    /// Moves runs away from slow targets while faster ones have free slots.
    fn move_slow_runs(&mut self) {
        let now = self.now;
        let slow: Vec<TargetName> = self
            .directory
            .own_load()
            .into_keys()
            .filter(|name| self.directory.is_slow(name))
            .collect();
        let mut moves = 0;
        let table = self.table.clone();
        for target in slow {
            for job in self.jobs.values_mut() {
                let Work::Running(active) = &mut job.work else {
                    continue;
                };
                let homes = table.as_ref().and_then(|table| job_homes(table, &job.head));
                while moves < MAX_MOVES_PER_TICK
                    && let Some(run) = active.runner.movable_run(&target)
                {
                    let model = job.head.model.clone().map(|m| (m, job.head.min_version));
                    let has_room = {
                        let homes = homes.clone();
                        self.directory.has_fast_slot(now, &target, model, homes)
                    };
                    if !has_room {
                        break;
                    }
                    active.runner.count_move(run);
                    moves += 1;
                    self.effects.push(Effect::MoveRun(run));
                }
            }
        }
    }

    /// Returns the runner of the job that owns an attempt, if the job runs here.
    pub(in crate::decision::gateway) fn runner_of(&mut self, run: RunId) -> Option<&mut Runner> {
        let batch = self.runs.get(&run)?;
        match &mut self.jobs.get_mut(batch)?.work {
            Work::Running(active) => Some(&mut active.runner),
            _ => None,
        }
    }

    pub(in crate::decision::gateway) fn run_advanced(&mut self, run: RunId, partial: PartialText) {
        let now = self.now;
        let runner = self.runner_of(run);
        let pace = runner.and_then(|runner| runner.update_run(now, run, partial));
        if let Some(pace) = pace {
            self.record_pace(&pace);
        }
    }

    /// Records the pace of a target, unless this process was paused: the events of that time arrive
    /// together, first too late and then too fast.
    fn record_pace(&mut self, pace: &Pace) {
        if pace.since >= self.resumed + SETTLE_TIME {
            let (now, target) = (self.now, &pace.target);
            self.directory.record_pace(now, target, pace.millis);
        }
    }

    pub(in crate::decision::gateway) fn run_ended(
        &mut self,
        run: RunId,
        end: &RunEnd,
        partial: PartialText,
    ) {
        let now = self.now;
        let events = partial.events;
        let runner = self.runner_of(run);
        let ended = runner.and_then(|runner| runner.end_run(now, run, end, partial));
        let batch = self.runs.remove(&run);
        let (Some(batch), Some(ended)) = (batch, ended) else {
            return;
        };
        if let Some(pace) = &ended.pace {
            self.record_pace(pace);
        }
        self.directory.release(now, &ended.target, ended.call);
        let mut fields = vec![
            ("batch", batch.to_string()),
            ("item", ended.item.to_string()),
            ("target", ended.target.to_string()),
            ("events", events.to_string()),
            // Answers of 500 before this run.
            ("failures", ended.failures.to_string()),
        ];
        if *end == RunEnd::Complete {
            fields.push(("moves", ended.moves.to_string()));
            fields.push(("millis", ended.spent.as_millis().to_string()));
            self.log(Event::ItemWhole, fields);
        } else {
            fields.push(("end", format!("{end:?}")));
            self.log(Event::ItemFailed, fields);
        }
        self.write_failures();
        match self.shares.is_any_short() {
            true => self.dispatch_all(),
            false => self.dispatch_job(&batch, u32::MAX),
        }
    }
}

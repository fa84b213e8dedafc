//! Scoring requests of generated texts.

use crate::decision::batch::RunId;
use crate::decision::batch::ScoreEnd;
use crate::decision::directory::CallEnd;
use crate::decision::directory::Choice;
use crate::decision::directory::TargetNeeds;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::message::Effect;
use crate::decision::quarantine::Verdict;
use crate::domain::batch::Scorer;
use crate::domain::event::Event;
use crate::domain::name::BatchId;

impl Gateway {
    /// Sends the scoring request of a generated text.
    pub(in crate::decision::gateway) fn score(
        &mut self,
        id: &BatchId,
        index: usize,
        scorer: Scorer,
    ) {
        let now = self.now;
        let Some(target) = self.scoring_target(id, &scorer) else {
            return;
        };
        let run = self.next_run_id();
        if let Some(Work::Running(active)) = self.jobs.get_mut(id).map(|job| &mut job.work) {
            active.runner.score(index, run, target.name.clone());
            if active.runner.has_run(run) {
                self.runs.insert(run, id.clone());
                self.effects.push(Effect::Score(run, target, scorer));
                return;
            }
        }
        self.directory
            .release(now, &target.name, CallEnd::Cancelled);
    }

    fn scoring_target(&mut self, id: &BatchId, scorer: &Scorer) -> Option<Choice> {
        let random = self.next_random();
        let table = self.table.clone()?;
        let route = table.route(&scorer.host, &scorer.path)?;
        let verdict = self.scoring_verdict(scorer);
        if let Verdict::Quarantined(_) = verdict {
            return None;
        }
        let job = self.jobs.get(id);
        let workspace = job.and_then(|job| job.head.workspace.as_ref());
        let need = TargetNeeds {
            homes: table.homes(route, workspace),
            deferrable: true,
            suspect: verdict == Verdict::Suspect,
            seed: self.settings.seed,
            ..TargetNeeds::default()
        };
        let pool = route.pool(random)?;
        self.choose_permitted(pool, &need)
    }

    pub(in crate::decision::gateway) fn scoring_ended(&mut self, run: RunId, end: &ScoreEnd) {
        let now = self.now;
        let scorer = self.runner_of(run).and_then(|r| r.scorer(run).cloned());
        let runner = self.runner_of(run);
        let scored = runner.and_then(|runner| runner.end_scoring(now, run, end));
        let batch = self.runs.remove(&run);
        let (Some(batch), Some((target, call))) = (batch, scored) else {
            return;
        };
        self.directory.release(now, &target, call);
        if let Some(scorer) = scorer {
            self.scoring_seen(&scorer, &target, end);
        }
        if !matches!(end, ScoreEnd::Scored(_)) {
            self.log(
                Event::ScoringFailed,
                vec![
                    ("batch", batch.to_string()),
                    ("run", run.0.to_string()),
                    ("target", target.to_string()),
                    ("end", format!("{end:?}")),
                ],
            );
        }
        self.write_failures();
        self.write_pages();
    }
}

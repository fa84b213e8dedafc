//! Targets of plain requests.

use crate::decision::directory::Sharing;
use crate::decision::directory::TargetNeeds;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Reply;
use crate::decision::quarantine::Verdict;
use crate::domain::name::Fingerprint;
use crate::domain::name::PoolName;

impl Gateway {
    /// Replies with the target of a plain request, unless the request is quarantined.
    pub(in crate::decision::gateway) fn choose_plain_target(
        &mut self,
        call: CallId,
        pool: &PoolName,
        request: Option<&Fingerprint>,
        need: TargetNeeds,
    ) {
        let quarantine = &self.suspects.quarantine;
        let verdict = request.map_or(Verdict::Sound, |r| quarantine.verdict(self.now, r));
        if let Verdict::Quarantined(left) = verdict {
            self.reply(call, Reply::Quarantined(left));
            return;
        }
        let apart = TargetNeeds {
            suspect: verdict == Verdict::Suspect,
            ..need
        };
        let untried = TargetNeeds {
            sharing: Sharing::Any,
            ..apart.clone()
        };
        // A target that was already tried is better than none, and so is a paused one.
        let any = TargetNeeds {
            excluded: Vec::new(),
            ..untried.clone()
        };
        let paused = TargetNeeds {
            allow_paused: true,
            ..any.clone()
        };
        let mut choice = None;
        for need in [&apart, &untried, &any, &paused] {
            choice = choice.or_else(|| self.choose_permitted(pool, need));
        }
        let reply = match choice {
            Some(choice) => Reply::Target(choice),
            None if self.needs_permit(pool, &paused) => Reply::LimitsReached,
            None => match self.directory.closure(pool, &paused) {
                Some(closure) => Reply::Closed(closure),
                None => Reply::NoTarget,
            },
        };
        self.reply(call, reply);
    }
}

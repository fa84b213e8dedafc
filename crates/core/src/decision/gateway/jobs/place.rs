//! Placement of new batch jobs.
//!
//! All jobs of a route run at one process as long as it is alive. The next job then reuses its
//! connections to the targets, and repeated groups continue from the texts that it retains.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Reply;
use crate::domain::fleet::Peer;
use crate::domain::hash::OFFSET_BASIS;
use crate::domain::hash::fnv1a;
use crate::domain::name::BatchId;
use crate::domain::name::HostName;
use crate::domain::name::RouteName;
use crate::domain::place::Closure;
use crate::domain::place::Homes;
use crate::domain::table::Route;

/// Time for which a process that did not accept a submission gets no other one.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);

impl Gateway {
    /// Replies with the process that should accept a submission.
    pub(in crate::decision::gateway) fn choose_runner(
        &mut self,
        call: CallId,
        id: &BatchId,
        route: &Route,
        homes: Option<&Homes>,
    ) {
        let known = self.jobs.contains_key(id) || self.submissions.contains_key(id);
        if !known
            && let Some(homes) = homes
            && self.is_homeless(route, homes)
        {
            self.reply(call, Reply::Closed(Closure::NoHome));
            return;
        }
        let runner = if known {
            None
        } else {
            self.runner_for(&route.name, homes)
        };
        let remote = runner.filter(|peer| peer.host != self.settings.peer.host);
        let reply = remote.map_or(Reply::Local, |peer| Reply::Forward(peer.address));
        self.reply(call, reply);
    }

    /// Returns the process that runs the newest job of the route, or else the first one by rank. It lies
    /// in a region that may get the body of the submission.
    fn runner_for(&self, route: &RouteName, homes: Option<&Homes>) -> Option<&Peer> {
        let is_home = |peer: &Peer| homes.is_none_or(|homes| homes.allow(peer.region.as_ref()));
        let newest = self
            .jobs
            .values()
            .filter(|job| job.head.route == *route)
            .max_by_key(|job| job.head.accepted);
        let runner = newest.and_then(|job| job.head.runner.as_ref());
        let alive = runner.and_then(|runner| {
            let peer = self.peer(&runner.host)?;
            let accepts = self.accepts_jobs(peer) && is_home(peer);
            (peer.incarnation == runner.incarnation && accepts).then_some(peer)
        });
        alive.or_else(|| {
            let peers = self
                .all_peers()
                .filter(|peer| self.accepts_jobs(peer) && is_home(peer));
            let max_power = self.max_power();
            peers.min_by_key(|peer| placement_rank(route.as_str(), peer, max_power))
        })
    }

    /// Returns `true` if a process is expected to accept new jobs.
    fn accepts_jobs(&self, peer: &Peer) -> bool {
        if peer.host == self.settings.peer.host {
            return !self.draining;
        }
        let excluded = self.peers.excluded.get(&peer.address);
        excluded.is_none_or(|until| self.now >= *until)
    }

    /// Excludes a process that did not accept a submission.
    pub(in crate::decision::gateway) fn exclude_peer(&mut self, address: SocketAddr) {
        self.peers.excluded.retain(|_, until| self.now < *until);
        let until = self.now + EXCLUSION_TIME;
        self.peers.excluded.insert(address, until);
    }

    /// Returns the largest CPU allowance of all processes, in percent of a core.
    pub(in crate::decision::gateway) fn max_power(&self) -> u32 {
        self.all_peers()
            .map(|peer| peer.cpu_percent)
            .max()
            .unwrap_or(0)
    }
}

/// Returns the sort key of a process for a subject; the lowest comes first. Processes with less
/// than half of the largest CPU allowance come last.
pub(in crate::decision::gateway) fn placement_rank(
    subject: &str,
    peer: &Peer,
    max_power: u32,
) -> (bool, u64) {
    (
        peer.cpu_percent * 2 < max_power,
        hash_rank(subject, &peer.host),
    )
}

/// Returns a hash that orders hosts for a subject, equal at all processes.
pub(in crate::decision::gateway) fn hash_rank(subject: &str, host: &HostName) -> u64 {
    let hash = fnv1a(
        fnv1a(OFFSET_BASIS, subject.as_bytes()),
        host.as_str().as_bytes(),
    );
    hash ^ (hash >> 29)
}

//! Which process runs a new batch job.
//!
//! The jobs of one route run at one process as long as it lives. Its connections to the targets
//! are used again by the next job, and groups that come again go on from the texts that it keeps.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::peers::rank_of;
use crate::domain::fleet::Peer;
use crate::domain::name::BatchId;
use crate::domain::name::RouteName;

/// Time for which a process that did not take a submission gets no other one.
const SHUN_TIME: Duration = Duration::from_secs(3);

impl Gateway {
    /// Tells where a submission should go.
    pub(super) fn place(&mut self, call: CallId, id: &BatchId, route: &RouteName) {
        let known = self.jobs.contains_key(id) || self.submissions.contains_key(id);
        let place = if known { None } else { self.runner_for(route) };
        let away = place.filter(|peer| peer.host != self.me.peer.host);
        let reply = away.map_or(Reply::Here, |peer| Reply::Forward(peer.address));
        self.reply(call, reply);
    }

    /// Returns the process that runs the newest job of the route, else the first one by rank.
    fn runner_for(&self, route: &RouteName) -> Option<&Peer> {
        let newest = self
            .jobs
            .values()
            .filter(|job| job.head.route == *route)
            .max_by_key(|job| job.head.accepted);
        let runner = newest.and_then(|job| job.head.runner.as_ref());
        let present = runner.and_then(|runner| {
            let peer = self.peer(&runner.host)?;
            (peer.incarnation == runner.incarnation && self.takes_jobs(peer)).then_some(peer)
        });
        present.or_else(|| {
            let peers = self.all_peers().filter(|peer| self.takes_jobs(peer));
            let most = self.largest_power();
            peers.min_by_key(|peer| precedence(route.as_str(), peer, most))
        })
    }

    /// Tells whether a process is believed to take new jobs.
    fn takes_jobs(&self, peer: &Peer) -> bool {
        if peer.host == self.me.peer.host {
            return !self.draining;
        }
        let shunned = self.peers.shunned.get(&peer.address);
        shunned.is_none_or(|until| self.now >= *until)
    }

    /// Notes that a process did not take a submission.
    pub(super) fn shun(&mut self, address: SocketAddr) {
        self.peers.shunned.retain(|_, until| self.now < *until);
        let until = self.now + SHUN_TIME;
        self.peers.shunned.insert(address, until);
    }

    /// Returns the largest processor time that a process may use, in percent of a core.
    pub(super) fn largest_power(&self) -> u32 {
        self.all_peers().map(|peer| peer.power).max().unwrap_or(0)
    }
}

/// Returns a figure by which processes are ordered for a subject; the lowest comes first. Those
/// with less than half of the largest processor time come after the others.
pub(super) fn precedence(subject: &str, peer: &Peer, most: u32) -> (bool, u64) {
    (peer.power * 2 < most, rank_of(subject, &peer.host))
}

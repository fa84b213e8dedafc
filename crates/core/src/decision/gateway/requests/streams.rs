//! Software versions that began the streams to callers.
//!
//! A stream may go on only at the software version that began it, at any gateway and after a kill of
//! all of them. Each pool with resumable streams has one settled version in the object API. Only
//! streams that begin at another version are recorded, so a pool with a single version costs no
//! calls. A version becomes settled after it was the only one for longer than a stream can be
//! resumed, so that no unrecorded stream of the version before is left.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::SoftwareRecord;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::event::Event;
use crate::domain::ids::Revision;
use crate::domain::name::PoolName;
use crate::domain::name::SoftwareVersion;
use crate::domain::name::StreamId;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Time for which a stream can be resumed after it began.
const STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Software versions of streams.
#[derive(Debug, Default)]
pub(in crate::decision::gateway) struct Streams {
    settled: BTreeMap<PoolName, Settled>,
    /// Version that is the only one of a pool, with the time since which it is.
    single: BTreeMap<PoolName, (SoftwareVersion, Time)>,
    /// Pools whose settled version is being written.
    writing: BTreeSet<PoolName>,
    /// Records that this process stored, with the time at which they are deleted.
    records: VecDeque<(Time, StreamId)>,
}

/// Settled version of a pool, at a revision of its object.
#[derive(Debug)]
struct Settled {
    software: SoftwareVersion,
    revision: Revision,
}

impl Gateway {
    /// Looks up the software version that began a stream.
    pub(in crate::decision::gateway) fn find_stream(
        &mut self,
        call: CallId,
        pool: PoolName,
        begun: &StreamId,
    ) {
        let read = StoreCall::Get(Kind::Streams, Arc::from(begun.as_str()));
        self.call_store(Purpose::FindStream(call, pool), read);
    }

    /// Handles the answer to the lookup of a stream. A stream without a record began at the settled
    /// version of its pool.
    pub(in crate::decision::gateway) fn stream_found(
        &mut self,
        call: CallId,
        pool: &PoolName,
        answer: Result<Answer, ObjectError>,
    ) {
        let software = match answer {
            Ok(Answer::Found(Some((_, Record::Software(record))))) => Some(record.software),
            Ok(Answer::Found(None)) => self.settled(pool).cloned(),
            _ => None,
        };
        self.reply(call, Reply::StreamBegun(software));
    }

    /// Records the software version that begins a stream, unless it is the settled one.
    pub(in crate::decision::gateway) fn record_stream(
        &mut self,
        call: CallId,
        pool: &PoolName,
        id: StreamId,
        software: SoftwareVersion,
    ) {
        if self.settled(pool) == Some(&software) {
            self.reply(call, Reply::StreamRecorded(true));
            return;
        }
        let name = Arc::from(id.as_str());
        let record = Record::Software(SoftwareRecord { software });
        let create = StoreCall::Create(Kind::Streams, name, record);
        self.call_store(Purpose::RecordStream(call, id), create);
    }

    /// Handles the answer to the write of a record.
    pub(in crate::decision::gateway) fn stream_recorded(
        &mut self,
        call: CallId,
        id: StreamId,
        answer: &Result<Answer, ObjectError>,
    ) {
        // The object may exist also after a failed write.
        let records = &mut self.streams.records;
        records.push_back((self.now + STREAM_LIFETIME, id));
        self.reply(call, Reply::StreamRecorded(answer.is_ok()));
    }

    /// Records the settled version of a pool.
    pub(in crate::decision::gateway) fn software_settled(
        &mut self,
        pool: PoolName,
        revision: Revision,
        software: SoftwareVersion,
    ) {
        let known = self.streams.settled.get(&pool);
        if known.is_some_and(|known| known.revision >= revision) {
            return;
        }
        let before = known.map_or("none".to_owned(), |known| known.software.to_string());
        let fields = vec![
            ("pool", pool.to_string()),
            ("software", software.to_string()),
            ("before", before),
            ("revision", revision.to_string()),
        ];
        self.log(Event::SoftwareSettled, fields);
        let settled = Settled { software, revision };
        self.streams.settled.insert(pool, settled);
    }

    /// Deletes old records, and settles the versions of pools if this process holds the duty.
    pub(in crate::decision::gateway) fn tick_streams(&mut self) {
        let now = self.now;
        while let Some((_, id)) = self.streams.records.pop_front_if(|(at, _)| now >= *at) {
            let name = Arc::from(id.as_str());
            self.call_store(Purpose::Forget, StoreCall::Delete(Kind::Streams, name));
        }
        if self.permit().is_some() && self.target_watch.is_settled(self.now) {
            for pool in self.resumable_pools() {
                self.settle(pool);
            }
        }
    }

    /// Returns the pools of the routes whose streams may be resumed.
    fn resumable_pools(&self) -> BTreeSet<PoolName> {
        let routes = self.table.iter().flat_map(|table| table.hosts.values());
        let resumable = routes.flatten().filter(|route| {
            let settings = route.stream_settings();
            settings.is_some_and(|settings| settings.resumable)
        });
        let pools = resumable.flat_map(|route| &route.split);
        pools.map(|(pool, _)| pool.clone()).collect()
    }

    /// Stores the only version of a pool as its settled one, if no unrecorded stream of another
    /// version can be left.
    fn settle(&mut self, pool: PoolName) {
        let now = self.now;
        let entries = self.directory.entries().filter(|e| e.pool == pool);
        let versions: BTreeSet<SoftwareVersion> = entries.map(|e| e.software.clone()).collect();
        let single = versions.first().filter(|_| versions.len() == 1);
        let Some(single) = single.cloned() else {
            self.streams.single.remove(&pool);
            return;
        };
        let since = match self.streams.single.get(&pool) {
            Some((software, since)) if *software == single => *since,
            _ => {
                let seen = (single.clone(), now);
                self.streams.single.insert(pool.clone(), seen);
                now
            }
        };
        let name = Arc::from(pool.as_str());
        let record = |software| Record::Software(SoftwareRecord { software });
        let call = match self.streams.settled.get(&pool) {
            Some(settled) if settled.software == single => return,
            Some(_) if now.since(since) < STREAM_LIFETIME => return,
            Some(settled) => {
                StoreCall::Update(Kind::Software, name, record(single), settled.revision)
            }
            // Without a settled version all streams are recorded.
            None => StoreCall::Create(Kind::Software, name, record(single)),
        };
        if self.streams.writing.insert(pool.clone()) {
            self.call_store(Purpose::Settle(pool), call);
        }
    }

    /// Handles the answer to the write of a settled version. The watch delivers the stored one; a
    /// failed write is repeated with the next tick.
    pub(in crate::decision::gateway) fn settle_answered(&mut self, pool: &PoolName) {
        self.streams.writing.remove(pool);
    }

    fn settled(&self, pool: &PoolName) -> Option<&SoftwareVersion> {
        let settled = self.streams.settled.get(pool);
        settled.map(|settled| &settled.software)
    }
}

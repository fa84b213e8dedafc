//! Calls to the object API about steps and groups. They block, so they run on platform threads.

use std::collections::BTreeMap;

use sardinepath_adapters::event::emit;
use sardinepath_core::decision::sample::Group;
use sardinepath_core::decision::sample::GroupId;
use sardinepath_core::decision::sample::GroupRecord;
use sardinepath_core::decision::sample::GroupState;
use sardinepath_core::decision::sample::GroupWrite;
use sardinepath_core::decision::sample::StepKey;
use sardinepath_core::decision::sample::StepRecord;
use sardinepath_core::decision::sample::Stored;
use sardinepath_core::decision::sample::answer_poll;
use sardinepath_core::decision::sample::prefix;
use sardinepath_core::decision::sample::steps_prefix;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::TrainerName;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_core::port::step::DeliveredGroup;
use sardinepath_core::port::step::Delivery;
use serde::de::DeserializeOwned;

/// Maximum size of an object in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// A stored step with its revision.
pub(super) type StoredStep = (Revision, StepRecord);

/// Answer to a poll, with the numbers of groups that it changed.
#[derive(Debug)]
pub struct PollOutcome {
    /// Answer to the poll.
    pub delivery: Delivery,
    /// Number of groups that this poll marked as delivered.
    pub delivered: u64,
    /// Number of groups that this poll marked as expired.
    pub expired: u64,
}

/// Stores a step. If it is already stored, the call succeeds if both ask for the same samples, and
/// fails with a conflict if not.
pub(super) fn store(
    objects: &dyn ObjectPort,
    key: &StepKey,
    record: &StepRecord,
) -> Result<Revision, ErrorKind> {
    let value = serde_json::to_string(record).map_err(|_| ErrorKind::Internal)?;
    if value.len() > MAX_OBJECT_BYTES {
        return Err(ErrorKind::BodyTooLarge);
    }
    match objects.put(&key.path(), &value, Precondition::Absent) {
        Ok(revision) => Ok(revision),
        Err(ObjectError::Conflict(_) | ObjectError::Unknown(_)) => match load(objects, key) {
            Ok(Some((revision, stored))) if stored.is_same(record) => Ok(revision),
            Ok(Some(_)) => Err(ErrorKind::Conflict),
            Ok(None) | Err(_) => Err(ErrorKind::PlatformDown),
        },
        Err(_) => Err(ErrorKind::PlatformDown),
    }
}

/// Reads a step. Returns none if it is not stored.
pub(super) fn load(
    objects: &dyn ObjectPort,
    key: &StepKey,
) -> Result<Option<StoredStep>, ObjectError> {
    let object = objects.get(&key.path())?;
    let read = |object: Object| Ok((object.revision, parse(&object)?));
    object.map(read).transpose()
}

/// Reads the steps of a trainer that were stored after a revision. Returns the revision up to which
/// the steps are known.
pub(super) fn newer(
    objects: &dyn ObjectPort,
    trainer: &TrainerName,
    after: Revision,
) -> Result<(Revision, Vec<(StepKey, StoredStep)>), ObjectError> {
    let prefix = steps_prefix(trainer);
    let (revision, found) = match objects.watch(&prefix, after, std::time::Duration::ZERO) {
        Err(ObjectError::Compacted) => {
            let listing = objects.list(&prefix)?;
            (listing.revision, listing.objects)
        }
        watched => {
            let (revision, changes) = watched?;
            let put = |change| match change {
                Change::Put(object) => Some(object),
                Change::Delete { .. } => None,
            };
            (revision, changes.into_iter().filter_map(put).collect())
        }
    };
    let newer = found.into_iter().filter(|object| object.revision > after);
    let step = |object: Object| {
        let step = object.path.strip_prefix(&*prefix)?.parse().ok()?;
        let trainer = trainer.clone();
        let record = parse(&object).ok()?;
        Some((StepKey { trainer, step }, (object.revision, record)))
    };
    Ok((revision, newer.filter_map(step).collect()))
}

/// Lists the groups of a step.
pub(super) fn groups(objects: &dyn ObjectPort, key: &StepKey) -> Result<Vec<Stored>, ObjectError> {
    let prefix = prefix(&key.trainer, key.step);
    let listing = objects.list(&prefix)?;
    let group = |object: Object| {
        let group = object.path.strip_prefix(&*prefix)?.parse().ok()?;
        Some(parse(&object).map(|record| (key.group(group), object.revision, record)))
    };
    listing.objects.into_iter().filter_map(group).collect()
}

/// Reads one group. Returns none if it is not stored.
pub(super) fn group(
    objects: &dyn ObjectPort,
    path: &str,
) -> Result<Option<(Revision, GroupRecord)>, ObjectError> {
    let object = objects.get(path)?;
    let read = |object: Object| Ok((object.revision, parse(&object)?));
    object.map(read).transpose()
}

/// Writes one group if its stored state is the expected one.
pub(super) fn write(objects: &dyn ObjectPort, write: &GroupWrite) -> Result<Revision, ObjectError> {
    let value = serde_json::to_string(&write.record);
    let value = value.map_err(|e| ObjectError::Invalid(e.to_string()))?;
    objects.put(&write.path, &value, write.expect)
}

/// Delivers the recorded groups of a step and builds the answer to a poll.
pub(super) fn deliver(
    objects: &dyn ObjectPort,
    key: &StepKey,
    record: &StepRecord,
    after: Revision,
    version: WeightVersion,
) -> Result<PollOutcome, ObjectError> {
    let limit = record.staleness_limit(version);
    let (mut delivered, mut expired, mut wrote) = (0, 0, false);
    let mut stored = groups(objects, key)?;
    for (id, revision, group) in &stored {
        if group.state != GroupState::Recorded {
            continue;
        }
        let update = Group::recorded(id.clone(), *revision, group.clone()).deliver(limit);
        wrote = true;
        match (write(objects, &update), update.record.state) {
            (Ok(_), GroupState::Delivered) => delivered += 1,
            (Ok(_), _) => expired += 1,
            // The listing below shows the stored state. A group that was not written is delivered
            // by a later poll.
            (Err(_), _) => {}
        }
    }
    if wrote {
        stored = groups(objects, key)?;
    }
    let delivery = answer(record, stored, after, version);
    Ok(PollOutcome {
        delivery,
        delivered,
        expired,
    })
}

/// Builds the answer to a poll from one listing.
fn answer(
    record: &StepRecord,
    stored: Vec<Stored>,
    after: Revision,
    version: WeightVersion,
) -> Delivery {
    let delivered = |group: &&Stored| group.2.state == GroupState::Delivered;
    let done = stored.iter().filter(delivered).count() == record.groups.len();
    let ids = stored.iter().map(|(id, rev, _)| (id.clone(), *rev));
    let revisions: BTreeMap<GroupId, Revision> = ids.collect();
    let reply = answer_poll(stored, after, record.staleness_limit(version));
    let named = |(id, group): (GroupId, GroupRecord)| {
        Some(DeliveredGroup {
            group: record.groups.get(id.group as usize)?.group.clone(),
            revision: *revisions.get(&id)?,
            samples: group.samples,
        })
    };
    Delivery {
        groups: reply.groups.into_iter().filter_map(named).collect(),
        next: reply.cursor,
        done,
    }
}

fn parse<T: DeserializeOwned>(object: &Object) -> Result<T, ObjectError> {
    serde_json::from_str(&object.value).map_err(|e| {
        let path = &object.path;
        emit(Event::StepUnreadable, &[("path", path), ("error", &e)]);
        ObjectError::Invalid(format!("the object {path} cannot be read: {e}"))
    })
}

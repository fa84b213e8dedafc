//! Reads and writes teams' trees in the object API.

use sardinepath_core::decision::config::apply::Ready;
use sardinepath_core::decision::config::apply::Stored;
use sardinepath_core::decision::config::apply::Update;
use sardinepath_core::domain::declare::TeamTree;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;

use crate::operate::report::OperateError;

/// Prefix of the objects that hold the teams' trees.
const PREFIX: &str = "config/";

/// Reads the trees of all teams with their revisions.
pub(crate) fn read_all(objects: &dyn ObjectPort) -> Result<Stored, OperateError> {
    let listing = objects.list(PREFIX).map_err(OperateError::Platform)?;
    let teams = listing.objects.iter().filter_map(|object| {
        let team = TeamName::from(object.path.strip_prefix(PREFIX)?);
        Some(decode(&team, object).map(|tree| (team, (object.revision, tree))))
    });
    teams.collect()
}

/// Reads the tree of a team with its revision. Returns none if the team is not stored.
pub(crate) fn read(
    team: &TeamName,
    objects: &dyn ObjectPort,
) -> Result<Option<(Revision, TeamTree)>, OperateError> {
    let object = objects.get(&path(team)).map_err(OperateError::Platform)?;
    let decoded = object.map(|object| Ok((object.revision, decode(team, &object)?)));
    decoded.transpose()
}

/// Reads the stored tree of a team after the answer to an update was lost.
pub(crate) fn read_back(
    team: &TeamName,
    objects: &dyn ObjectPort,
) -> Result<Option<(Revision, TeamTree)>, ObjectError> {
    read(team, objects).map_err(|e| match e {
        OperateError::Platform(e) => e,
        other => ObjectError::Unknown(other.to_string()),
    })
}

/// Writes the tree of an update if the stored revision is the expected one.
pub(crate) fn write(
    update: &Update<Ready>,
    objects: &dyn ObjectPort,
) -> Result<Revision, ObjectError> {
    let text = serde_json::to_string(update.tree())
        .map_err(|e| ObjectError::Invalid(format!("the declarations cannot be encoded: {e}")))?;
    objects.put(&path(update.team()), &text, update.expect())
}

fn path(team: &TeamName) -> String {
    format!("{PREFIX}{team}")
}

fn decode(team: &TeamName, object: &Object) -> Result<TeamTree, OperateError> {
    serde_json::from_str(&object.value).map_err(|source| OperateError::Stored {
        team: team.clone(),
        source,
    })
}

//! The operator commands. They use only the object API and no running process.

pub mod file;
pub mod report;
mod stored;

use std::path::Path;

use sardinepath_core::decision::config::apply::Apply;
use sardinepath_core::decision::config::apply::Checked;
use sardinepath_core::decision::config::apply::Planned;
use sardinepath_core::decision::config::apply::Ready;
use sardinepath_core::decision::config::apply::Settled;
use sardinepath_core::decision::config::apply::Step;
use sardinepath_core::decision::config::apply::Stored;
use sardinepath_core::decision::config::apply::Update;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::port::object::ObjectPort;
use serde_json::Value;

use crate::operate::file::DeclarationFile;
use crate::operate::report::Applied;
use crate::operate::report::OperateError;
use crate::operate::report::PathListing;
use crate::operate::report::PlannedChanges;
use crate::operate::report::StoredValue;
use crate::operate::report::TeamOutcome;

/// Checks a declaration file on its own and, if `objects` is given, against all stored
/// declarations.
pub fn check(file: &Path, objects: Option<&dyn ObjectPort>) -> Result<(), OperateError> {
    let file = DeclarationFile::open(file)?;
    let stored = match objects {
        Some(objects) => stored::read_all(objects)?,
        None => Stored::new(),
    };
    check_file(&file, &stored).map(drop)
}

/// Applies a declaration file by one conditional update for each team that changes.
///
/// Fails without a change if a fault or a conflict is found before the first update. Updates are
/// sent in the order of the teams' names, and none is sent after one that was not applied.
pub fn apply(file: &Path, objects: &dyn ObjectPort) -> Result<Applied, OperateError> {
    let planned = plan_file(file, objects)?;
    let mut teams = Vec::new();
    let mut proceed = true;
    for update in planned.updates() {
        let settled = proceed.then(|| send_update(update.clone(), objects));
        proceed = matches!(settled, Some(Settled::Applied(_)));
        teams.push(TeamOutcome {
            team: update.team().clone(),
            differences: update.differences().to_vec(),
            settled,
        });
    }
    Ok(Applied { teams })
}

/// Returns the changes that an apply of a declaration file would make now.
pub fn diff(file: &Path, objects: &dyn ObjectPort) -> Result<PlannedChanges, OperateError> {
    let planned = plan_file(file, objects)?;
    let updates = planned.updates().iter();
    let differences = updates.flat_map(|update| update.differences().to_vec());
    Ok(PlannedChanges {
        differences: differences.collect(),
    })
}

/// Reads a team (`teams/{team}`) or one declaration (`teams/{team}/{kind}/{name}`). Fails if the
/// path does not exist.
pub fn get(path: &str, objects: &dyn ObjectPort) -> Result<StoredValue, OperateError> {
    let missing = || OperateError::NoPath(path.to_owned());
    let mut steps = path.split('/');
    let (Some("teams"), Some(team)) = (steps.next(), steps.next()) else {
        return Err(missing());
    };
    let team = TeamName::from(team);
    let (revision, tree) = stored::read(&team, objects)?.ok_or_else(missing)?;
    let root = serde_json::to_value(tree).map_err(OperateError::encode)?;
    let value = steps.try_fold(&root, |value: &Value, step| value.get(step));
    let value = value.ok_or_else(missing)?.clone();
    Ok(StoredValue { revision, value })
}

/// Lists the paths of all teams and declarations that start with a prefix.
pub fn list(prefix: &str, objects: &dyn ObjectPort) -> Result<PathListing, OperateError> {
    let mut entries = Vec::new();
    for (team, (revision, tree)) in stored::read_all(objects)? {
        let root = format!("teams/{team}");
        let path = |kind, name: &str| format!("{root}/{kind}/{name}");
        let mut paths = vec![root.clone()];
        paths.extend(tree.keys.keys().map(|n| path("keys", n.as_str())));
        paths.extend(tree.pools.keys().map(|n| path("pools", n.as_str())));
        paths.extend(tree.routes.keys().map(|n| path("routes", n.as_str())));
        let workspaces = tree.workspaces.keys();
        paths.extend(workspaces.map(|n| path("workspaces", n.as_str())));
        paths.retain(|path| path.starts_with(prefix));
        entries.extend(paths.into_iter().map(|path| (path, revision)));
    }
    Ok(PathListing { entries })
}

fn plan_file(file: &Path, objects: &dyn ObjectPort) -> Result<Apply<Planned>, OperateError> {
    let file = DeclarationFile::open(file)?;
    let stored = stored::read_all(objects)?;
    let checked = check_file(&file, &stored)?;
    checked.plan(&stored).map_err(OperateError::Conflict)
}

fn check_file(file: &DeclarationFile, stored: &Stored) -> Result<Apply<Checked>, OperateError> {
    let mut faults = file.oversized();
    let draft = Apply::new(file.teams().clone(), file.base().clone());
    match draft.check(stored) {
        Ok(checked) if faults.is_empty() => return Ok(checked),
        Ok(_) => {}
        Err(found) => faults.extend(found.into_iter().map(|fault| file.locate(fault))),
    }
    Err(OperateError::Faults(faults))
}

/// Sends one update, repeating it and reading it back until its outcome is known.
fn send_update(update: Update<Ready>, objects: &dyn ObjectPort) -> Settled {
    let mut update = update;
    loop {
        let answer = stored::write(&update, objects);
        let unsure = match update.answered(answer) {
            Step::Settled(settled) => return settled,
            Step::SendAgain(again) => {
                update = again;
                continue;
            }
            Step::ReadBack(unsure) => unsure,
        };
        let found = stored::read_back(unsure.team(), objects);
        match unsure.read_back(found) {
            Step::Settled(settled) => return settled,
            Step::SendAgain(again) => update = again,
            Step::ReadBack(_) => {
                return Settled::Unknown("the stored declarations could not be read".to_owned());
            }
        }
    }
}

//! Runs the operator commands and prints their results.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;

use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_node::operate;
use sardinepath_node::operate::report::OperateError;

use crate::cli::Exit;
use crate::print_error;

/// Validates a declarations file, also against the stored declarations if an object API is given.
pub fn check(file: &Path, objects: Option<SocketAddr>) -> Exit {
    let objects = objects.map(HttpObjects::new);
    let port = objects.as_ref().map(|objects| objects as &dyn ObjectPort);
    match operate::check(file, port) {
        Ok(()) => {
            println!("{}: valid declarations", file.display());
            Exit::Done
        }
        Err(e) => print_operate_error(&e),
    }
}

/// Applies a declarations file and prints the result of each team.
pub fn apply(file: &Path, objects: SocketAddr) -> Exit {
    match operate::apply(file, &HttpObjects::new(objects)) {
        Ok(applied) => {
            print!("{applied}");
            if applied.is_complete() {
                Exit::Done
            } else {
                Exit::Failed
            }
        }
        Err(e) => print_operate_error(&e),
    }
}

/// Prints what applying a declarations file would change.
pub fn diff(file: &Path, objects: SocketAddr) -> Exit {
    print_result(operate::diff(file, &HttpObjects::new(objects)))
}

/// Prints a team or a single declaration.
pub fn get(path: &str, objects: SocketAddr) -> Exit {
    print_result(operate::get(path, &HttpObjects::new(objects)))
}

/// Prints the paths of all declarations that start with the prefix.
pub fn list(prefix: &str, objects: SocketAddr) -> Exit {
    print_result(operate::list(prefix, &HttpObjects::new(objects)))
}

fn print_result(result: Result<impl Display, OperateError>) -> Exit {
    match result {
        Ok(found) => {
            print!("{found}");
            Exit::Done
        }
        Err(e) => print_operate_error(&e),
    }
}

/// Prints an error and returns its exit code: `Usage` for faults of the file, otherwise `Failed`.
fn print_operate_error(error: &OperateError) -> Exit {
    let exit = match error {
        OperateError::File { .. } | OperateError::Faults(_) => Exit::Usage,
        _ => Exit::Failed,
    };
    print_error(error, exit)
}

//! Runs the operator commands and prints their results.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;

use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_node::operate;
use sardinepath_node::operate::report::OperateError;

use crate::cli::Exit;
use crate::report;

/// Checks a file of declarations.
pub fn check(file: &Path, objects: Option<SocketAddr>) -> Exit {
    let objects = objects.map(HttpObjects::new);
    let port = objects.as_ref().map(|objects| objects as &dyn ObjectPort);
    match operate::check(file, port) {
        Ok(()) => {
            println!("{}: correct declarations", file.display());
            Exit::Done
        }
        Err(e) => failed(&e),
    }
}

/// Applies a file of declarations.
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
        Err(e) => failed(&e),
    }
}

/// Shows what an apply would change.
pub fn diff(file: &Path, objects: SocketAddr) -> Exit {
    show(operate::diff(file, &HttpObjects::new(objects)))
}

/// Shows a declaration.
pub fn get(path: &str, objects: SocketAddr) -> Exit {
    show(operate::get(path, &HttpObjects::new(objects)))
}

/// Lists declarations.
pub fn list(prefix: &str, objects: SocketAddr) -> Exit {
    show(operate::list(prefix, &HttpObjects::new(objects)))
}

fn show(result: Result<impl Display, OperateError>) -> Exit {
    match result {
        Ok(found) => {
            print!("{found}");
            Exit::Done
        }
        Err(e) => failed(&e),
    }
}

/// Prints an error. Faults of the file count as wrong input, all others as a failure.
fn failed(error: &OperateError) -> Exit {
    let exit = match error {
        OperateError::File { .. } | OperateError::Faults(_) => Exit::Usage,
        _ => Exit::Failed,
    };
    report(error, exit)
}

//! Command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Args;
use bpaf::Bpaf;
use bpaf::ParseFailure;
use log::LevelFilter;

/// Width of help texts in characters.
const HELP_WIDTH: usize = 100;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded. Code 0.
    Done,
    /// The command failed while it was running. Code 1.
    Failed,
    /// The command line, the settings or the declarations are invalid. Code 2.
    Usage,
}

/// Rollout service for reinforcement learning.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer("Exit codes: 0 success, 1 failure while running, 2 invalid command line or settings.")
)]
pub enum Command {
    /// Run an entry, which accepts requests from callers
    #[bpaf(command)]
    Entry {
        /// Settings file of an entry, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Minimum severity of logged events: error, warn, info or debug
        #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
    /// Run an agent, which connects the entries to a target
    #[bpaf(command)]
    Agent {
        /// Settings file of an agent, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Minimum severity of logged events: error, warn, info or debug
        #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
    /// Run a gateway, which accepts requests on the platform and runs batch jobs
    #[bpaf(command)]
    Gateway {
        /// Settings file in the platform's format, JSON
        #[bpaf(env("SARDINEPATH_BOOT"), argument("FILE"))]
        settings: PathBuf,
        /// Port on which metrics are served
        #[bpaf(argument("PORT"), optional)]
        metrics: Option<u16>,
        /// Minimum severity of logged events: error, warn, info or debug
        #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
    /// Run the standby role, which answers requests to drain a store host of the platform
    #[bpaf(command)]
    Standby {
        /// Settings file in the platform's format, JSON
        #[bpaf(env("SARDINEPATH_BOOT"), argument("FILE"))]
        settings: PathBuf,
        /// Minimum severity of logged events: error, warn, info or debug
        #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
    /// Run the whole system on loopback in one process, with stand-ins, and check its guarantees
    #[bpaf(command)]
    Demo {
        /// Print one JSON object
        json: bool,
    },
    /// Validate a settings or declarations file without starting or changing anything
    #[bpaf(command)]
    Check {
        /// Object API whose stored declarations a declarations file is checked against as well
        #[bpaf(argument("ADDRESS"), optional)]
        objects: Option<SocketAddr>,
        /// Settings file, recognised by the field `role`, or declarations file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Apply a declarations file; each team is applied completely or not at all
    #[bpaf(command)]
    Apply {
        /// Address of the object API
        #[bpaf(argument("ADDRESS"))]
        objects: SocketAddr,
        /// Declarations file, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what applying a declarations file would change
    #[bpaf(command)]
    Diff {
        /// Address of the object API
        #[bpaf(argument("ADDRESS"))]
        objects: SocketAddr,
        /// Declarations file, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print a team or a single declaration
    #[bpaf(command)]
    Get {
        /// Address of the object API
        #[bpaf(argument("ADDRESS"))]
        objects: SocketAddr,
        /// Path of the form `teams/TEAM` or `teams/TEAM/KIND/NAME`
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Print the paths of all declarations
    #[bpaf(command)]
    List {
        /// Address of the object API
        #[bpaf(argument("ADDRESS"))]
        objects: SocketAddr,
        /// Print only paths that start with this prefix
        #[bpaf(positional("PREFIX"), fallback(String::new()))]
        prefix: String,
    },
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::from(0),
            Exit::Failed => Self::from(1),
            Exit::Usage => Self::from(2),
        }
    }
}

/// Parses the command line. Prints help, the version or the parse error and returns the exit code
/// if there is no command to run.
pub fn parse() -> Result<Command, Exit> {
    command()
        .run_inner(Args::current_args())
        .map_err(|failure| {
            failure.print_message(HELP_WIDTH);
            match failure {
                ParseFailure::Stderr(_) => Exit::Usage,
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done,
            }
        })
}

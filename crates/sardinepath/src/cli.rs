//! Command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Args;
use bpaf::Bpaf;
use bpaf::ParseFailure;
use log::LevelFilter;

/// Width of help texts in characters.
const WIDTH: usize = 100;

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command did its work.
    Done,
    /// The command failed while it was running.
    Failed,
    /// The command line or the settings are wrong.
    Usage,
}

/// Rollout service for reinforcement learning.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer("Exit codes: 0 done, 1 failed while running, 2 wrong command line or settings.")
)]
pub enum Command {
    /// Serve callers
    #[bpaf(command)]
    Entry {
        /// Settings file of an entry, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Least severe log events: error, warn, info or debug
        #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
    /// Serve entries beside a target
    #[bpaf(command)]
    Agent {
        /// Settings file of an agent, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Least severe log events: error, warn, info or debug
        #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
    /// Serve callers on the platform and run their batch jobs
    #[bpaf(command)]
    Gateway {
        /// Settings file in the platform's format, JSON
        #[bpaf(env("SARDINEPATH_BOOT"), argument("FILE"))]
        settings: PathBuf,
        /// Port on which metrics are served
        #[bpaf(argument("PORT"), optional)]
        metrics: Option<u16>,
        /// Least severe log events: error, warn, info or debug
        #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
    /// Answer requests to empty a store host of the platform
    #[bpaf(command)]
    Standby {
        /// Settings file in the platform's format, JSON
        #[bpaf(env("SARDINEPATH_BOOT"), argument("FILE"))]
        settings: PathBuf,
        /// Least severe log events: error, warn, info or debug
        #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
    /// Run the whole path on the loopback in one process, with stand-ins, and check its promises
    #[bpaf(command)]
    Demo {
        /// Print one JSON object
        json: bool,
    },
    /// Check a file of settings or of declarations without starting or changing anything
    #[bpaf(command)]
    Check {
        /// Object API against whose declarations a file of declarations is checked too
        #[bpaf(argument("ADDRESS"), optional)]
        objects: Option<SocketAddr>,
        /// Settings, which have the field `role`, or declarations
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a file of declarations in force, each team wholly or not at all
    #[bpaf(command)]
    Apply {
        /// Address of the object API
        #[bpaf(argument("ADDRESS"))]
        objects: SocketAddr,
        /// Declarations, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what an apply of a file of declarations would change
    #[bpaf(command)]
    Diff {
        /// Address of the object API
        #[bpaf(argument("ADDRESS"))]
        objects: SocketAddr,
        /// Declarations, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show a team or one declaration
    #[bpaf(command)]
    Get {
        /// Address of the object API
        #[bpaf(argument("ADDRESS"))]
        objects: SocketAddr,
        /// `teams/TEAM` or `teams/TEAM/KIND/NAME`
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// List the paths of all declarations
    #[bpaf(command)]
    List {
        /// Address of the object API
        #[bpaf(argument("ADDRESS"))]
        objects: SocketAddr,
        /// Only paths that start with this prefix
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

/// Parses the command line. Help, the version and faults are printed here.
pub fn parse() -> Result<Command, Exit> {
    command()
        .run_inner(Args::current_args())
        .map_err(|failure| {
            failure.print_message(WIDTH);
            match failure {
                ParseFailure::Stderr(_) => Exit::Usage,
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done,
            }
        })
}

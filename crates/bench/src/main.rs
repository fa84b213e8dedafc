//! Measuring program for sardinepath.

mod path;

use bpaf::Bpaf;

use crate::path::PathBench;
use crate::path::path_bench;

/// Measurements of sardinepath.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Measure the path from callers to targets
    #[bpaf(command)]
    Path(#[bpaf(external(path_bench))] PathBench),
}

fn main() -> anyhow::Result<()> {
    match command().run() {
        Command::Path(options) => path::run(&options),
    }
}

//! Entry point of the benchmark program.

use sardinepath_bench::cli;

fn main() -> anyhow::Result<()> {
    let command = cli::command().run();
    cli::run(&command)
}

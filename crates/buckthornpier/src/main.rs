//! The `buckthornpier` binary: the node daemons, the operator commands and a demonstration.

mod commands;
mod demo;
mod exits;
mod explain;
mod logs;
mod output;

use std::process;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> process::ExitCode {
    commands::run()
}

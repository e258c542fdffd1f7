//! The `buckthornpier` command: the node daemon, the operator's commands and a first look.

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

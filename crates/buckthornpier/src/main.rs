//! The `buckthornpier` command.

fn main() {}

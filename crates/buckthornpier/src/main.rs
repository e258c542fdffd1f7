//! The `buckthornpier` command.

use std::path;

/// The allocator of the whole program.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> anyhow::Result<()> {
    let settings = clap::Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true);
    let node = clap::Command::new("node")
        .about("Runs a node")
        .arg(settings);
    let matches = clap::Command::new("buckthornpier")
        .subcommand_required(true)
        .subcommand(node)
        .get_matches();
    let Some(("node", matches)) = matches.subcommand() else {
        return Ok(());
    };
    let file = matches.get_one::<String>("settings");
    let file = file.map_or("", String::as_str);
    pier_node::run(path::Path::new(file))
}

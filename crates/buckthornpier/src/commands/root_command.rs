//! The top-level command and its subcommands.

use clap::Command;

use crate::commands::{
    config_apply, config_check, config_diff, config_show, demo_command, drain_command,
    edge_command, explain_command, groups_command, node_command, status_command,
};

/// Name of the command whose subcommands work on the configuration document.
pub(crate) const CONFIG: &str = "config";

const EXIT_CODES: &str = "\
Exit codes:
  0  done; a change is accepted and known to have taken effect
  1  something else went wrong; nothing was changed
  2  the command line, a file or a document is refused; nothing was changed
  3  another change came first; nothing was changed, and what it changed is shown
  4  the platform or node is away; nothing was changed
  5  a change may have taken effect; look with `config show` before doing it again";

/// Builds the top-level command.
pub(crate) fn build() -> Command {
    Command::new("buckthornpier")
        .about("Serves language models that span several VMs")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(node_command::build())
        .subcommand(edge_command::build())
        .subcommand(build_config())
        .subcommands(drain_command::build())
        .subcommand(status_command::build())
        .subcommand(groups_command::build())
        .subcommand(explain_command::build())
        .subcommand(demo_command::build())
}

fn build_config() -> Command {
    Command::new(CONFIG)
        .about("Checks, shows, compares and applies the configuration document")
        .after_help(
            "To change the document:\n  \
             buckthornpier config show --platform URL > mine.ini\n  \
             (edit mine.ini)\n  \
             buckthornpier config diff mine.ini --platform URL\n  \
             buckthornpier config apply mine.ini --platform URL",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(config_check::build())
        .subcommand(config_show::build())
        .subcommand(config_diff::build())
        .subcommand(config_apply::build())
}

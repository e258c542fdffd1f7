//! `buckthornpier drain` and `buckthornpier undrain`.

use std::{fmt, str};

use clap::{Arg, ArgAction, ArgMatches, Command};
use pier_config::{apply, documents, edits};

use crate::{
    commands::{apply_driver, platform_access},
    exits,
};

/// Name of the command that takes a data centre or target out of service.
pub(crate) const DRAIN: &str = "drain";
/// Name of the command that returns one to service.
pub(crate) const UNDRAIN: &str = "undrain";

const DATA_CENTRE: &str = "data-centre";
const TARGET: &str = "target";

/// Builds both commands.
pub(crate) fn build() -> [Command; 2] {
    let drain = Command::new(DRAIN)
        .about(
            "Takes a data centre or a target out of service; requests in progress are not cut off",
        )
        .subcommand(
            build_subcommand(DATA_CENTRE, "Takes a data centre out of service").arg(
                Arg::new("even-last")
                    .long("even-last")
                    .action(ArgAction::SetTrue)
                    .help("Drain it even if no other data centre is in service"),
            ),
        )
        .subcommand(
            build_subcommand(TARGET, "Takes one VM out of service").arg(
                Arg::new("reason")
                    .long("reason")
                    .value_name("TEXT")
                    .default_value("drained by an operator")
                    .help("Reason, shown to other operators"),
            ),
        );
    let undrain = Command::new(UNDRAIN)
        .about("Returns a data centre or a target to service; its load rises step by step")
        .subcommand(build_subcommand(
            DATA_CENTRE,
            "Returns a data centre to service",
        ))
        .subcommand(build_subcommand(TARGET, "Returns one VM to service"));
    [drain, undrain].map(|command| {
        command
            .subcommand_required(true)
            .arg_required_else_help(true)
    })
}

fn build_subcommand(name: &'static str, about: &'static str) -> Command {
    let argument = Arg::new("name")
        .value_name("NAME")
        .required(true)
        .help("Name, as `status` shows it");
    platform_access::add_arguments(Command::new(name).about(about).arg(argument))
}

/// Takes a data centre or a target out of service.
pub(crate) fn run_drain(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    match matches.subcommand() {
        Some((DATA_CENTRE, matches)) => {
            let edit = edits::DocumentEdit::DataCentre {
                name: read_name(matches)?,
                state: documents::DataCentreState::OutOfService,
                even_last: matches.get_flag("even-last"),
            };
            apply_driver::run(matches, apply::ApplyChange::Edit(edit))
        }
        Some((TARGET, matches)) => {
            let reason = matches.get_one::<String>("reason");
            let edit = edits::DocumentEdit::DrainTarget {
                vm: read_name(matches)?,
                reason: reason.cloned().unwrap_or_default(),
            };
            apply_driver::run(matches, apply::ApplyChange::Edit(edit))
        }
        _ => Err(exits::CommandFailure::bad_input("no such command")),
    }
}

/// Returns a data centre or a target to service.
pub(crate) fn run_undrain(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    match matches.subcommand() {
        Some((DATA_CENTRE, matches)) => {
            let edit = edits::DocumentEdit::DataCentre {
                name: read_name(matches)?,
                state: documents::DataCentreState::InService,
                even_last: false,
            };
            apply_driver::run(matches, apply::ApplyChange::Edit(edit))
        }
        Some((TARGET, matches)) => {
            let vm = read_name(matches)?;
            let edit = edits::DocumentEdit::UndrainTarget { vm };
            apply_driver::run(matches, apply::ApplyChange::Edit(edit))
        }
        _ => Err(exits::CommandFailure::bad_input("no such command")),
    }
}

fn read_name<T>(matches: &ArgMatches) -> Result<T, exits::CommandFailure>
where
    T: str::FromStr,
    T::Err: fmt::Display,
{
    let name = matches.get_one::<String>("name");
    let name = name.map_or("", String::as_str);
    name.parse().map_err(exits::CommandFailure::bad_input)
}

//! `buckthornpier config apply`.

use clap::{Arg, ArgMatches, Command, value_parser};
use pier_config::apply;
use pier_types::epochs;

use crate::{
    commands::{apply_driver, config_check, platform_access, version_line},
    exits,
};

/// Name of the command.
pub(crate) const NAME: &str = "apply";

/// Builds the command.
pub(crate) fn build() -> Command {
    let base = Arg::new("base")
        .long("base")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Version that was edited; 0 for the first document [default: from the first line]");
    let command = Command::new(NAME)
        .about("Replaces the document if its version is still the one that was edited")
        .after_help(
            "The command prints \"accepted\" only when the document is known to be in place. If another\n\
             change came first, it shows what that changed and ends with exit code 3.",
        )
        .arg(config_check::file_argument())
        .arg(base);
    platform_access::add_arguments(command)
}

/// Replaces the current document with the file.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let file_text = config_check::read_file(matches)?;
    let (shown_base, text) = version_line::split(&file_text);
    let explicit_base = matches.get_one::<u64>("base").copied();
    let explicit_base = explicit_base.map(epochs::ConfigVersion::new);
    let Some(base) = explicit_base.or(shown_base) else {
        let text = "no base: give --base VERSION, or edit what `config show` printed";
        return Err(exits::CommandFailure::bad_input(text));
    };
    let change = apply::ApplyChange::Replace {
        text: text.to_owned(),
        base,
    };
    apply_driver::run(matches, change)
}

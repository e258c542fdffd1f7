//! The command line of `pier-fakes`.

mod arguments;
mod run;

pub use run::run;

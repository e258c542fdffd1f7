//! Each file in `tests/refused` is refused with exactly the faults that its first lines list.

use std::path;

use pier_config::documents;

/// Prefix of a line that gives an expected fault.
const EXPECTATION: &str = "# fault: ";

fn check_refusal(path: &path::Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = text
        .lines()
        .filter_map(|line| line.strip_prefix(EXPECTATION));
    let expected = expected.map(str::to_owned).collect::<Vec<_>>();
    let found = match text.parse::<documents::ConfigDocument>() {
        Ok(_document) => Vec::new(),
        Err(error) => error.faults.iter().map(ToString::to_string).collect(),
    };
    if found.is_empty() || found != expected {
        return Err(format!("found {found:#?}, expected {expected:#?}").into());
    }
    Ok(())
}

fn check_sample(path: &path::Path) -> datatest_stable::Result<()> {
    std::fs::read_to_string(path)?.parse::<documents::ConfigDocument>()?;
    Ok(())
}

datatest_stable::harness! {
    { test = check_refusal, root = "tests/refused", pattern = r"\.ini$" },
    { test = check_sample, root = "../../examples", pattern = r"^[^n].*\.ini$" },
}

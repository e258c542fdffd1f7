//! Renders the page of result codes as Markdown.

use pier_types::codes;

const HEAD: &str = "\
# Result codes

Written by `cargo run -q -p pier_types --example result_codes > docs/RESULT-CODES.md`; a test keeps it in step.

Every refusal or failure carries one of these numbers in its body ([INTERFACES.md](INTERFACES.md)). The outcome is what
the code says of the request by itself; a body may say more. `not-run`: the request did not run. `unknown`: it may have
run, wholly or partly. `ran-failed`: it ran, and the target answered with a failure.

| code | name | HTTP status | outcome | meaning |
|---|---|---|---|---|
";

const TAIL: &str = "
The 5000s are also told by the command line, with these exit codes:

| exit code | meaning |
|---|---|
| 0 | done; a change is accepted and known to have taken effect |
| 1 | something else went wrong; nothing was changed |
| 2 | the command line, a file or a document is refused (5002); nothing was changed |
| 3 | another change came first (5001); nothing was changed, and what it changed is shown |
| 4 | the platform or a node is away; nothing was changed |
| 5 | a change may have taken effect (5003); look with `config show` before doing it again |
";

/// Returns the whole page.
pub fn render() -> String {
    let lines = codes::ResultCode::ALL.iter().map(|code| {
        format!(
            "| {} | `{code:?}` | {} | {} | {} |\n",
            code.number(),
            code.http_status(),
            code.outcome(),
            code.meaning()
        )
    });
    let table = lines.collect::<String>();
    format!("{HEAD}{table}{TAIL}")
}

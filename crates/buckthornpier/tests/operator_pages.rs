//! The commands on the operators' pages end with the exit codes that the pages give.
//!
//! The lines of a page's `sh` blocks are run in order by a shell, against a fake platform and a
//! node. A line with the comment `# exits with N` must exit with N, every other line with 0.

mod support;

use std::{env, fs, path, process};

/// Comment on a page that gives the exit code of its line.
const EXIT_CODE_COMMENT: &str = "  # exits with ";

fn page_commands(page: &str) -> Vec<(String, i32)> {
    let mut blocks = page.split("```sh\n").skip(1);
    let mut commands = Vec::new();
    for block in blocks.by_ref() {
        let (block, _rest) = block.split_once("```").unwrap();
        for line in block.lines() {
            let (line, code) = line.split_once(EXIT_CODE_COMMENT).unwrap_or((line, "0"));
            commands.push((line.to_owned(), code.parse().unwrap()));
        }
    }
    commands
}

fn run_command(line: &str, folder: &path::Path, variables: &[(&str, &str)]) -> process::Output {
    let binary = path::Path::new(env!("CARGO_BIN_EXE_buckthornpier"));
    let path = format!(
        "{}:{}",
        binary.parent().unwrap().display(),
        env::var("PATH").unwrap()
    );
    let mut shell = process::Command::new("sh");
    shell
        .args(["-c", line])
        .current_dir(folder)
        .env("PATH", path);
    shell.envs(variables.iter().copied()).output().unwrap()
}

async fn run_page(name: &str) {
    let page = format!(
        "{}/../../docs/operators/{name}.md",
        env!("CARGO_MANIFEST_DIR")
    );
    let page = fs::read_to_string(page).unwrap();
    let (_server, platform) = if name == "install-and-settings" {
        support::platform().await
    } else {
        support::platform_with_sample(name).await
    };
    let node = support::LoggedNode::start(name, "node", &platform, "");
    let examples = format!("{}/../../examples", env!("CARGO_MANIFEST_DIR"));
    let operators = node.operators.to_string();
    let variables = [
        ("PLATFORM", platform.as_str()),
        ("NODE", &operators),
        ("EXAMPLES", &examples),
    ];
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let commands = page_commands(&page);
    assert!(!commands.is_empty());
    for (line, code) in commands {
        let output = run_command(&line, &folder, &variables);
        assert_eq!(output.status.code(), Some(code), "{line}: {output:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn install_and_settings() {
    run_page("install-and-settings").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_out_and_back() {
    run_page("data-centre-out-and-back").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_away() {
    run_page("platform-away").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_configuration() {
    run_page("refused-configuration").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn night() {
    run_page("night").await;
}

#[test]
fn sample_settings_are_valid() {
    for name in ["node-scot-central-a.ini", "node-mvd-a.ini"] {
        let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
        pier_node::settings::NodeSettings::load(path::Path::new(&path)).unwrap();
    }
}

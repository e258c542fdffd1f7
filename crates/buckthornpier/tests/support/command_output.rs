//! Runs commands of the built binary against fake platforms.

use std::{fs, path, process};

use pier_fakes::platform;

/// The sample configuration document.
pub const SAMPLE: &str = include_str!("../../../../examples/laurel-north.ini");

/// The exit code and output of a command.
#[derive(Debug)]
pub struct CommandOutput {
    /// The exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

/// Prepares a command of the built binary.
pub fn command(arguments: &[&str]) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_buckthornpier"));
    command.args(arguments);
    command
}

/// Runs a command of the built binary and waits for its exit.
pub fn run(arguments: &[&str]) -> CommandOutput {
    let output = command(arguments).output().unwrap();
    CommandOutput {
        code: output.status.code().unwrap_or(-1),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs a command and asserts its exit code.
pub fn expect(code: i32, arguments: &[&str]) -> CommandOutput {
    let output = run(arguments);
    assert_eq!(output.code, code, "{arguments:?}: {output:?}");
    output
}

/// Writes a file into the folder of a test and returns its path.
pub fn file(test: &str, name: &str, content: &str) -> String {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join(name);
    fs::write(&path, content).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Starts a fake platform and returns it with its URL.
pub async fn platform() -> (platform::FakePlatform, String) {
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    let url = format!("http://{}", server.address());
    (server, url)
}

/// Starts a fake platform that holds the sample document as version 1.
pub async fn platform_with_sample(test: &str) -> (platform::FakePlatform, String) {
    let (server, url) = platform().await;
    let sample = file(test, "sample.ini", SAMPLE);
    let output = expect(
        0,
        &[
            "config",
            "apply",
            &sample,
            "--base",
            "0",
            "--platform",
            &url,
        ],
    );
    assert_eq!(output.out, "accepted: version 1\n");
    (server, url)
}

/// Returns the number of writes of the document that took effect.
pub fn effective_writes(server: &platform::FakePlatform) -> usize {
    let entries = server.record().entries();
    let writes = entries.iter().filter(|entry| {
        entry.method == "PUT" && entry.path == "objects/config/document" && entry.started
    });
    writes.count()
}

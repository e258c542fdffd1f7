//! A fake platform, engine or service as a process.

use std::{env, net, path, process, sync};

use pier_fakes::record;
use serde_json::{Value, json};

use crate::support;

/// A running fake, with access to its record and its faults.
#[derive(Debug)]
pub struct FakeProcess {
    /// The process.
    pub process: support::ChildProcess,
    /// The address for nodes.
    pub address: net::SocketAddr,
    control_url: String,
}

impl FakeProcess {
    /// Starts a fake on a port that the system chooses.
    pub async fn start(subcommand: &str, ip: net::Ipv4Addr, arguments: &[&str]) -> Self {
        let mut command = process::Command::new(fakes_binary());
        command
            .arg(subcommand)
            .arg("--listen")
            .arg(format!("{ip}:0"));
        command.args(arguments);
        let process = support::ChildProcess::start(&mut command);
        let address = process.announced("listening").parse().unwrap();
        let url = format!("http://{address}/control/address");
        let response: Value = get(&url).await;
        let control_url = format!("http://{}", response["control"].as_str().unwrap());
        Self {
            process,
            address,
            control_url,
        }
    }

    /// Sets a fault, or an array of faults.
    pub async fn set_fault(&self, fault: Value) {
        self.put("/control/fault", &fault).await;
    }

    /// Clears all faults.
    pub async fn clear_faults(&self) {
        let url = format!("{}/control/fault", self.control_url);
        let answer = support::client().delete(url).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }

    /// Replaces the VM list of a platform.
    pub async fn set_vms(&self, entries: &[Value]) {
        self.put("/control/vms", &json!(entries)).await;
    }

    /// Returns the record of all calls that reached the fake.
    pub async fn record(&self) -> Vec<record::RecordEntry> {
        get(&format!("{}/control/record", self.control_url)).await
    }

    /// Returns the records of calls that took effect and whose body contains a text.
    pub async fn runs_of(&self, text: &str) -> Vec<record::RecordEntry> {
        let mut entries = self.record().await;
        entries.retain(|entry| entry.started && entry.body_prefix.contains(text));
        entries
    }

    async fn put(&self, path: &str, value: &Value) {
        let url = format!("{}{path}", self.control_url);
        let answer = support::client().put(url).json(value).send();
        assert_eq!(answer.await.unwrap().status(), 200, "{value}");
    }
}

async fn get<T: serde::de::DeserializeOwned>(url: &str) -> T {
    let answer = support::client().get(url).send().await.unwrap();
    answer.json().await.unwrap()
}

/// Builds the binary of the fakes if necessary and returns its path, beside the product's binary.
fn fakes_binary() -> &'static path::Path {
    static BINARY: sync::OnceLock<path::PathBuf> = sync::OnceLock::new();
    BINARY.get_or_init(|| {
        let product = path::Path::new(env!("CARGO_BIN_EXE_buckthornpier"));
        let mut command = process::Command::new(env::var_os("CARGO").unwrap());
        command.args(["build", "--quiet", "--package", "pier_fakes"]);
        command.args(["--bin", "pier-fakes", "--offline"]);
        if !cfg!(debug_assertions) {
            command.arg("--release");
        }
        let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
        command.args(["--manifest-path", manifest]);
        assert!(command.status().unwrap().success());
        product.with_file_name("pier-fakes")
    })
}

//! The node under measurement, as a process.

use std::{env, fs, io, io::BufRead as _, net, path, process};

use anyhow::Context as _;

/// A node process, killed when dropped.
#[derive(Debug)]
pub struct NodeProcess {
    child: process::Child,
}

impl NodeProcess {
    /// Starts a node for a platform and waits until it accepts connections.
    ///
    /// # Errors
    ///
    /// Fails when the program is not in the folder above this example's or does not start.
    pub fn start(platform: net::SocketAddr) -> anyhow::Result<Self> {
        let settings = format!(
            "[node]\ndata-centre = scot-central-a\nregion = scot-central\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             peer-key = 0123456789abcdef0123456789abcdef\n[platform]\nurl = http://{platform}\n\
             [telemetry]\nlog-level = warn\n"
        );
        let file = env::temp_dir().join(format!("node-memory-{}.ini", process::id()));
        fs::write(&file, settings)?;
        let mut command = process::Command::new(program()?);
        command.args(["node", "--settings"]).arg(&file);
        let mut child = command.stdout(process::Stdio::piped()).spawn()?;
        let output = child.stdout.take().context("the node has no output")?;
        let node = Self { child };
        let mut line = String::new();
        io::BufReader::new(output).read_line(&mut line)?;
        fs::remove_file(&file)?;
        anyhow::ensure!(line.contains("callers="), "the node did not start");
        Ok(node)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the node.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed.
    pub fn stop(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Errors are ignored: the process may have ended already.
        let _ended = self.stop();
    }
}

/// Returns the path of the product's binary, in the folder above this example's.
fn program() -> anyhow::Result<path::PathBuf> {
    let own = env::current_exe()?;
    let folder = own.parent().and_then(path::Path::parent);
    Ok(folder
        .context("the example is in no folder")?
        .join("buckthornpier"))
}

//! One daemon process.

use portrack_standins::world::World;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A daemon that ends with this value.
pub struct Daemon {
    /// Its node.
    pub name: String,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where operators come in.
    pub operators: SocketAddr,
    /// Where other daemons come in.
    pub members: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Starts a daemon of hall a and reads its addresses.
    pub fn start(
        world: &World,
        folder: &Path,
        program: &Path,
        name: &str,
    ) -> std::io::Result<Self> {
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, world.bootstrap_text("a", name, None))?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(&file).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn()?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        let address = |key: &str| {
            let found = line.split_whitespace().find_map(|pair| pair.strip_prefix(key));
            let parsed = found.and_then(|text| text.parse().ok());
            parsed.ok_or_else(|| std::io::Error::other(format!("{name} did not start")))
        };
        Ok(Self {
            name: name.to_owned(),
            callers: address("callers=")?,
            operators: address("operators=")?,
            members: address("members=")?,
            child,
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

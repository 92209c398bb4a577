//! Child processes that are killed when the test that started them ends.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use eyre::{Result, WrapErr, ensure};
use tokio::time::sleep;

/// A child process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

/// Signals that tests send to their child processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Kills the process.
    Kill,
    /// Requests a graceful shutdown.
    Term,
    /// Requests that the settings are read again.
    HangUp,
    /// Freezes the process.
    Stop,
    /// Resumes a frozen process.
    Continue,
}

impl Process {
    /// Starts `program` from the build directory. Its output is appended to the file `log`.
    pub fn spawn(name: &str, program: &str, args: &[&str], log: &Path) -> Result<Self> {
        Self::spawn_with(name, program, args, log, &[])
    }

    /// Like `spawn`, with additional environment variables.
    pub fn spawn_with(
        name: &str,
        program: &str,
        args: &[&str],
        log: &Path,
        variables: &[(&str, String)],
    ) -> Result<Self> {
        let path = build_dir()?.join(program);
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.wrap_err_with(|| format!("could not open the log of {name}"))?;
        let output = log.try_clone().wrap_err_with(|| format!("could not open the log of {name} twice"))?;
        let child = Command::new(&path)
            .args(args)
            .envs(variables.iter().cloned())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| {
                format!("could not start {}; build it with `cargo build --workspace --bins --examples`", path.display())
            })?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let flag = match signal {
            Signal::Kill => "-KILL",
            Signal::Term => "-TERM",
            Signal::HangUp => "-HUP",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        let status = Command::new("kill").args([flag, &self.child.id().to_string()]).status();
        let status = status.wrap_err_with(|| format!("could not signal {}", self.name))?;
        ensure!(status.success(), "could not signal {}: {status}", self.name);
        Ok(())
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill().wrap_err_with(|| format!("could not kill {}", self.name))?;
        self.child.wait().wrap_err_with(|| format!("could not wait for {}", self.name))?;
        Ok(())
    }

    /// Waits until the process has ended and returns its exit status.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        const POLL: Duration = Duration::from_millis(10);
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            sleep(POLL).await;
        }
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Processor time used so far, in seconds.
    pub fn cpu_seconds(&self) -> Result<f64> {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = self.read_proc("stat")?;
        // The second field, the name in parentheses, may contain spaces; the fields after it do not.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        Ok((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
    }

    /// Resident memory, in megabytes.
    pub fn memory_mb(&self) -> Result<f64> {
        self.status_mb("VmRSS:")
    }

    /// Largest resident memory so far, in megabytes.
    pub fn peak_memory_mb(&self) -> Result<f64> {
        self.status_mb("VmHWM:")
    }

    /// Number of open file descriptors.
    pub fn open_files(&self) -> Result<usize> {
        let path = format!("/proc/{}/fd", self.child.id());
        Ok(fs::read_dir(&path).wrap_err_with(|| format!("could not read {path}"))?.count())
    }

    fn status_mb(&self, field: &str) -> Result<f64> {
        let status = self.read_proc("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or_default();
        let kilobytes = line.split_whitespace().next().and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0);
        Ok(kilobytes / 1024.0)
    }

    fn read_proc(&self, file: &str) -> Result<String> {
        let path = format!("/proc/{}/{file}", self.child.id());
        fs::read_to_string(&path).wrap_err_with(|| format!("could not read {path}"))
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the directory with the binaries. Its subdirectory `examples` has the examples.
pub fn build_dir() -> Result<PathBuf> {
    let exe = env::current_exe().wrap_err("could not find the running executable")?;
    let dir = exe.ancestors().skip(1).find(|dir| dir.join("eelgrasswelld").exists());
    dir.map(Path::to_path_buf).ok_or_else(|| {
        eyre::eyre!(
            "could not find eelgrasswelld near {}; build it with `cargo build --workspace --bins`",
            exe.display()
        )
    })
}

//! Arguments of the commands that use a gateway's management interface.

use humantime::Duration;
use std::path::PathBuf;

/// The gateway that a command connects to, the TLS keys, and the output format.
#[derive(clap::Args)]
pub(crate) struct Target {
    /// Address of the gateway's management interface
    #[arg(
        global = true,
        id = "at",
        long = "at",
        env = "IRONSTAIR_AT",
        default_value = "127.0.0.1:9339",
        value_name = "HOST:PORT"
    )]
    pub(super) address: String,
    /// Print JSON instead of tables
    #[arg(global = true, long)]
    pub(super) json: bool,
    /// File with the certificate of the authority that signed the gateway's certificate (PEM); enables TLS
    #[arg(global = true, long, env = "IRONSTAIR_CA", value_name = "FILE", requires_all = ["cert", "key"])]
    pub(super) ca: Option<PathBuf>,
    /// File with the client certificate (PEM)
    #[arg(global = true, long, env = "IRONSTAIR_CERT", value_name = "FILE")]
    pub(super) cert: Option<PathBuf>,
    /// File with the private key of the client certificate (PEM)
    #[arg(global = true, long, env = "IRONSTAIR_KEY", value_name = "FILE")]
    pub(super) key: Option<PathBuf>,
    /// Name in the gateway's certificate, if it differs from the host in the address
    #[arg(global = true, long, value_name = "NAME")]
    pub(super) server_name: Option<String>,
}

/// Arguments of `get`.
#[derive(clap::Args)]
pub(crate) struct Get {
    /// Path, such as /state/engine or /settings/band[name=lookup]/expected; * matches one step, ... any number
    #[arg(default_value = "/")]
    pub(super) path: String,
    #[command(flatten)]
    pub(super) target: Target,
}

/// Arguments of `set`.
#[derive(clap::Args)]
pub(crate) struct Set {
    /// Path of the setting
    pub(super) path: String,
    /// JSON value, or plain text for a string; fields that are left out keep their values
    #[arg(required_unless_present = "delete", conflicts_with = "delete")]
    pub(super) value: Option<String>,
    /// Delete fields that are left out of the value
    #[arg(long, conflicts_with = "delete")]
    pub(super) replace: bool,
    /// Delete the setting
    #[arg(long)]
    pub(super) delete: bool,
    /// Roll the change back unless it is confirmed within this time, such as 2m
    #[arg(long, value_name = "TIME")]
    pub(super) confirm_within: Option<Duration>,
    /// Commit id with which to confirm or cancel the change; generated if not given
    #[arg(long, requires = "confirm_within")]
    pub(super) id: Option<String>,
    /// Change the fleet's settings: every gateway applies the change, or none does
    #[arg(long)]
    pub(super) fleet: bool,
    #[command(flatten)]
    pub(super) target: Target,
}

/// Arguments of `confirm` and `cancel`.
#[derive(clap::Args)]
pub(crate) struct PendingCommit {
    /// Commit id that `set --confirm-within` printed; defaults to the change that is waiting for confirmation
    pub(super) id: Option<String>,
    /// Confirm or cancel a change of the fleet's settings
    #[arg(long)]
    pub(super) fleet: bool,
    #[command(flatten)]
    pub(super) target: Target,
}

/// Arguments of `watch`.
#[derive(clap::Args)]
pub(crate) struct Watch {
    /// Path, such as /state/engine; * matches one step, ... any number
    pub(super) path: String,
    /// Print samples at this interval, such as 1s, rather than changes
    #[arg(long, value_name = "TIME")]
    pub(super) every: Option<Duration>,
    /// Stop after this many notifications
    #[arg(long)]
    pub(super) count: Option<usize>,
    #[command(flatten)]
    pub(super) target: Target,
}

/// Arguments of `move`.
#[derive(clap::Args)]
pub(crate) struct Move {
    /// Name of the tenant
    pub(super) tenant: String,
    /// Cells that receive the tenant's requests from now on
    #[arg(required = true)]
    pub(super) cells: Vec<String>,
    /// Roll the move back unless it is confirmed within this time, such as 2m
    #[arg(long, value_name = "TIME")]
    pub(super) confirm_within: Option<Duration>,
    /// Change the fleet's settings: every gateway applies the change, or none does
    #[arg(long)]
    pub(super) fleet: bool,
    #[command(flatten)]
    pub(super) target: Target,
}

/// Arguments of `revisions`.
#[derive(clap::Args)]
pub(crate) struct Revisions {
    /// Show the fleet's revisions
    #[arg(long)]
    pub(super) fleet: bool,
    #[command(flatten)]
    pub(super) target: Target,
}

/// Arguments of `fleet`.
#[derive(clap::Args)]
pub(crate) struct Fleet {
    #[command(subcommand)]
    pub(super) action: Option<FleetAction>,
    #[command(flatten)]
    pub(super) target: Target,
}

/// Subcommands of `fleet`; without one, it shows the fleet.
#[derive(clap::Subcommand)]
pub(crate) enum FleetAction {
    /// Bootstrap the fleet with this gateway's configuration; run once, at the voter whose name sorts first
    Begin,
    /// Bootstrap the fleet again from the last policy on this voter's disk, after most voters' disks were lost for
    /// good. Decisions made after that policy are lost. A majority of the earlier voters must not be running
    BeginAnew,
}

/// Arguments of `cells`.
#[derive(clap::Args)]
pub(crate) struct Cells {
    #[command(flatten)]
    pub(super) target: Target,
}

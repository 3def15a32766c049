//! Arguments of the commands that talk to a gateway's management.

use humantime::Duration as Span;
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Target {
    /// Where a gateway serves management
    #[arg(
        global = true,
        long,
        env = "IRONSTAIR_AT",
        default_value = "127.0.0.1:9339",
        value_name = "HOST:PORT"
    )]
    pub at: String,
    /// For programs: JSON instead of tables
    #[arg(global = true, long)]
    pub json: bool,
    /// The authority of the gateway's certificate, as PEM: with it TLS is spoken
    #[arg(global = true, long, env = "IRONSTAIR_CA", value_name = "FILE", requires_all = ["cert", "key"])]
    pub ca: Option<PathBuf>,
    /// The own certificate, as PEM
    #[arg(global = true, long, env = "IRONSTAIR_CERT", value_name = "FILE")]
    pub cert: Option<PathBuf>,
    /// The key of that, as PEM
    #[arg(global = true, long, env = "IRONSTAIR_KEY", value_name = "FILE")]
    pub key: Option<PathBuf>,
    /// The name in the gateway's certificate, where it is not the host's
    #[arg(global = true, long, value_name = "NAME")]
    pub server_name: Option<String>,
}

#[derive(clap::Args)]
pub struct Get {
    /// As /state/engine or /settings/band[name=lookup]/expected; * and ... stand for any
    #[arg(default_value = "/")]
    pub path: String,
    #[command(flatten)]
    pub at: Target,
}

#[derive(clap::Args)]
pub struct Set {
    pub path: String,
    /// JSON, or text as it is; what it does not say stays
    #[arg(required_unless_present = "delete", conflicts_with = "delete")]
    pub value: Option<String>,
    /// What the value does not say goes
    #[arg(long, conflicts_with = "delete")]
    pub replace: bool,
    /// Takes out what is at the path
    #[arg(long)]
    pub delete: bool,
    /// Takes the change back by itself unless confirmed in time, as 2m
    #[arg(long, value_name = "TIME")]
    pub confirm_within: Option<Span>,
    /// Under which it is confirmed; made up where it is missing
    #[arg(long, requires = "confirm_within")]
    pub id: Option<String>,
    /// Target every gateway of the fleet or at none
    #[arg(long)]
    pub fleet: bool,
    #[command(flatten)]
    pub at: Target,
}

#[derive(clap::Args)]
pub struct PendingCommit {
    /// As told by `set --confirm-within`; the one that waits where it is missing
    pub id: Option<String>,
    /// Of the fleet's change
    #[arg(long)]
    pub fleet: bool,
    #[command(flatten)]
    pub at: Target,
}

#[derive(clap::Args)]
pub struct Watch {
    pub path: String,
    /// Samples instead of changes, as 1s
    #[arg(long, value_name = "TIME")]
    pub every: Option<Span>,
    /// Ends after so many messages
    #[arg(long)]
    pub count: Option<usize>,
    #[command(flatten)]
    pub at: Target,
}

#[derive(clap::Args)]
pub struct Move {
    pub tenant: String,
    /// Where its requests go from now on
    #[arg(required = true)]
    pub cells: Vec<String>,
    /// Takes the move back by itself unless confirmed in time, as 2m
    #[arg(long, value_name = "TIME")]
    pub confirm_within: Option<Span>,
    /// Target every gateway of the fleet or at none
    #[arg(long)]
    pub fleet: bool,
    #[command(flatten)]
    pub at: Target,
}

#[derive(clap::Args)]
pub struct Revisions {
    /// Those of the fleet
    #[arg(long)]
    pub fleet: bool,
    #[command(flatten)]
    pub at: Target,
}

#[derive(clap::Args)]
pub struct Fleet {
    #[command(subcommand)]
    pub action: Option<FleetAction>,
    #[command(flatten)]
    pub at: Target,
}

#[derive(clap::Subcommand)]
pub enum FleetAction {
    /// Begins the fleet's history with what this gateway was told, once, at the first voter by name
    Begin,
    /// Begins it anew at a voter, after most voters' disks were lost for good: with the last policy that this one's
    /// disk holds. What was decided after that is lost, and most voters that still run elsewhere must not
    BeginAnew,
}

#[derive(clap::Args)]
pub struct Cells {
    #[command(flatten)]
    pub at: Target,
}

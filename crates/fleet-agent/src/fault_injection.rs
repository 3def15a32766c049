//! Guards that a test can disable, to verify that it fails without them, and disk faults that a test can't cause in
//! another way. A release build ignores them.

/// The environment variable that names the disabled guards, separated by commas.
const ENVIRONMENT_VARIABLE: &str = "IRONSTAIR_DISABLED_GUARDS";

/// A guard that a test can disable in a debug build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A gateway of a fleet starts without a lease.
    NoLeaseAtStart,
    /// A lease expires.
    LeaseExpiry,
    /// A member reports a policy as applied only after it has applied it.
    PolicyApplied,
    /// Members validate a policy before the fleet decides on it.
    PolicyValidated,
    /// A policy with a field that this version does not know is rejected.
    KnownFields,
    /// A gateway that continues to decide without a lease reports that in its heartbeats.
    SteadyReported,
    /// A change that is not confirmed in time is rolled back.
    ConfirmTimeout,
    /// A change made from an older revision than the running one is refused.
    BaseRevision,
    /// The id of a replica is random for each blank log.
    RandomReplicaId,
    /// Voters compare their cluster generations.
    GenerationCheck,
    /// A member's process proves by an exclusive resource that the previous one of its name has ended.
    ProofOfEnd,
    /// A write to the log is not delayed by a file `slow` in its folder.
    FastDisk,
    /// A write to the log is not rejected because of a file `full` in its folder.
    DiskSpace,
    /// A write that was rejected because of the file `full` is reported as failed.
    WriteErrors,
}

impl Guard {
    /// The name of the guard in the variable.
    pub fn as_str(self) -> &'static str {
        match self {
            Guard::NoLeaseAtStart => "no-lease-at-start",
            Guard::LeaseExpiry => "lease-expiry",
            Guard::PolicyApplied => "policy-applied",
            Guard::PolicyValidated => "policy-validated",
            Guard::KnownFields => "known-fields",
            Guard::SteadyReported => "steady-reported",
            Guard::ConfirmTimeout => "confirm-timeout",
            Guard::BaseRevision => "base-revision",
            Guard::RandomReplicaId => "random-replica-id",
            Guard::GenerationCheck => "generation-check",
            Guard::ProofOfEnd => "proof-of-end",
            Guard::FastDisk => "fast-disk",
            Guard::DiskSpace => "disk-space",
            Guard::WriteErrors => "write-errors",
        }
    }
}

/// Whether the environment variable `IRONSTAIR_DISABLED_GUARDS` names the guard, in a debug build.
pub fn is_disabled(guard: Guard) -> bool {
    cfg!(debug_assertions)
        && std::env::var(ENVIRONMENT_VARIABLE)
            .is_ok_and(|names| names.split(',').any(|name| name == guard.as_str()))
}

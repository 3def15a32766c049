//! Starts a replica from its disk, and creates the first disk of a generation.

use super::Replica;
use crate::error::ReplicaError;
use crate::image::Image;
use crate::log_store::LogStore;
use crate::state::State;
use ironstair::Millis;
use ironstair_coordination::{Fleet, Policy, Record, RevisionSummary};
use raft::{Config, RawNode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use slog::Logger;
use std::collections::BTreeMap;

/// Ticks between two heartbeats that the leader sends to the other replicas.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks without a leader after which the voter of rank 0 begins an election.
const ELECTION_TICKS: usize = 12;
/// Additional ticks for each further rank, so that no two voters begin an election at the same time.
const ELECTION_TICKS_PER_RANK: usize = 4;
/// Limit of the entries in one message of the library, in bytes.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Limit of the library's messages in flight to one replica.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;

impl<D: Policy + Serialize + DeserializeOwned> Replica<D> {
    /// The first disk of a generation, whose only voter has that name and id. After a disaster recovery, `revision`
    /// records who ran it.
    ///
    /// # Errors
    /// Fails if the state can't be encoded.
    pub fn bootstrap_image(
        name: &str,
        id: u64,
        generation: u64,
        document: D,
        revision: Option<RevisionSummary>,
    ) -> Result<Image, ReplicaError> {
        let mut fleet = Fleet::default();
        fleet.apply(Record::Bootstrapped {
            generation,
            document,
            revision,
        });
        let mut state = State::new(fleet);
        state.voters.insert(name.to_owned(), id);
        let data = serde_json::to_vec(&state).map_err(ReplicaError::Encode)?;
        Ok(Image::bootstrap(id, data))
    }

    /// Creates a replica from the content of its disk. `election_rank` is its position among the configured voters, and
    /// `lease` is in ms. A blank replica has to wait until the others admit it under its id.
    ///
    /// # Errors
    /// Fails if the image can't be decoded, or the library can't start with it.
    pub fn open(
        name: &str,
        election_rank: usize,
        lease: Millis,
        image: &Image,
        now: Millis,
        log: &Logger,
    ) -> Result<Self, ReplicaError> {
        let store = LogStore::from_image(image)?;
        let state = match store.snapshot_data() {
            [] => State::new(Fleet::default()),
            data => serde_json::from_slice(data).map_err(ReplicaError::DecodeState)?,
        };
        let applied = store.snapshot_index();
        let config = library_config(image.id, election_rank, applied);
        let node = RawNode::new(&config, store, log).map_err(ReplicaError::Open)?;
        Ok(Replica {
            name: name.into(),
            id: image.id,
            node,
            state,
            applied,
            leader: None,
            lease,
            now,
            ready_in_progress: None,
            messages_after_save: Vec::new(),
            heartbeats: Vec::new(),
            leadership_check: None,
            last_check_number: 0,
            join_requests: BTreeMap::new(),
            snapshots_sent_at: BTreeMap::new(),
            last_sender: None,
            is_proposal_due: true,
            is_compaction_due: false,
            outputs: Vec::new(),
        })
    }
}

fn library_config(id: u64, election_rank: usize, applied: u64) -> Config {
    let election_ticks = ELECTION_TICKS + ELECTION_TICKS_PER_RANK * election_rank;
    Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        // The range holds one value, so that the timeout is not random and a seeded test always runs the same.
        min_election_tick: election_ticks,
        max_election_tick: election_ticks + 1,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        // With `check_quorum` a leader that reaches no quorum steps down; with `pre_vote` a replica that returns from a
        // partition does not depose the current leader.
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}

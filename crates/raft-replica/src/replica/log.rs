//! Handles the library's output: messages to send, entries to write and to apply, and snapshots.

use super::{Output, Replica};
use crate::state::MembershipChange;
use ironstair_coordination::{Policy, Record};
use protobuf::Message as _;
use raft::prelude::{ConfChangeV2, Entry, EntryType, Message, Snapshot};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The log is compacted when more than this many applied entries follow the snapshot, which bounds the log's size and
/// the time of a start.
const MAX_ENTRIES_BEHIND_SNAPSHOT: u64 = 256;

impl<D: Policy + Serialize + DeserializeOwned> Replica<D> {
    /// Handles the library's output, except for the part that must wait for the disk: [`Self::handle_persisted`] handles
    /// that.
    pub(super) fn handle_ready(&mut self) {
        let mut ready = self.node.ready();
        self.send(ready.take_messages());
        if !ready.snapshot().is_empty() {
            self.install_snapshot(ready.snapshot().clone());
        }
        let committed = ready.take_committed_entries();
        let hard_state = ready.hs().cloned();
        let entries = ready.take_entries();
        self.node.mut_store().append(entries, hard_state);
        self.apply(committed);
        for read_state in ready.take_read_states() {
            self.handle_leadership_confirmed(&read_state.request_ctx);
        }
        self.messages_after_save = ready.take_persisted_messages();
        let number = ready.number();
        self.node.advance_append_async(ready);
        match self.node.mut_store().take_unsaved() {
            Some(save) => {
                self.ready_in_progress = Some(number);
                self.outputs.push(Output::Save(save));
            }
            None => self.handle_persisted(number),
        }
    }

    /// Reports the library's output with that number as persisted, compacts the log if that is due, and sends the messages
    /// that waited for the disk.
    pub(super) fn handle_persisted(&mut self, number: u64) {
        self.node.on_persist_ready(number);
        self.node.advance_apply_to(self.applied);
        // The log must not be compacted before this point: the library still reads entries that it does not count as
        // applied. The next write saves the new snapshot.
        let snapshot_index = self.node.store().snapshot_index();
        let is_too_long = self.applied > snapshot_index + MAX_ENTRIES_BEHIND_SNAPSHOT;
        if std::mem::take(&mut self.is_compaction_due) || is_too_long {
            self.compact();
        }
        let messages = std::mem::take(&mut self.messages_after_save);
        self.send(messages);
    }

    fn compact(&mut self) {
        if let Ok(state) = serde_json::to_vec(&self.state) {
            let conf_state = self.node.raft.prs().conf().to_conf_state();
            let index = self.applied;
            self.node.mut_store().compact(index, conf_state, state);
        }
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        if let Ok(state) = serde_json::from_slice(snapshot.get_data()) {
            self.state = state;
        }
        self.applied = snapshot.get_metadata().index;
        self.node.mut_store().install_snapshot(snapshot);
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        self.is_proposal_due |= !entries.is_empty();
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal => self.apply_record(&entry),
                EntryType::EntryConfChangeV2 => self.apply_conf_change(&entry),
                EntryType::EntryConfChange => {}
            }
        }
    }

    fn apply_record(&mut self, entry: &Entry) {
        // Not every entry holds a record: a leader begins its term with an empty entry.
        let Ok(record) = serde_json::from_slice::<Record<D>>(entry.get_data()) else {
            return;
        };
        self.state.fleet.apply(record);
        if let Some(leader_term) = &mut self.leader {
            leader_term.leader.record_settled();
        }
    }

    fn apply_conf_change(&mut self, entry: &Entry) {
        let Ok(conf_change) = ConfChangeV2::parse_from_bytes(entry.get_data()) else {
            return;
        };
        if let Ok(change) = serde_json::from_slice::<MembershipChange>(conf_change.get_context()) {
            self.state.apply_membership(change);
        }
        if let Ok(conf_state) = self.node.apply_conf_change(&conf_change) {
            self.node.mut_store().set_conf_state(conf_state);
            self.is_compaction_due = true;
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let name = self.name_of(message.to).map(String::from);
            if let (Some(name), Ok(bytes)) = (name, message.write_to_bytes()) {
                self.outputs.push(Output::Send(name, bytes));
            }
        }
    }

    /// The name of the replica with that id. A blank replica may have no list of voters, and then knows only the sender
    /// of its last message.
    fn name_of(&self, id: u64) -> Option<&str> {
        let last_sender = self.last_sender.as_ref().filter(|sender| sender.id == id);
        self.state
            .name_of(id)
            .or_else(|| last_sender.map(|sender| sender.name.as_str()))
    }
}

//! Master arbitration: among the clients of one role, only that with the highest election id may change settings.

use std::collections::BTreeMap;

/// The limit on roles that are remembered.
const MAX_ROLES: usize = 64;

/// Why a client is not the master of its role.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ArbitrationError {
    /// Another client has claimed the role with a higher election id.
    #[error("election id {election_id} is lower than {highest}, which is that of the master of role {role:?}")]
    OutdatedElection {
        /// The role.
        role: String,
        /// The client's election id.
        election_id: u128,
        /// The master's election id.
        highest: u128,
    },
    /// The role is new, and the limit on roles is reached.
    #[error("the role is new, and there are {MAX_ROLES} others already, which is the limit")]
    TooManyRoles,
}

/// The highest election id of each role.
#[derive(Clone, Debug, Default)]
pub struct ArbitrationTable(BTreeMap<String, u128>);

impl ArbitrationTable {
    /// Makes the client with that election id the master of the role.
    ///
    /// # Errors
    /// Another client is the master, or the limit on roles is reached.
    pub fn claim(&mut self, role: &str, election_id: u128) -> Result<(), ArbitrationError> {
        match self.0.get(role) {
            Some(&highest) if election_id < highest => {
                return Err(ArbitrationError::OutdatedElection {
                    role: role.to_owned(),
                    election_id,
                    highest,
                });
            }
            None if self.0.len() >= MAX_ROLES => return Err(ArbitrationError::TooManyRoles),
            _ => {}
        }
        self.0.insert(role.to_owned(), election_id);
        Ok(())
    }
}

#[cfg(test)]
mod tests;

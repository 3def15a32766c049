//! Master arbitration: of several who would change settings in one role, the one with the highest election id may.

use std::collections::BTreeMap;

/// Roles that are remembered.
const ROLES_MOST: usize = 64;

/// Election ids by role; higher is newer.
#[derive(Clone, Debug, Default)]
pub struct Masters(BTreeMap<String, u128>);

impl Masters {
    /// Whether who comes with that id may change settings; the highest seen is the master.
    ///
    /// # Errors
    /// Another is the master, or there are too many roles.
    pub fn claim(&mut self, role: &str, id: u128) -> Result<(), String> {
        if self.0.get(role).is_some_and(|&highest| id < highest) {
            let highest = self.0[role];
            return Err(format!(
                "election id {id} is older than {highest}, which holds the role {role:?}"
            ));
        }
        if !self.0.contains_key(role) && self.0.len() >= ROLES_MOST {
            return Err(format!("more than {ROLES_MOST} roles"));
        }
        self.0.insert(role.to_string(), id);
        Ok(())
    }
}

#[cfg(test)]
mod tests;

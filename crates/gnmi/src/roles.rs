//! The permissions of clients, by the names in their certificates. The certificates are parsed elsewhere.

/// A client and its permission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The client's name: a name from its certificate, or its address without TLS.
    pub name: String,
    /// Whether the client may change settings; otherwise it may only read.
    pub may_change: bool,
}

/// The names that have a role. A name that ends in `*` matches all names with that prefix.
#[derive(Clone, Debug, Default)]
pub struct Roles {
    /// Names that may change settings.
    pub change: Vec<String>,
    /// Names that may read.
    pub read: Vec<String>,
}

impl Roles {
    /// The identity of a client by the names in its certificate: the first name that may change settings, otherwise
    /// the first that may read. `None` if no name has a role.
    pub fn identify(&self, names: &[String]) -> Option<Identity> {
        if let Some(name) = first_with_role(names, &self.change) {
            return Some(Identity {
                name: name.clone(),
                may_change: true,
            });
        }
        let name = first_with_role(names, &self.read)?;
        Some(Identity {
            name: name.clone(),
            may_change: false,
        })
    }
}

fn first_with_role<'a>(names: &'a [String], roles: &[String]) -> Option<&'a String> {
    let has_role = |name: &&String| roles.iter().any(|role| role_matches(role, name));
    names.iter().find(has_role)
}

fn role_matches(role: &str, name: &str) -> bool {
    match role.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => role == name,
    }
}

#[cfg(test)]
mod tests;

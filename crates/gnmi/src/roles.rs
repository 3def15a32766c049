//! Who may do what, by the names in their certificates; nothing here reads any.

use crate::service::Who;

/// Names that may change settings, and such as may read; `*` at the end stands for any more.
#[derive(Clone, Debug, Default)]
pub struct Roles {
    pub change: Vec<String>,
    pub read: Vec<String>,
}

impl Roles {
    /// The first of the names that has a role; one that may change goes before one that may read. None may do nothing.
    pub fn who(&self, names: &[String]) -> Option<Who> {
        let first = |roles: &[String]| {
            names
                .iter()
                .find(|n| roles.iter().any(|r| fits(r, n)))
                .cloned()
        };
        let changer = first(&self.change);
        let may_change = changer.is_some();
        changer
            .or_else(|| first(&self.read))
            .map(|name| Who { name, may_change })
    }
}

fn fits(role: &str, name: &str) -> bool {
    match role.strip_suffix('*') {
        Some(stem) => name.starts_with(stem),
        None => role == name,
    }
}

#[cfg(test)]
mod tests;

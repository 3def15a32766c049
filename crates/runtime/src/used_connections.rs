//! The connections that have carried attempts of a request.

use std::cell::{Cell, RefCell};

/// Numbers the connections to engines. No two connections of a process have the same number.
#[derive(Debug, Default)]
pub struct ConnectionNumbers(Cell<u64>);

impl ConnectionNumbers {
    /// A number that no other connection has.
    pub fn next(&self) -> u64 {
        let number = self.0.get() + 1;
        self.0.set(number);
        number
    }
}

/// The connections on which attempts of one request have started, by number.
///
/// An engine's replies name the request, but not the attempt. A reply to an attempt that has ended may still arrive, or
/// arrive twice; on the connection of a later attempt of the same request it would count as a reply to that one.
/// Therefore a connection carries at most one attempt of a request.
#[derive(Debug, Default)]
pub struct UsedConnections(RefCell<Vec<u64>>);

impl UsedConnections {
    /// Whether an attempt of the request has started on this connection.
    pub fn contains(&self, connection: u64) -> bool {
        self.0.borrow().contains(&connection)
    }

    /// Whether no attempt of the request has started.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Records that an attempt of the request starts on this connection.
    pub(crate) fn insert(&self, connection: u64) {
        self.0.borrow_mut().push(connection);
    }
}

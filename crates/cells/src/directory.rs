//! What one gateway keeps of cells: the assignment, which cells have a ready engine, and what was lent to whom.

use crate::assign::{Assignment, Cells};
use crate::moves::{Input, Tenant};
use crate::trouble::{Choice, Goes, Lent};
use ironstair::Ms;
use std::collections::BTreeMap;

/// Accounts of tenants whose cells are in trouble; beyond that all begin anew.
const ACCOUNTS_MOST: usize = 4096;

#[derive(Clone, Debug)]
pub struct CellDirectory {
    assignment: Assignment,
    choice: Choice,
    ready: Cells,
    all: Cells,
    lent: BTreeMap<u64, Lent>,
    /// Tenants of which something still runs where they were.
    moving: BTreeMap<u64, Tenant>,
}

impl CellDirectory {
    pub fn new(assignment: Assignment, choice: Choice) -> CellDirectory {
        let all = (0..assignment.names().len())
            .map(Cells::one)
            .fold(Cells::default(), Cells::with);
        CellDirectory {
            assignment,
            choice,
            ready: Cells::default(),
            all,
            lent: BTreeMap::new(),
            moving: BTreeMap::new(),
        }
    }

    pub fn engine(&self, id: u64) -> Cells {
        self.assignment.engine(id)
    }

    pub fn tenant(&self, tenant: u64) -> Cells {
        self.assignment.tenant(tenant)
    }

    /// The names of a set of cells.
    pub fn names(&self, cells: Cells) -> String {
        let names = cells.iter().filter_map(|n| self.assignment.names().get(n));
        names.map(String::as_str).collect::<Vec<_>>().join(" ")
    }

    /// The endpoint list has changed; `ready` are the ready engines.
    pub fn update_endpoints(&mut self, ready: impl Iterator<Item = u64>) {
        self.ready = ready
            .map(|id| self.assignment.engine(id))
            .fold(Cells::default(), Cells::with);
        if self.all.without(self.ready).is_empty() {
            self.lent.clear();
        }
    }

    /// Takes over from an earlier one: `out` are the forwards that are out, each with its tenant and the cells of its
    /// engine when it went. Who has nothing out where it was is not moving.
    pub fn succeeds(
        &mut self,
        now: Ms,
        was: &CellDirectory,
        out: impl Iterator<Item = (u64, Cells)>,
    ) {
        let mut tenants: BTreeMap<u64, Tenant> = BTreeMap::new();
        for (tenant, cells) in out {
            let new = || Tenant::settled(0, was.tenant(tenant));
            tenants
                .entry(tenant)
                .or_insert_with(new)
                .on(now, Ms::INFINITY, Input::Out(cells));
        }
        for (id, mut tenant) in tenants {
            // What it was leaving already is still being left.
            let before = was.moving.get(&id).map(Tenant::leaving).unwrap_or_default();
            for (number, cells) in [(1, before), (2, was.tenant(id)), (3, self.tenant(id))] {
                if !cells.is_empty() {
                    tenant.on(now, Ms::INFINITY, Input::Revision { number, cells });
                }
            }
            if tenant.is_moving() {
                self.moving.insert(id, tenant);
            }
        }
    }

    /// How many tenants move.
    pub fn moving(&self) -> usize {
        self.moving.len()
    }

    /// An attempt of the tenant has ended, in those cells; whether its move is over with it.
    pub fn ended(&mut self, now: Ms, tenant: u64, cells: Cells) -> bool {
        let Some(t) = self.moving.get_mut(&tenant) else {
            return false;
        };
        let over = t.on(now, Ms::INFINITY, Input::Ended(cells)).is_some();
        if over {
            self.moving.remove(&tenant);
        }
        over
    }

    /// Where a request of the tenant goes. Only tenants in trouble have an account: elsewhere nothing is lent.
    pub fn goes(&mut self, now: Ms, tenant: u64) -> Goes {
        let own = self.assignment.tenant(tenant);
        if own.meets(self.ready) {
            return Goes::To(own);
        }
        if self.lent.len() >= ACCOUNTS_MOST {
            self.lent.clear();
        }
        let account = self.lent.entry(tenant).or_default();
        account.goes(now, own, self.ready, self.all, self.choice)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_move_is_over_with_the_last_attempt_where_the_tenant_was() {
        let cells = ["a", "b", "c"].map(|c| (c.to_string(), 1.0));
        let first = Assignment::new(1, &cells, 1)
            .unwrap()
            .pin_tenant(7, Some(&["a"]))
            .unwrap();
        let directory =
            |a: &Assignment| CellDirectory::new(a.clone(), Choice::Reject { retry_after: 0.0 });
        let (a, b, c) = (Cells::one(0), Cells::one(1), Cells::one(2));
        let second = first.pin_tenant(7, Some(&["b"])).unwrap();
        let mut k = directory(&second);
        k.succeeds(
            1.0,
            &directory(&first),
            [(7, a), (7, a), (8, c)].into_iter(),
        );
        assert_eq!((k.moving(), k.ended(2.0, 7, a)), (1, false));
        // On to the third before the first is empty: what runs in either holds it up, in the new one nothing does.
        let mut next = directory(&second.pin_tenant(7, Some(&["c"])).unwrap());
        next.succeeds(3.0, &k, [(7, a), (7, b), (7, c)].into_iter());
        assert_eq!(
            (next.ended(4.0, 7, c), next.ended(4.0, 7, a)),
            (false, false)
        );
        assert!(next.ended(5.0, 7, b) && next.moving() == 0);
        assert!(!next.ended(6.0, 7, b), "once");
    }

    #[test]
    fn tenants_keep_to_their_cells_and_one_in_trouble_to_its_share() {
        let cells = [("a".to_string(), 1.0), ("b".to_string(), 1.0)];
        let a = Assignment::new(1, &cells, 1).unwrap();
        let a = a
            .pin_engine(1, Some("a"))
            .unwrap()
            .pin_engine(2, Some("b"))
            .unwrap();
        let a = a
            .pin_tenant(7, Some(&["a"]))
            .unwrap()
            .pin_tenant(8, Some(&["b"]))
            .unwrap();
        let mut k = CellDirectory::new(a, Choice::Lend { share: 0.5 });
        k.update_endpoints([1, 2].into_iter());
        assert_eq!(
            (k.goes(0.0, 7), k.goes(0.0, 8)),
            (Goes::To(Cells::one(0)), Goes::To(Cells::one(1)))
        );
        assert_eq!(k.names(Cells::one(0).with(Cells::one(1))), "a b");
        k.update_endpoints([2].into_iter());
        let lent = (0..20)
            .filter(|_| k.goes(1.0, 7) == Goes::To(Cells::one(1)))
            .count();
        assert_eq!((lent, k.goes(1.0, 8)), (10, Goes::To(Cells::one(1))));
        k.update_endpoints([1, 2].into_iter());
        assert!(k.lent.is_empty() && k.goes(2.0, 7) == Goes::To(Cells::one(0)));
        k.update_endpoints([2].into_iter());
        for t in 0..3 * ACCOUNTS_MOST as u64 {
            k.goes(3.0, t);
        }
        assert!(k.lent.len() <= ACCOUNTS_MOST);
    }
}

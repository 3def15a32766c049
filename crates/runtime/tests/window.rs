//! The handover of views between the gateway's thread and its reader, in many orders of the two (shuttle).

use ironstair_data_tree::state::Snapshot;
use ironstair_runtime::window::{Bell, Slot, Window};
use shuttle::sync::mpsc::channel;
use shuttle::sync::{Arc, Condvar, Mutex};
use std::sync::Arc as Shared;

/// Yields to the other thread at each put and get, as an atomic does.
struct Cell(Mutex<Shared<Snapshot>>);

impl Slot for Cell {
    fn put(&self, view: Shared<Snapshot>) {
        *self.0.lock().unwrap() = view;
    }
    fn get(&self) -> Shared<Snapshot> {
        self.0.lock().unwrap().clone()
    }
}

#[derive(Clone)]
struct Rings(Arc<(Mutex<u64>, Condvar)>);

struct Wait(Rings, u64);

impl Bell for Rings {
    type Wait = Wait;
    fn waiting(&self) -> Wait {
        Wait(self.clone(), *self.0 .0.lock().unwrap())
    }
    fn ring(&self) {
        *self.0 .0.lock().unwrap() += 1;
        self.0 .1.notify_all();
    }
}

impl Wait {
    fn until_rung(self) {
        let (rung, bell) = &*self.0 .0;
        drop(
            bell.wait_while(rung.lock().unwrap(), |n| *n == self.1)
                .unwrap(),
        );
    }
}

enum Command {
    Show,
    Amend(u32),
}

/// A reader that gives up waiting now and then, changes something and looks again; whether it always saw its change.
fn day(show: fn(&Window<Cell, Rings>, Snapshot)) {
    let rings = Rings(Arc::new((Mutex::new(0), Condvar::new())));
    let window = Window::of(Cell(Mutex::new(Shared::default())), rings);
    let window = Arc::new(window);
    let (ask, requested) = channel();
    let (done, reported) = channel();
    let writer = {
        let window = window.clone();
        shuttle::thread::spawn(move || {
            let mut serial = 0;
            while let Ok(requested) = requested.recv() {
                match requested {
                    Command::Show => show(
                        &window,
                        Snapshot {
                            serial,
                            ..Default::default()
                        },
                    ),
                    Command::Amend(n) => {
                        serial = n;
                        done.send(()).unwrap();
                    }
                }
            }
        })
    };
    for n in 1..=3 {
        // Given up: its ring may come in the midst of what follows.
        ask.send(Command::Show).unwrap();
        ask.send(Command::Amend(n)).unwrap();
        reported.recv().unwrap();
        let waiting = window.waiting();
        ask.send(Command::Show).unwrap();
        waiting.until_rung();
        assert_eq!(window.latest().serial, n, "a view of before the change");
    }
    drop(ask);
    writer.join().unwrap();
}

#[test]
fn who_looks_after_a_change_sees_it_in_every_order() {
    shuttle::check_pct(|| day(|w, view| w.show(view)), 3000, 3);
    shuttle::check_random(|| day(|w, view| w.show(view)), 3000);
}

#[test]
#[should_panic(expected = "a view of before the change")]
fn a_bell_that_rings_before_the_view_is_there_is_found_out() {
    fn rash(w: &Window<Cell, Rings>, view: Snapshot) {
        // Rung for the view before this one.
        w.show(Snapshot::clone(&w.latest()));
        w.show(view);
    }
    shuttle::check_random(|| day(rash), 3000);
}

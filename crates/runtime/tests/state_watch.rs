//! Passes snapshots from the gateway's thread to a reader, in many interleavings of the two (shuttle).

use ironstair_data_tree::state::Snapshot;
use ironstair_runtime::state_watch::{Notifier, SnapshotCell, StateWatch};
use shuttle::sync::mpsc::channel;
use shuttle::sync::{Arc, Condvar, Mutex};
use std::sync::Arc as StdArc;

type TestWatch = StateWatch<LockedCell, CountingNotifier>;

/// A cell whose lock lets the scheduler switch threads at each store and load, as at an atomic operation.
struct LockedCell(Mutex<StdArc<Snapshot>>);

impl SnapshotCell for LockedCell {
    fn store(&self, snapshot: StdArc<Snapshot>) {
        *self.0.lock().unwrap() = snapshot;
    }
    fn load(&self) -> StdArc<Snapshot> {
        self.0.lock().unwrap().clone()
    }
}

#[derive(Clone)]
struct CountingNotifier(Arc<(Mutex<u64>, Condvar)>);

struct Listener {
    notifier: CountingNotifier,
    count_at_start: u64,
}

impl Notifier for CountingNotifier {
    type Listener = Listener;
    fn listen(&self) -> Listener {
        Listener {
            notifier: self.clone(),
            count_at_start: *self.0 .0.lock().unwrap(),
        }
    }
    fn notify_all(&self) {
        *self.0 .0.lock().unwrap() += 1;
        self.0 .1.notify_all();
    }
}

impl Listener {
    fn wait(self) {
        let (count, changed) = &*self.notifier.0;
        let unchanged = |count: &mut u64| *count == self.count_at_start;
        drop(
            changed
                .wait_while(count.lock().unwrap(), unchanged)
                .unwrap(),
        );
    }
}

enum Command {
    Publish,
    SetSerial(u32),
}

/// Runs a writer thread and a reader that requests a snapshot, does not wait for it, changes the serial and reads again.
/// The reader must always see its own change.
fn run_reader_and_writer(publish: fn(&TestWatch, Snapshot)) {
    let notifier = CountingNotifier(Arc::new((Mutex::new(0), Condvar::new())));
    let watch = StateWatch::new(LockedCell(Mutex::new(StdArc::default())), notifier);
    let watch = Arc::new(watch);
    let (commands, received_commands) = channel();
    let (done, changes_done) = channel();
    let writer = {
        let watch = watch.clone();
        shuttle::thread::spawn(move || {
            let mut serial = 0;
            while let Ok(command) = received_commands.recv() {
                match command {
                    Command::Publish => publish(
                        &watch,
                        Snapshot {
                            endpoint_list_serial: serial,
                            ..Default::default()
                        },
                    ),
                    Command::SetSerial(new_serial) => {
                        serial = new_serial;
                        done.send(()).unwrap();
                    }
                }
            }
        })
    };
    for serial in 1..=3 {
        // The reader does not wait for this publication: its notification may arrive at any of the following steps.
        commands.send(Command::Publish).unwrap();
        commands.send(Command::SetSerial(serial)).unwrap();
        changes_done.recv().unwrap();
        let changed = watch.changed();
        commands.send(Command::Publish).unwrap();
        changed.wait();
        assert_eq!(
            watch.current().endpoint_list_serial,
            serial,
            "a snapshot from before the change"
        );
    }
    drop(commands);
    writer.join().unwrap();
}

#[test]
fn reader_sees_its_change_in_every_interleaving() {
    shuttle::check_pct(
        || run_reader_and_writer(|watch, new| watch.publish(new)),
        3000,
        3,
    );
    shuttle::check_random(
        || run_reader_and_writer(|watch, new| watch.publish(new)),
        3000,
    );
}

#[test]
#[should_panic(expected = "a snapshot from before the change")]
fn notification_before_the_store_is_detected() {
    fn publish_too_early(watch: &TestWatch, new: Snapshot) {
        // Publishes the previous snapshot again: a reader that this wakes finds the state from before the change.
        watch.publish(Snapshot::clone(&watch.current()));
        watch.publish(new);
    }
    shuttle::check_random(|| run_reader_and_writer(publish_too_early), 3000);
}

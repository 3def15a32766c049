//! Injects faults into a gateway's process, disk and links, and edits its startup files.

use super::config_files::{edit_json, CONFIG_FILE, OPERATOR_FILE};
use super::process::copy_files;
use super::Cluster;
use crate::invariants::Observation;
use crate::link::{Direction, Link};
use serde_json::Value;
use std::fs;
use std::path::{Path, PathBuf};

/// Which traffic of an isolated gateway is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// Traffic from the gateway to the others.
    Outbound,
    /// Traffic from the others to the gateway.
    Inbound,
    /// Both directions.
    Full,
}

/// A link between two gateways, as seen from the first one.
pub struct LinkBetween<'a> {
    /// Whether the first gateway opens the link's connections.
    pub is_opened_by_first: bool,
    /// The link.
    pub link: &'a Link,
}

impl LinkBetween<'_> {
    fn cut(&self, isolation: Isolation) {
        let (outbound, inbound) = match self.is_opened_by_first {
            true => (Direction::ToTarget, Direction::FromTarget),
            false => (Direction::FromTarget, Direction::ToTarget),
        };
        if isolation != Isolation::Inbound {
            self.link.cut(outbound);
        }
        if isolation != Isolation::Outbound {
            self.link.cut(inbound);
        }
    }
}

impl Cluster {
    /// Starts a gateway's process with the files in its directory.
    ///
    /// # Panics
    ///
    /// If the process can't be started.
    pub fn start(&mut self, gateway: usize) {
        self.gateways[gateway].start();
    }

    /// Kills a gateway's process with SIGKILL.
    pub fn kill(&mut self, gateway: usize) {
        let process = &mut self.gateways[gateway];
        if let Some(mut child) = process.child.take() {
            self.request_log
                .record(Observation::GatewayKilled { gateway });
            // Both fail only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        process.is_paused = false;
    }

    /// Suspends a gateway's process with SIGSTOP.
    ///
    /// # Panics
    ///
    /// If the signal can't be sent.
    pub fn pause(&mut self, gateway: usize) {
        self.gateways[gateway].signal("-STOP");
        self.gateways[gateway].is_paused = true;
    }

    /// Resumes a suspended gateway's process with SIGCONT.
    ///
    /// # Panics
    ///
    /// If the signal can't be sent.
    pub fn resume(&mut self, gateway: usize) {
        self.gateways[gateway].signal("-CONT");
        self.gateways[gateway].is_paused = false;
    }

    /// Terminates a gateway's process with SIGTERM and waits until it exits.
    ///
    /// # Panics
    ///
    /// If the signal can't be sent.
    pub fn terminate(&mut self, gateway: usize) {
        self.gateways[gateway].signal("-TERM");
        if let Some(mut child) = self.gateways[gateway].child.take() {
            // Fails only if the process has already been waited for.
            let _ = child.wait();
        }
    }

    /// The directory of a voter's replica.
    pub fn state_dir(&self, gateway: usize) -> PathBuf {
        self.gateways[gateway].state_dir()
    }

    /// Deletes a voter's replica. The voter's process must not be running.
    pub fn wipe_disk(&self, gateway: usize) {
        // Fails if there is no replica, in which case there is nothing to delete.
        let _ = fs::remove_dir_all(self.state_dir(gateway));
    }

    /// Copies a voter's replica and returns the directory of the copy.
    ///
    /// # Panics
    ///
    /// If a file can't be copied.
    pub fn copy_disk(&self, gateway: usize) -> PathBuf {
        let copy = self.gateways[gateway].dir.join("copy");
        copy_files(&self.state_dir(gateway), &copy);
        copy
    }

    /// Replaces a voter's replica with a copy. The voter's process must not be running.
    ///
    /// # Panics
    ///
    /// If a file can't be copied.
    pub fn restore_disk(&self, gateway: usize, copy: &Path) {
        self.wipe_disk(gateway);
        copy_files(copy, &self.state_dir(gateway));
    }

    /// The links between two gateways. There is one towards each of the two that is a voter.
    pub fn links_between(
        &self,
        first: usize,
        second: usize,
    ) -> impl Iterator<Item = LinkBetween<'_>> {
        let from_first = self.gateways[first].links.get(&second);
        let from_second = self.gateways[second].links.get(&first);
        let from_first = from_first.map(|link| LinkBetween {
            is_opened_by_first: true,
            link,
        });
        let from_second = from_second.map(|link| LinkBetween {
            is_opened_by_first: false,
            link,
        });
        from_first.into_iter().chain(from_second)
    }

    fn links_of(&self, gateway: usize) -> impl Iterator<Item = LinkBetween<'_>> {
        (0..self.size())
            .filter(move |other| *other != gateway)
            .flat_map(move |other| self.links_between(gateway, other))
    }

    /// Holds back traffic between a gateway and all others until [`Cluster::heal_links`].
    pub fn isolate(&self, gateway: usize, isolation: Isolation) {
        self.links_of(gateway)
            .for_each(|between| between.cut(isolation));
    }

    /// Delays the traffic between a gateway and all others, in both directions, by `delay_ms` milliseconds.
    pub fn delay_links(&self, gateway: usize, delay_ms: u64) {
        self.links_of(gateway)
            .for_each(|between| between.link.delay(Direction::Both, delay_ms));
    }

    /// Clears the faults of all links. Traffic that was held back is delivered.
    pub fn heal_links(&self) {
        self.gateways
            .iter()
            .flat_map(|process| process.links.values())
            .for_each(Link::heal);
    }

    /// Edits a gateway's operator file, which takes effect at the next start of the process.
    ///
    /// # Panics
    ///
    /// If the file can't be read or written.
    pub fn edit_operator_file(&self, gateway: usize, edit: impl FnOnce(&mut Value)) {
        edit_json(&self.gateways[gateway].dir.join(OPERATOR_FILE), edit);
    }

    /// Edits a gateway's configuration file and makes its process reload it with SIGHUP.
    ///
    /// # Panics
    ///
    /// If the file can't be read or written, or the signal can't be sent.
    pub fn edit_config_and_reload(&mut self, gateway: usize, edit: impl FnOnce(&mut Value)) {
        edit_json(&self.gateways[gateway].dir.join(CONFIG_FILE), edit);
        self.gateways[gateway].signal("-HUP");
    }
}

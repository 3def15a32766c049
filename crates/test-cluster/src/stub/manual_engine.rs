//! A stub engine whose replies the test sends itself, on any of its connections and in any order.

use super::engine::read_command;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for the arrival of an expected command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// A command that the engine has received.
#[derive(Clone, Debug)]
pub struct ReceivedCommand {
    /// The connection's index, in the order in which the gateway opened them.
    pub connection: usize,
    /// The command's line, without its line ending.
    pub line: String,
}

/// An engine that reads the commands of all its connections and sends nothing by itself.
pub struct ManualEngine {
    /// Where it listens.
    pub address: SocketAddr,
    commands: Receiver<ReceivedCommand>,
    /// Commands that [`ManualEngine::wait_for`] has not returned yet.
    pending: Vec<ReceivedCommand>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl ManualEngine {
    /// Starts the engine.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
    pub fn start() -> ManualEngine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let (sender, commands) = channel();
        let connections = Arc::default();
        let accepted = Arc::clone(&connections);
        thread::spawn(move || accept_connections(&listener, &accepted, &sender));
        ManualEngine {
            address,
            commands,
            pending: Vec::new(),
            connections,
        }
    }

    /// Waits for a command that begins with `prefix`, and returns the first one that was not returned before.
    ///
    /// # Panics
    ///
    /// If there is none, and none arrives within ten seconds.
    pub fn wait_for(&mut self, prefix: &str) -> ReceivedCommand {
        let deadline = Instant::now() + COMMAND_TIMEOUT;
        loop {
            let is_expected = |command: &ReceivedCommand| command.line.starts_with(prefix);
            if let Some(position) = self.pending.iter().position(is_expected) {
                return self.pending.remove(position);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(command) = self.commands.recv_timeout(remaining) else {
                panic!("no command \"{prefix}\", pending: {:?}", self.pending);
            };
            self.pending.push(command);
        }
    }

    /// Whether a command that begins with `prefix` has arrived and was not returned before.
    pub fn has_received(&mut self, prefix: &str) -> bool {
        self.pending.extend(self.commands.try_iter());
        let mut pending = self.pending.iter();
        pending.any(|command| command.line.starts_with(prefix))
    }

    /// Sends bytes on a connection.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub fn send(&self, connection: usize, bytes: &str) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections[connection]
            .write_all(bytes.as_bytes())
            .expect("the connection is open");
    }
}

/// Accepts connections, and starts a thread for each that passes on its commands.
fn accept_connections(
    listener: &TcpListener,
    connections: &Mutex<Vec<TcpStream>>,
    commands: &Sender<ReceivedCommand>,
) {
    for (connection, stream) in listener.incoming().flatten().enumerate() {
        let writer = stream.try_clone().expect("a socket can be duplicated");
        connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(writer);
        let commands = commands.clone();
        thread::spawn(move || pass_on_commands(connection, stream, &commands));
    }
}

fn pass_on_commands(connection: usize, stream: TcpStream, commands: &Sender<ReceivedCommand>) {
    let mut reader = BufReader::new(stream);
    while let Some(command) = read_command(&mut reader) {
        let line = command.line;
        // Fails once the test has dropped the engine.
        if commands.send(ReceivedCommand { connection, line }).is_err() {
            return;
        }
    }
}

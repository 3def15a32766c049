//! Closes a client connection without losing the last response.

use crate::connection_limiter::ConnectionPermit;
use async_io::Async;
use ironstair::Millis;
use ironstair_runtime::wait::timeout;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};

/// How long an ended connection is still read, in ms, so that the last response reaches the client.
pub(super) const LINGER_TIMEOUT: Millis = 300.0;
/// Limit on reads from an ended connection: a client that keeps sending must not hold it open.
const MAX_LINGER_READS: usize = 16;
/// Most bytes that are discarded at once.
const DISCARD_BYTES: usize = 8 * 1024;

/// Closes a client's connection; every connection ends here.
///
/// The system resets a socket that is closed with unread bytes, and the client may lose the last response. Therefore
/// only the sending half is closed at first, and bytes that still arrive are discarded for a limited time. Calls in
/// them are not executed: the client sees the end of the connection and sends those requests again.
pub(super) async fn close(stream: Async<TcpStream>, permit: ConnectionPermit) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let Some(_linger_permit) = permit.linger() else {
        return;
    };
    // The result does not matter: the socket is closed after an error, the limit or the client's close alike.
    let _ = timeout(LINGER_TIMEOUT, discard(&stream)).await;
}

async fn discard(stream: &Async<TcpStream>) -> io::Result<()> {
    for _ in 0..MAX_LINGER_READS {
        stream.readable().await?;
        if discard_once(stream.get_ref())? == 0 {
            break;
        }
    }
    Ok(())
}

fn discard_once(mut stream: &TcpStream) -> io::Result<usize> {
    stream.read(&mut [0; DISCARD_BYTES])
}

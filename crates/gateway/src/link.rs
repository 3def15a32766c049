//! One connection to an engine: two tasks, one for each way, that end with it. The engine's actor owns both.

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ironstair::{Ms, Outcome};
use ironstair_mail::pool::{Chain, Pool, SIZE};
use ironstair_mail::wait::within;
use ironstair_mail::Order;
use ironstair_protocol::lines;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// What is written at once: a line and, behind a forward's, its statement.
pub struct Parcel {
    pub line: Vec<u8>,
    pub statement: Option<Rc<Chain>>,
}

pub async fn carry(
    nth: u64,
    to: SocketAddr,
    most: Ms,
    pool: Rc<Pool>,
    parcels: Receiver<Parcel>,
    engine: Sender<Order>,
) {
    let how = match within(most, Async::<TcpStream>::connect(to)).await {
        Ok(stream) => {
            let _ = stream.get_ref().set_nodelay(true);
            let _ = engine.send(Order::Up(nth)).await;
            let _ = or(hear(nth, &stream, &pool, &engine), say(&stream, &parcels)).await;
            Outcome::Reset
        }
        Err(_) => Outcome::NoConnection,
    };
    let _ = engine.send(Order::Down(nth, how)).await;
}

async fn hear(
    nth: u64,
    stream: &Async<TcpStream>,
    pool: &Rc<Pool>,
    engine: &Sender<Order>,
) -> io::Result<()> {
    loop {
        stream.readable().await?;
        let mut buffer = pool.wait().await;
        let n = (&mut &*stream).read(buffer.space()).await?;
        buffer.filled(n);
        if n == 0 || engine.send(Order::Came(nth, buffer)).await.is_err() {
            return Ok(());
        }
    }
}

async fn say(mut stream: &Async<TcpStream>, parcels: &Receiver<Parcel>) -> io::Result<()> {
    let mut out = Vec::new();
    while let Ok(first) = parcels.recv().await {
        out.clear();
        let mut next = Some(first);
        // What waits goes out together, up to about a buffer's worth.
        while let Some(Parcel { line, statement }) = next {
            out.extend(line);
            if let Some(s) = statement {
                s.0.iter().for_each(|b| out.extend(b.bytes()));
                out.extend(lines::END);
            }
            next = if out.len() < SIZE { parcels.try_recv().ok() } else { None };
        }
        stream.write_all(&out).await?;
    }
    Ok(())
}

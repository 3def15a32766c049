//! Start and drain.

use crate::clock::{span, Clock};
use crate::engine::Shared;
use crate::module::{decide, Event};
use crate::pool::Pool;
use crate::told::Told;
use crate::wait::until;
use crate::{client, list, log};
use async_executor::LocalExecutor;
use async_io::{block_on, Async, Timer};
use async_signal::{Signal, Signals};
use event_listener::Event as Bell;
use futures_lite::future::or;
use futures_lite::StreamExt;
use ironstair::logic::Gateway;
use slog::{info, warn};
use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;

/// After the word to end, clients go on opening connections and sending for up to 0.6 s.
const CLIENTS_COME_FOR: f64 = 700.0;
/// After the word to end, a gateway is left the longest hard limit, but not more than this, and `KILLED_AFTER`.
const AT_MOST: f64 = 3000.0;
const KILLED_AFTER: f64 = 700.0;
/// What writing the last answers may take of that.
const LAST_WORDS: f64 = 200.0;
/// What may lie in the module's mailbox before peers wait.
const MAILBOX: usize = 1024;
/// Without a free descriptor: how long until the next try.
const NO_DESCRIPTOR: f64 = 20.0;

/// How far the end has come, and who is still there.
#[derive(Default)]
pub struct Leaving {
    begun: Cell<bool>,
    closing: Cell<bool>,
    clients: Cell<usize>,
    bell: Bell,
}

impl Leaving {
    pub fn begun(&self) -> bool {
        self.begun.get()
    }

    /// Until connections are to close.
    pub async fn closing(&self) {
        self.until(|| self.closing.get()).await;
    }

    async fn until(&self, so: impl Fn() -> bool) {
        until(&self.bell, || so().then_some(())).await
    }
}

pub fn serve(told: Told) -> Result<(), String> {
    let (log, _guard) = log::open(&told.name);
    let executor = Rc::new(LocalExecutor::new());
    let (module, events) = async_channel::bounded(MAILBOX);
    let expected = told.mandate.bands.iter().map(|b| b.expected).collect();
    let gateway = Gateway::new(told.mandate, told.seed);
    let shared = Rc::new(Shared {
        clock: Clock::start(),
        // A third: what else there is grows with it, statements joined and answers being written.
        pool: Pool::of((told.memory_mb * 1e6 / 3.0) as usize),
        links_most: (told.descriptors / 64).max(2),
        bands: told.bands,
        expected,
        carriage: told.carriage,
        log: log.clone(),
        module: module.clone(),
        executor: executor.clone(),
    });
    let fault = |what: &str, e: std::io::Error| format!("{what}: {e}");
    block_on(executor.run(async {
        let listener = Async::<TcpListener>::bind(told.listen).map_err(|e| fault("listen", e))?;
        let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(|e| fault("signals", e))?;
        module.try_send(Event::Roster(told.known)).map_err(|e| e.to_string())?;
        executor.spawn(decide(gateway, shared.clone(), events)).detach();
        let follow = list::follow(told.listen.ip(), told.names, told.index, told.rev, module, log.clone());
        let list_log = log.clone();
        let follow = async move {
            if let Err(e) = follow.await {
                warn!(list_log, "the roster can't be followed"; "why" => %e);
            }
        };
        executor.spawn(follow).detach();
        info!(log, "serving"; "on" => told.listen);

        let leaving = Rc::new(Leaving::default());
        // Clients keep to a third of the descriptors; what is beyond waits until one has left.
        let most = (told.descriptors / 2).max(1);
        let accept = async {
            loop {
                leaving.until(|| leaving.clients.get() < most).await;
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let (shared, leaving) = (shared.clone(), leaving.clone());
                        leaving.clients.set(leaving.clients.get() + 1);
                        let task = async move {
                            client::serve(stream, shared, leaving.clone()).await;
                            leaving.clients.set(leaving.clients.get() - 1);
                            leaving.bell.notify(usize::MAX);
                        };
                        executor.spawn(task).detach();
                    }
                    Err(_) => drop(Timer::after(span(NO_DESCRIPTOR)).await),
                }
            }
        };
        let told_to_end = async {
            signals.next().await;
            info!(log, "told to end");
            leaving.begun.set(true);
            let most = shared.carriage.longest.min(AT_MOST) + KILLED_AFTER - LAST_WORDS;
            let _ = shared.module.send(Event::Ending(shared.clock.now() + most)).await;
            Timer::after(span(CLIENTS_COME_FOR)).await;
        };
        or(accept, told_to_end).await;
        drop(listener);
        leaving.closing.set(true);
        leaving.bell.notify(usize::MAX);
        leaving.until(|| leaving.clients.get() == 0).await;
        info!(log, "all is answered");
        Ok(())
    }))
}

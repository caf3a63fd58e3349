//! The operators' thread.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use futures_lite::future;
use log::warn;

use super::context::Context;
use crate::adapters::http;
use crate::adapters::operators::Operators;

/// The most connections of operators.
const MOST_OPEN: usize = 256;

/// The pause after a connection could not be taken.
const PAUSE: Duration = Duration::from_millis(20);

/// Answers operators until the daemon ends.
pub(super) fn run(context: &Context, listener: TcpListener, token: Option<&String>) {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    future::block_on(executor.run(take(context, &executor, listener, token)));
}

async fn take(
    context: &Context,
    executor: &Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    token: Option<&String>,
) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            warn!("cannot listen for operators: {error}");
            return;
        }
    };
    let operators = Operators::new(Arc::clone(&context.board), token.cloned(), Rc::clone(executor));
    let open = Rc::new(std::cell::Cell::new(0_usize));
    loop {
        let Ok((stream, _from)) = listener.accept().await else {
            Timer::after(PAUSE).await;
            continue;
        };
        if open.get() >= MOST_OPEN {
            continue;
        }
        let (context, open) = (context.clone(), Rc::clone(&open));
        let operators = operators.clone();
        open.set(open.get() + 1);
        let serving = async move {
            let board = Arc::clone(&context.board);
            let traffic = context.traffic.clone();
            let memory = context.shared.memory.clone();
            let handle = |request| {
                memory.update_gauges();
                let mut status = board.status();
                status.control_bytes = traffic.total();
                status.stopping = context.stop.is_closed();
                drop(status);
                operators.handle(request)
            };
            // Operators may watch the stop itself, so it does not end them.
            let (_never, stop) = async_channel::bounded(1);
            http::serve(stream, context.server_limits(), (stop, Duration::ZERO), &memory, handle).await;
            open.set(open.get() - 1);
        };
        executor.spawn(serving).detach();
    }
}

//! The operators' thread: serves status, time line and metrics.

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

/// How many connections of operators may be open; further ones are closed at once.
const MAX_CONNECTIONS: usize = 256;

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves operators until the daemon ends.
pub(super) fn run(context: &Context, listener: TcpListener, token: Option<&String>) {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    future::block_on(executor.run(accept(context, &executor, listener, token)));
}

async fn accept(
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
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
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
            // A planned stop leaves these connections open, so that operators can watch it.
            let (_stop_sender, stop) = async_channel::bounded(1);
            http::serve(stream, context.server_limits(), (stop, Duration::ZERO), &memory, handle).await;
            open.set(open.get() - 1);
        };
        executor.spawn(serving).detach();
    }
}

//! A loopback TCP proxy in front of one address, which can delay, reset, stall or refuse
//! connections.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;

use crate::locked::lock;

/// The interval at which held data checks whether the mode lets it pass.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The size of the read buffer in bytes.
const CHUNK: usize = 16 << 10;

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Holds the data of some directions; with `requests` also new connections.
    Silent {
        /// Whether data from callers is held.
        requests: bool,
        /// Whether data from the target is held.
        responses: bool,
    },
    /// Closes new connections at once.
    Refuse,
}

#[derive(Debug)]
struct State {
    mode: LinkMode,
    target: SocketAddr,
    /// Closed and replaced to close all connections.
    alive: (Sender<()>, Receiver<()>),
    /// Closed to stop listening.
    listening: (Sender<()>, Receiver<()>),
}

/// A proxy; it serves until [`Proxy::end`] or the end of the process.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

/// A proxy's listener, as it is passed to the thread that serves it.
#[derive(Debug)]
pub(crate) struct OpenedProxy {
    listener: TcpListener,
    proxy: Proxy,
}

#[derive(Clone, Copy)]
enum Direction {
    ToTarget,
    ToCaller,
}

impl Proxy {
    /// Opens a proxy in front of an address, on the thread that serves all proxies.
    pub fn open(target: SocketAddr, proxy_thread: &Sender<OpenedProxy>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let state = State {
            mode: LinkMode::Pass,
            target,
            alive: async_channel::bounded(1),
            listening: async_channel::bounded(1),
        };
        let proxy = Self { state: Arc::new(Mutex::new(state)), address };
        let opened = OpenedProxy { listener, proxy: proxy.clone() };
        proxy_thread.send_blocking(opened).expect("the proxy thread is running");
        proxy
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how it treats its connections from now on.
    pub fn set(&self, mode: LinkMode) {
        self.lock().mode = mode;
    }

    /// Closes all connections.
    pub fn reset(&self) {
        let mut state = self.lock();
        state.alive.0.close();
        state.alive = async_channel::bounded(1);
    }

    /// Stops listening and closes all connections.
    pub fn end(&self) {
        self.lock().listening.0.close();
        self.reset();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn mode(&self) -> LinkMode {
        self.lock().mode
    }

    async fn serve(self, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
        let listener = Async::new(listener).expect("the listener can be polled");
        let listening = self.lock().listening.1.clone();
        let accepting = async {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    Timer::after(POLL_INTERVAL).await;
                    continue;
                };
                executor.spawn(self.clone().forward(stream)).detach();
            }
        };
        let ended = async {
            let _ = listening.recv().await;
        };
        accepting.or(ended).await;
    }

    async fn forward(self, caller: Async<TcpStream>) {
        if self.mode() == LinkMode::Refuse {
            return;
        }
        let (target, alive) = {
            let state = self.lock();
            (state.target, state.alive.1.clone())
        };
        let forwarding = async {
            self.pause(Direction::ToTarget).await;
            let Ok(upstream) = Async::<TcpStream>::connect(target).await else { return };
            let outbound = self.copy(&caller, &upstream, Direction::ToTarget);
            let inbound = self.copy(&upstream, &caller, Direction::ToCaller);
            futures_lite::future::zip(outbound, inbound).await;
        };
        let ended = async {
            let _ = alive.recv().await;
        };
        forwarding.or(ended).await;
    }

    async fn copy(&self, from: &Async<TcpStream>, to: &Async<TcpStream>, direction: Direction) {
        let (mut reader, mut writer) = (from, to);
        let mut chunk = vec![0; CHUNK];
        while let Ok(count) = reader.read(&mut chunk).await {
            self.pause(direction).await;
            if count == 0 || writer.write_all(&chunk[..count]).await.is_err() {
                break;
            }
        }
        // Passes the end of the stream on to the other side.
        let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
    }

    async fn pause(&self, direction: Direction) {
        loop {
            let held = match (self.mode(), direction) {
                (LinkMode::Delay(time), _) => {
                    Timer::after(time).await;
                    return;
                }
                (LinkMode::Silent { requests, .. }, Direction::ToTarget) => requests,
                (LinkMode::Silent { responses, .. }, Direction::ToCaller) => responses,
                (LinkMode::Pass | LinkMode::Refuse, _) => false,
            };
            if !held {
                return;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

/// Starts the thread that serves all proxies.
pub(crate) fn start() -> Sender<OpenedProxy> {
    let (sender, opened) = async_channel::unbounded::<OpenedProxy>();
    let serve = move || {
        let executor: Rc<LocalExecutor<'static>> = Rc::default();
        let accept = async {
            while let Ok(OpenedProxy { listener, proxy }) = opened.recv().await {
                executor.spawn(proxy.serve(listener, Rc::clone(&executor))).detach();
            }
        };
        async_io::block_on(executor.run(accept));
    };
    std::thread::Builder::new().name("proxies".to_owned()).spawn(serve).expect("a thread can be started");
    sender
}

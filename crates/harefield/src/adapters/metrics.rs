//! Metrics to a `StatsD` address, by cadence.

use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

const PREFIX: &str = "harefield";

/// Sends metrics; they are dropped where no address is set.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates the sender.
    ///
    /// # Errors
    ///
    /// Returns why no socket could be had.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(address) = statsd else {
            return Ok(Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink) });
        };
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        Ok(Self { client: StatsdClient::from_sink(PREFIX, sink) })
    }

    /// Counts `count` of something.
    pub fn count(&self, name: &str, count: u64) {
        drop(self.client.count(name, count));
    }

    /// Reports the present value of something.
    pub fn gauge(&self, name: &str, value: u64) {
        drop(self.client.gauge(name, value));
    }

    /// Reports a time in milliseconds.
    pub fn time(&self, name: &str, millis: u64) {
        drop(self.client.time(name, millis));
    }
}

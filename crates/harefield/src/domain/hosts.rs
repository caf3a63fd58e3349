//! The platform's list of live and leaving hosts.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::feed::Change;
use super::feed::Items;
use super::ids::HostId;

/// The state of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host serves requests.
    Live,
    /// The host is leaving and accepts no new work.
    Leaving,
}

/// The role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// It runs a daemon of this system. Its address is the one on which the daemon accepts peers.
    Harefield,
    /// It runs an upstream.
    Upstream,
}

/// One entry of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostRow {
    /// The role of the host.
    pub role: HostRole,
    /// Whether it is live or leaving.
    pub state: HostState,
    /// Its availability zone.
    #[serde(default)]
    pub zone: String,
}

/// The platform's list of hosts, by address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// The listed rows; rows that cannot be parsed are omitted.
    pub rows: BTreeMap<SocketAddr, HostRow>,
}

impl HostList {
    /// Parses the list from its keyed JSON values, `hosts/IP:PORT`.
    #[must_use]
    pub fn parse(items: &Items) -> Self {
        let mut list = Self::default();
        for (key, value) in items {
            list.put(key, Some(value));
        }
        list
    }

    /// Applies changes. A row that cannot be parsed is removed.
    pub fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            self.put(&change.key, change.value.as_deref());
        }
    }

    fn put(&mut self, key: &str, value: Option<&str>) {
        let Some(address) = key.strip_prefix("hosts/").and_then(|text| text.parse().ok()) else { return };
        let row: Option<HostRow> = value.and_then(|value| serde_json::from_str(value).ok());
        match row {
            Some(row) => self.rows.insert(address, row),
            None => self.rows.remove(&address),
        };
    }

    /// Returns the addresses listed as leaving.
    #[must_use]
    pub fn leaving(&self) -> HashSet<SocketAddr> {
        let rows = self.rows.iter().filter(|(_, row)| row.state == HostState::Leaving);
        rows.map(|(address, _)| *address).collect()
    }

    /// Returns the daemons listed as live.
    #[must_use]
    pub fn daemons(&self) -> Vec<HostId> {
        let live = self
            .rows
            .iter()
            .filter(|(_, row)| row.role == HostRole::Harefield && row.state == HostState::Live);
        live.map(|(address, _)| address.to_string().into()).collect()
    }
}

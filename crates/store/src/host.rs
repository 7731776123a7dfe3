//! Reads the platform's host list.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ByteSize, DomainName, Name};
use buffer::{read_body, BufferOwner, BufferPool};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::rt::TokioIo;
use node::{HostEntry, HostList, HostRole};
use serde::Deserialize;
use tokio::net::TcpStream;

const READ_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LIST_BYTES: usize = 8 << 20;

#[derive(Deserialize)]
struct HostsJson {
    hosts: Vec<HostJson>,
}

#[derive(Deserialize)]
struct HostJson {
    role: RoleJson,
    name: Name,
    domain: DomainName,
    state: StateJson,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RoleJson {
    Entry,
    Target,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum StateJson {
    Live,
    Leaving,
}

impl From<HostJson> for HostEntry {
    fn from(json: HostJson) -> HostEntry {
        let role = match json.role {
            RoleJson::Entry => HostRole::Entry,
            RoleJson::Target => HostRole::Target,
        };
        let leaving = json.state == StateJson::Leaving;
        HostEntry { role, name: json.name, domain: json.domain, leaving }
    }
}

/// Reads the host list. Returns `None` if it can't be read completely.
pub async fn read_hosts(address: SocketAddr) -> Option<HostList> {
    tokio::time::timeout(READ_TIMEOUT, fetch_hosts(address)).await.ok()?
}

async fn fetch_hosts(address: SocketAddr) -> Option<HostList> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let request = Request::get("/hosts")
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let buffers = BufferPool::new(ByteSize(2 * MAX_LIST_BYTES as u64));
    let buffer = buffers.open(BufferOwner::Server(address));
    let body = read_body(response.into_body(), MAX_LIST_BYTES, buffer).await;
    driver.abort();
    let json: HostsJson = serde_json::from_slice(&body.ok()?).ok()?;
    let hosts = json.hosts.into_iter().map(HostEntry::from).collect();
    Some(HostList { hosts })
}

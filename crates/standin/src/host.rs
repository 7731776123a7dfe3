//! Stand-in for the platform's host list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::{json, Value};
use tokio::task::JoinHandle;

use crate::http;

/// Serves the host list at `GET /hosts`.
pub struct HostServer {
    hosts: Arc<Mutex<Vec<Value>>>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl HostServer {
    /// Starts the stand-in on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be opened.
    pub async fn start() -> std::io::Result<HostServer> {
        let hosts: Arc<Mutex<Vec<Value>>> = Arc::default();
        let shared = hosts.clone();
        let (address, task) = http::serve(move |_| {
            let hosts = shared.lock().unwrap_or_else(PoisonError::into_inner).clone();
            async move { Some(http::json(200, &json!({"hosts": hosts}))) }
        })
        .await?;
        Ok(HostServer { hosts, address, task })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds or replaces a host; `role` is `entry` or `target`, `state` is `live` or `leaving`.
    pub fn list(&self, role: &str, name: &str, domain: &str, state: &str) {
        self.remove(name);
        let host = json!({"role": role, "name": name, "domain": domain, "state": state});
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner).push(host);
    }

    /// Removes a host from the list.
    pub fn remove(&self, name: &str) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.retain(|host| host["name"] != name);
    }
}

impl Drop for HostServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

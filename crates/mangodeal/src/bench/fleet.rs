//! A fleet of daemons and stand-ins in this process.

use std::net::SocketAddr;
use std::time::Duration;

use base::SecretKey;
use daemon::{Daemon, Settings};
use serde_json::{json, Value};
use standin::{HostServer, KeyValueServer, TargetOptions, TargetServer};

use crate::client::{change_draft, HttpCall};
use crate::demo::DemoError;

const CREDENTIAL: &str = "bench-operator";
/// Maximum number of objects in one change.
const CHANGE_SIZE: usize = 100;
/// Number of polls, 50 ms apart, after which a wait fails.
const MAX_POLLS: usize = 600;

/// Size and settings of a fleet.
pub(super) struct FleetPlan {
    pub(super) domains: Vec<&'static str>,
    pub(super) daemons_per_domain: usize,
    pub(super) targets_per_domain: usize,
    pub(super) target: TargetOptions,
    pub(super) models: usize,
    pub(super) model_memory: u64,
    /// Lines added to each daemon's settings.
    pub(super) settings: String,
}

/// A running fleet.
pub(super) struct BenchFleet {
    pub(super) daemons: Vec<Daemon>,
    pub(super) targets: Vec<TargetServer>,
    pub(super) key: SecretKey,
    _service: KeyValueServer,
    _hosts: HostServer,
}

impl BenchFleet {
    pub(super) async fn start(plan: FleetPlan) -> Result<BenchFleet, DemoError> {
        let (service, hosts) = (KeyValueServer::start().await?, HostServer::start().await?);
        let (mut daemons, mut targets) = (Vec::new(), Vec::new());
        let key = SecretKey::generate();
        let mut objects = plan.objects(&key);
        for domain in &plan.domains {
            for number in 0..plan.targets_per_domain {
                let target = TargetServer::start(plan.target.clone()).await?;
                objects.push(json!({"kind": "target", "name": format!("{domain}-{number}"),
                    "address": target.address().to_string(), "domain": domain,
                    "memory": plan.target.memory, "fencing": plan.target.fencing,
                    "slots": 10_000}));
                targets.push(target);
            }
            for _ in 0..plan.daemons_per_domain {
                let text = plan.settings(domain, service.address(), hosts.address())?;
                daemons.push(Daemon::start(Settings::parse("bench", &text)?).await?);
            }
        }
        let fleet = BenchFleet { daemons, targets, key, _service: service, _hosts: hosts };
        fleet.configure(&objects).await?;
        Ok(fleet)
    }

    /// Returns the callers' address of a daemon; an index past the last daemon starts over at the first.
    pub(super) fn caller_at(&self, index: usize) -> SocketAddr {
        self.daemons[index % self.daemons.len()].caller_address()
    }

    async fn configure(&self, objects: &[Value]) -> Result<(), DemoError> {
        let operator = self.daemons[0].operator_address();
        self.wait_until("the daemons are ready", || async {
            for daemon in &self.daemons {
                let answer = HttpCall::get(daemon.caller_address(), "/readyz").send().await?;
                if answer.status != 200 {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await?;
        let mut revision = 0;
        for (number, chunk) in objects.chunks(CHANGE_SIZE).enumerate() {
            let draft = change_draft(&format!("bench-{number}"), chunk);
            let call = HttpCall::post(operator, "/v1/changes", draft.to_string());
            let answer = call.bearer(CREDENTIAL).send().await?.json().await?;
            let accepted = answer["revision"].as_u64();
            revision = accepted.ok_or_else(|| DemoError::Unexpected(answer.to_string()))?;
        }
        self.wait_until("the configuration is in force", || async {
            let path = format!("/v1/force?revision={revision}");
            let call = HttpCall::get(operator, path).bearer(CREDENTIAL);
            let answer = call.send().await?.json().await?;
            Ok(answer["in_force"] == true && answer["seats"] == self.daemons.len())
        })
        .await?;
        // A new seat's units take effect only after the longest loan has ended.
        tokio::time::sleep(Duration::from_secs(4)).await;
        Ok(())
    }

    async fn wait_until<F, R>(&self, what: &str, condition: F) -> Result<(), DemoError>
    where
        F: Fn() -> R,
        R: std::future::Future<Output = Result<bool, DemoError>>,
    {
        for _ in 0..MAX_POLLS {
            if condition().await? {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(DemoError::Unexpected(format!("timed out waiting until {what}")))
    }

    pub(super) async fn stop(self) {
        for daemon in self.daemons {
            daemon.shutdown().await;
        }
    }
}

impl FleetPlan {
    fn objects(&self, key: &SecretKey) -> Vec<Value> {
        let mut objects = vec![
            json!({"kind": "team", "name": "bench", "rate": 100_000_000u64,
                   "burst": 100_000_000u64}),
            json!({"kind": "key", "name": "bench", "team": "bench", "hash": key.hash()}),
            json!({"kind": "access", "name": "all", "teams": "", "models": ""}),
            json!({"kind": "placement", "name": "all", "models": "", "targets": "",
                   "copies": self.domains.len()}),
        ];
        objects.extend(
            (0..self.models).map(
                |n| json!({"kind": "model", "name": model_name(n), "memory": self.model_memory}),
            ),
        );
        objects
    }

    fn settings(
        &self,
        domain: &str,
        service: SocketAddr,
        hosts: SocketAddr,
    ) -> Result<String, DemoError> {
        let peer = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let hash = SecretKey::new(CREDENTIAL).hash();
        Ok(format!(
            "[daemon]\ndomain = {domain}\ndomains = {}\ncaller_listen = 127.0.0.1:0\n\
             operator_listen = 127.0.0.1:0\npeer_listen = {peer}\n\
             [platform]\nservice = {service}\nhosts = {hosts}\n[operators]\nbench = {hash}\n\
             [requests]\ndrain_delay = 100ms\n{}\n",
            self.domains.join(","),
            self.settings
        ))
    }
}

pub(super) fn model_name(n: usize) -> String {
    format!("model-{n}")
}

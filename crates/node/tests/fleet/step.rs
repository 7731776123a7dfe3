//! The steps of a run, and the checks at its end.

use std::time::Duration;

use super::SimFleet;

/// Number of entry hosts.
pub const HOSTS: usize = 4;

/// One step of a run.
#[derive(Clone, Debug)]
pub enum Step {
    /// Advances the time by this many milliseconds.
    Advance(u64),
    /// Sends a request for a model.
    Request {
        host: usize,
        model: usize,
        cost: u64,
        timeout_ms: u64,
    },
    /// Sends several requests at once, so that the allowance is used up.
    Burst {
        host: usize,
        count: usize,
        cost: u64,
        timeout_ms: u64,
    },
    /// Calls the plain service with an idempotency key, so that the call must not run twice.
    Book {
        host: usize,
        key: u64,
    },
    Kill(usize),
    Start(usize),
    /// Removes a killed host from the platform's host list.
    Unlist(usize),
    Freeze {
        host: usize,
        before_actions: bool,
    },
    Thaw(usize),
    /// Cuts a host off from the key-value service, or reconnects it.
    CutService {
        host: usize,
        cut: bool,
    },
    ServiceDown(bool),
    /// Delays calls to the service by this many milliseconds.
    ServiceDelay(u64),
    /// Loses the answers to the next transactions.
    LoseServiceAnswers(u32),
    /// Loses this percentage of peer messages, and duplicates the same percentage of the others.
    LoseMessages(u32),
    /// Delays orders and some peer messages by this many milliseconds.
    DelayMessages(u64),
    /// Loses all peer messages between failure domains, or stops doing so.
    PartitionDomains(bool),
    /// Loses the answers to the next orders to a target.
    LoseOrderAnswers {
        target: usize,
        count: u32,
    },
    /// Delays a target's answers to orders by this many milliseconds.
    DelayOrders {
        target: usize,
        millis: u64,
    },
    RestartTarget(usize),
    /// Marks a target as leaving, or no longer so, in the platform's host list.
    Leave {
        target: usize,
        leaving: bool,
    },
    /// Proposes a configuration change; see [`SimFleet::propose`].
    Propose {
        host: usize,
        key: Option<bool>,
    },
}

impl SimFleet {
    /// Runs one step.
    pub fn run_step(&mut self, step: Step) {
        let target = |index: usize| ["helper-east", "helper-west"][index];
        match step {
            Step::Advance(millis) => self.advance(Duration::from_millis(millis)),
            Step::Request { host, model, cost, timeout_ms } => {
                self.request_model(host, model, cost, Duration::from_millis(timeout_ms));
            }
            Step::Burst { host, count, cost, timeout_ms } => {
                self.request_burst(host, count, cost, Duration::from_millis(timeout_ms));
            }
            Step::Book { host, key } => self.request_booking(host, key),
            Step::Kill(host) => self.kill(host),
            Step::Start(host) => self.start(host),
            Step::Unlist(host) => self.unlist(host),
            Step::Freeze { host, before_actions } => self.freeze(host, before_actions),
            Step::Thaw(host) => self.thaw(host),
            Step::CutService { host, cut } => self.hosts[host].is_service_cut = cut,
            Step::ServiceDown(is_down) => self.service.is_down = is_down,
            Step::ServiceDelay(millis) => self.service.delay = Duration::from_millis(millis),
            Step::LoseServiceAnswers(count) => self.service.answers_to_lose += count,
            Step::LoseMessages(percent) => self.loss_percent = percent,
            Step::DelayMessages(millis) => self.extra_delay = Duration::from_millis(millis),
            Step::PartitionDomains(cut) => self.is_partitioned = cut,
            Step::LoseOrderAnswers { target: index, count } => {
                self.targets.get_mut(target(index)).unwrap().answers_to_lose += count;
            }
            Step::DelayOrders { target: index, millis } => {
                self.targets.get_mut(target(index)).unwrap().delay = Duration::from_millis(millis);
            }
            Step::RestartTarget(index) => self.targets.get_mut(target(index)).unwrap().restart(),
            Step::Leave { target: index, leaving } => {
                match leaving {
                    true => self.leaving.insert(target(index).to_owned()),
                    false => self.leaving.remove(target(index)),
                };
            }
            Step::Propose { host, key } => self.propose(host, key),
        }
    }

    /// Ends all faults and checks the invariants that must hold afterwards.
    pub fn finish(&mut self) {
        self.clear_faults();
        self.advance(Duration::from_secs(40));
        self.oracle.check_answers();
        self.oracle.check_allowance();
        self.oracle.check_changes(&self.service.changes());
        let revisions: Vec<u64> = self
            .hosts
            .iter()
            .filter_map(|host| host.node.as_ref())
            .map(|node| node.snapshot().revision().0)
            .collect();
        let last = self.service.changes().len() as u64;
        assert!(
            revisions.iter().all(|r| *r == last),
            "hosts are at revisions {revisions:?} instead of {last}"
        );
        // Without faults, the fleet serves again.
        self.propose(0, Some(true));
        self.advance(Duration::from_secs(8));
        let before = self.oracle.served;
        for host in 0..HOSTS {
            self.request_model(host, 0, 10, Duration::from_secs(20));
        }
        self.advance(Duration::from_secs(25));
        let served = self.oracle.served - before;
        assert_eq!(
            served,
            HOSTS as u64,
            "the fleet does not serve after its faults ended\n{}",
            self.describe()
        );
        self.oracle.check_answers();
    }
}

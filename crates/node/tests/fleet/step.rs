//! The steps of a run, and the checks at its end.

use std::time::Duration;

use super::World;

/// Entry hosts of the fleet.
pub const HOSTS: usize = 4;

/// One step of a run.
#[derive(Clone, Debug)]
pub enum Step {
    Advance(u64),
    Request {
        host: usize,
        model: usize,
        cost: u64,
        patience_ms: u64,
    },
    /// Several requests at once, so that allowances run out.
    Burst {
        host: usize,
        count: usize,
        cost: u64,
        patience_ms: u64,
    },
    Book {
        host: usize,
        key: u64,
    },
    Kill(usize),
    Start(usize),
    Unlist(usize),
    Freeze {
        host: usize,
        before_actions: bool,
    },
    Thaw(usize),
    CutService {
        host: usize,
        cut: bool,
    },
    ServiceDown(bool),
    ServiceDelay(u64),
    LoseAnswers(u32),
    Loss(u32),
    Slow(u64),
    CutDomains(bool),
    LoseOrders {
        target: usize,
        count: u32,
    },
    DelayOrders {
        target: usize,
        millis: u64,
    },
    RestartTarget(usize),
    Leave {
        target: usize,
        leaving: bool,
    },
    Propose {
        host: usize,
        key: Option<bool>,
    },
}

impl World {
    /// Takes one step.
    pub fn take(&mut self, step: Step) {
        let target = |at: usize| ["helper-east", "helper-west"][at];
        match step {
            Step::Advance(millis) => self.advance(Duration::from_millis(millis)),
            Step::Request { host, model, cost, patience_ms } => {
                self.request(host, model, cost, Duration::from_millis(patience_ms));
            }
            Step::Burst { host, count, cost, patience_ms } => {
                self.burst(host, count, cost, Duration::from_millis(patience_ms));
            }
            Step::Book { host, key } => self.book(host, key),
            Step::Kill(host) => self.kill(host),
            Step::Start(host) => self.start(host),
            Step::Unlist(host) => self.unlist(host),
            Step::Freeze { host, before_actions } => self.freeze(host, before_actions),
            Step::Thaw(host) => self.thaw(host),
            Step::CutService { host, cut } => self.hosts[host].service_cut = cut,
            Step::ServiceDown(down) => self.service.down = down,
            Step::ServiceDelay(millis) => self.service.delay = Duration::from_millis(millis),
            Step::LoseAnswers(count) => self.service.lose += count,
            Step::Loss(percent) => self.loss = percent,
            Step::Slow(millis) => self.slow = Duration::from_millis(millis),
            Step::CutDomains(cut) => self.cut_domains = cut,
            Step::LoseOrders { target: at, count } => {
                self.targets.get_mut(target(at)).unwrap().lose += count;
            }
            Step::DelayOrders { target: at, millis } => {
                self.targets.get_mut(target(at)).unwrap().delay = Duration::from_millis(millis);
            }
            Step::RestartTarget(at) => self.targets.get_mut(target(at)).unwrap().restart(),
            Step::Leave { target: at, leaving } => {
                match leaving {
                    true => self.leaving.insert(target(at).to_owned()),
                    false => self.leaving.remove(target(at)),
                };
            }
            Step::Propose { host, key } => self.propose(host, key),
        }
    }

    /// Ends all faults and checks what must hold then.
    pub fn finish(&mut self) {
        self.heal();
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
        assert!(revisions.iter().all(|r| *r == last), "{revisions:?} instead of {last}");
        // The healed fleet serves again.
        self.propose(0, Some(true));
        self.advance(Duration::from_secs(8));
        let before = self.oracle.served;
        for host in 0..HOSTS {
            self.request(host, 0, 10, Duration::from_secs(20));
        }
        self.advance(Duration::from_secs(25));
        let served = self.oracle.served - before;
        assert_eq!(served, HOSTS as u64, "the healed fleet does not serve\n{}", self.describe());
        self.oracle.check_answers();
    }
}

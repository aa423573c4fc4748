//! Credit that a daemon grants in place of a silent coordinator.

#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::declare::RateLimit;
use bramleymount::model::{Instance, Rate, WorkspaceName};
use bramleymount::policy::member::{Incarnation, Member, MemberState, View};
use bramleymount::policy::rate::{CreditQuery, RateTolerance};
use bramleymount::tables::WorkspaceRates;
use rstest::rstest;
use tokio::time::{Instant, advance};

const MEMBERS: usize = 5;
const RATE: f64 = 60.0;
const SHARE: f64 = 6.0;
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// The slack of the default tolerance.
const SLACK: f64 = 10.0;

fn member(number: usize) -> Member {
    let text = format!("10.0.0.{number}:8000@1");
    Member {
        instance: text.parse().expect("an instance"),
        centre: "dc-a".parse().expect("a name"),
        service: "svc".parse().expect("a name"),
        incarnation: Incarnation(1),
        state: MemberState::Serving,
        slots: None,
    }
}

/// The view of a daemon that doesn't coordinate the workspace, and its tables.
struct Daemon {
    view: View,
    rates: WorkspaceRates,
    own: SocketAddr,
    workspace: WorkspaceName,
    coordinator: Instance,
}

impl Daemon {
    fn new() -> Self {
        let workspace: WorkspaceName = "north".parse().expect("a name");
        let of = |own: usize| {
            let mut view = View::new(Instant::now(), member(own));
            view.merge_all(Instant::now(), (1..=MEMBERS).map(member));
            view
        };
        let rates = WorkspaceRates::new(RateTolerance::default());
        let coordinator = rates.ring(&of(1)).coordinator(&workspace);
        let coordinator = coordinator.expect("a coordinator");
        let own = (1..=MEMBERS).find(|own| member(*own).instance != coordinator);
        let view = of(own.expect("another daemon"));
        let daemon = Self {
            own: view.own().instance.address,
            rates: WorkspaceRates::new(RateTolerance::default()),
            view,
            workspace,
            coordinator,
        };
        daemon.rates.ring(&daemon.view);
        daemon
    }

    /// Gives other members a state.
    fn set_state(&mut self, state: MemberState, is_changed: impl Fn(Instance) -> bool) {
        let own = self.own;
        let members: Vec<Member> = self.view.members().cloned().collect();
        let is_other = |member: &Member| member.instance.address != own;
        let changed = members.into_iter().filter(is_other);
        for mut other in changed.filter(|member| is_changed(member.instance)) {
            other.state = state;
            other.incarnation = Incarnation(other.incarnation.0 + 1);
            self.view.merge(Instant::now(), other);
        }
        self.rates.ring(&self.view);
    }

    /// Takes as much credit as there is for a second; the daemon brings a share.
    async fn take(&self) -> f64 {
        let limit = RateLimit {
            rate: Rate::per_second(RATE),
            burst: RATE as u32,
        };
        let mut taken = 0.0;
        for _ in 0..4 {
            advance(QUERY_INTERVAL).await;
            self.rates.ring(&self.view);
            let query = CreditQuery {
                balance: 0.0,
                amount: 10.0 * RATE,
                demand: RATE,
                local_admits: 0.0,
                share: SHARE,
            };
            let grant = self
                .rates
                .grant(&self.workspace, limit, self.own, self.own, query);
            taken += grant.credit;
        }
        taken
    }
}

/// Guards against a daemon that is cut off, or whose coordinator is, and that grants the
/// whole rate beside it.
#[rstest]
#[case::of_the_coordinator(false)]
#[case::of_all_others(true)]
#[tokio::test(start_paused = true)]
async fn grant_after_silence(#[case] all: bool) {
    let mut daemon = Daemon::new();
    let coordinator = daemon.coordinator;
    daemon.set_state(MemberState::Silent, |other| all || other == coordinator);
    let taken = daemon.take().await + daemon.take().await;
    assert!(taken <= 2.0 * SHARE + SLACK, "{taken} taken");
    assert!(taken >= SHARE, "{taken} taken");
}

/// Bounds what that guard costs: a coordinator that leaves is replaced at once.
#[rstest]
#[case::that_has_ended(&[MemberState::Left])]
#[case::that_is_not_heard_again(&[MemberState::Leaving, MemberState::Silent])]
#[tokio::test(start_paused = true)]
async fn grant_after_planned_stop(#[case] states: &[MemberState]) {
    let mut daemon = Daemon::new();
    let coordinator = daemon.coordinator;
    for state in states {
        daemon.set_state(*state, |other| other == coordinator);
    }
    daemon.take().await;
    let taken = daemon.take().await;
    assert!(taken >= 0.9 * RATE, "{taken} taken");
}

/// A silent coordinator that leaves after all, or that stays silent for long, is gone.
#[rstest]
#[case::that_left(true)]
#[case::that_stays_silent(false)]
#[tokio::test(start_paused = true)]
async fn grant_after_silence_has_ended(#[case] leaves: bool) {
    let mut daemon = Daemon::new();
    let coordinator = daemon.coordinator;
    daemon.set_state(MemberState::Silent, |other| other == coordinator);
    daemon.take().await;
    if leaves {
        daemon.set_state(MemberState::Left, |other| other == coordinator);
    } else {
        advance(Duration::from_secs(100)).await;
    }
    daemon.take().await;
    let taken = daemon.take().await;
    assert!(taken >= 0.9 * RATE, "{taken} taken");
}

/// A second silence starts anew: shares of the first are divided elsewhere.
#[tokio::test(start_paused = true)]
async fn grant_after_second_silence() {
    let mut daemon = Daemon::new();
    let coordinator = daemon.coordinator;
    for _ in 0..3 {
        daemon.set_state(MemberState::Silent, |other| other == coordinator);
        let taken = daemon.take().await + daemon.take().await;
        assert!(taken <= 2.0 * SHARE + SLACK, "{taken} taken");
        daemon.set_state(MemberState::Serving, |other| other == coordinator);
        advance(Duration::from_secs(20)).await;
    }
}

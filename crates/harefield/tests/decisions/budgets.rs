//! Strict budgets of extra load, with one budget for each service.

use proptest::prelude::*;

use harefield::domain::routing::Budget;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::FleetSlack;
use harefield::domain::routing::quota;
use harefield::domain::routing::rerun_quota;

use crate::support::cases;

proptest! {
    #![proptest_config(cases(200))]

    /// In any window, a strict budget spends at most its share of the first requests plus its cap.
    #[test]
    fn strict_in_any_window(steps in proptest::collection::vec(0_u8..4, 0..400), cap in 1.0_f64..20.0) {
        let mut budget = Budget::strict(0.2, cap);
        let mut spent = Vec::new();
        let mut first = Vec::new();
        for step in steps {
            first.push(u32::from(step == 0));
            let sent = match step {
                0 => { budget.earn(); false }
                1 => budget.spend_hedge(),
                2 => budget.spend_retry(),
                _ => budget.spend_probe(),
            };
            spent.push(u32::from(sent));
        }
        for from in 0..spent.len() {
            let extra: u32 = spent[from..].iter().sum();
            let needed: u32 = first[from..].iter().sum();
            prop_assert!(f64::from(extra) <= 0.2 * f64::from(needed) + cap + 1e-9);
        }
    }
}

#[test]
fn budgets_by_service() {
    let mut budgets = Budgets::per_service(FleetSlack { share: 0.2, slack: 50.0 }, 10);
    let (one, other) = ("s1/all".into(), "s2/all".into());
    while budgets.for_shard(&one).spend_retry() {}
    assert!(budgets.for_shard(&other).spend_retry(), "a service does not spend the budget of another");
    budgets.set_daemons(50);
    let mut sent = 0;
    for _ in 0..1000 {
        budgets.for_shard(&one).earn();
    }
    while budgets.for_shard(&one).spend_retry() {
        sent += 1;
    }
    assert_eq!(sent, 1, "50 daemons share a slack of 50, of which a part is left for restarts");
}

/// Returns how many retries a service's budget permits once it has accumulated its cap.
fn available(budgets: &mut Budgets, shard: &str) -> u32 {
    let shard = shard.into();
    for _ in 0..1000 {
        budgets.for_shard(&shard).earn();
    }
    let mut sent = 0;
    while budgets.for_shard(&shard).spend_retry() {
        sent += 1;
    }
    sent
}

#[test]
fn members_share_slack() {
    let fleet = FleetSlack { share: 0.2, slack: 160.0 };
    let mut budgets = Budgets::per_service(fleet, 60);
    budgets.set_clients(["s"].into_iter(), 12, 3);
    let member = available(&mut budgets, "s/all");
    assert_eq!(member, 8, "60 % of the slack over 12 members");
    let reruns = rerun_quota(fleet.slack, 12, 3) * 12.0;
    assert!(f64::from(member) * 12.0 + reruns <= fleet.slack, "{reruns} for requests forwarded again");
    budgets.set_clients(["s"].into_iter(), 6, 3);
    assert_eq!(available(&mut budgets, "s/all"), 8, "members that are not visible now may send all the same");
    assert_eq!(available(&mut budgets, "other/all"), 2, "80 % of the slack over all 60 daemons");
}

#[test]
fn quotas_within_slack() {
    // A minimum quota of one request for each daemon exceeded the slack: 584 daemons could send
    // 1,168 requests where 640 are allowed.
    for daemons in [1, 3, 24, 584, 2700, 7154_u32] {
        for slack in [0.0, 0.5, 10.0, 54.0, 640.0] {
            let all = (0..daemons).map(|rank| quota(slack, daemons, rank));
            assert!(all.sum::<f64>() <= slack + 1e-6, "{slack} among {daemons}");
        }
    }
}

#[test]
fn all_budgets_within_slack() {
    // The budgets of all daemons together, including the quotas for requests that are run again.
    let fleet = FleetSlack { share: 0.2, slack: 54.0 };
    for (daemons, sharers) in [(24, 24), (584, 24), (584, 584), (7154, 2700)] {
        let mut total = 0.0;
        for rank in 0..sharers {
            let mut budgets = Budgets::per_service(fleet, daemons);
            budgets.set_clients(["s"].into_iter(), sharers, rank);
            total += f64::from(available(&mut budgets, "s/all")) + rerun_quota(fleet.slack, sharers, rank);
        }
        assert!(total <= fleet.slack, "{total} of {} among {sharers} of {daemons}", fleet.slack);
    }
}

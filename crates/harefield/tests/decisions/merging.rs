//! Merging records, and strict budgets.

use proptest::prelude::*;

use harefield::domain::merge::RECORD_BYTES;
use harefield::domain::merge::greatest;
use harefield::domain::recent::Recent;
use harefield::domain::routing::Budget;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::FleetSlack;

use crate::support::cases;

proptest! {
    #![proptest_config(cases(200))]

    /// The merge is what sorting all records and keeping the first would give.
    #[test]
    fn greatest_kept(bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 0..6), most in 0_usize..12) {
        let mut all: Vec<&[u8]> = bodies.iter().flat_map(|body| body.chunks_exact(RECORD_BYTES)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let expected: Vec<u8> = all.into_iter().take(most).flatten().copied().collect();
        prop_assert_eq!(greatest(bodies.iter().map(|body| &**body), most), expected);
    }

    /// Merging merged parts gives the same as merging all at once.
    #[test]
    fn merge_of_merges(bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 2..6), most in 1_usize..8) {
        let parts: Vec<Vec<u8>> = bodies.chunks(2).map(|some| greatest(some.iter().map(|body| &**body), most)).collect();
        let twice = greatest(parts.iter().map(|body| &**body), most);
        prop_assert_eq!(twice, greatest(bodies.iter().map(|body| &**body), most));
    }

    /// In any window, a strict budget spends less than its share and its most.
    #[test]
    fn strict_in_any_window(steps in proptest::collection::vec(0_u8..4, 0..400), most in 1.0_f64..20.0) {
        let mut budget = Budget::strict(0.2, most);
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
            prop_assert!(f64::from(extra) <= 0.2 * f64::from(needed) + most + 1e-9);
        }
    }
}

#[test]
fn budgets_by_service() {
    let mut budgets = Budgets::by_service(FleetSlack { share: 0.2, slack: 50.0 }, 10);
    let (one, other) = ("s1/all".into(), "s2/all".into());
    while budgets.of(&one).spend_retry() {}
    assert!(budgets.of(&other).spend_retry(), "one service does not spend what is another's");
    budgets.share_with(50);
    let mut sent = 0;
    for _ in 0..1000 {
        budgets.of(&one).earn();
    }
    while budgets.of(&one).spend_retry() {
        sent += 1;
    }
    assert_eq!(sent, 1, "fifty daemons share fifty, and some is kept for those that start");
}

#[test]
fn median_of_recent() {
    let millis = std::time::Duration::from_millis;
    let mut recent = Recent::default();
    assert_eq!(recent.median(), millis(0));
    for time in [2000, 2000, 8000, 2000, 500] {
        recent.take(millis(time));
    }
    assert_eq!(recent.median(), millis(2000), "a patient caller and a late try change nothing");
    for _ in 0..15 {
        recent.take(millis(3000));
    }
    assert_eq!(recent.median(), millis(3000));
}

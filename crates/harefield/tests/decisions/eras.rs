//! Eras of the platform: random histories of writes and restores, checked against a model that
//! knows everything that was ever confirmed.

use proptest::prelude::*;

use crate::eras_world::World;
use crate::eras_world::entry;
use crate::eras_world::step;
use crate::support::cases;
use harefield::domain::feed::Items;
use harefield::domain::resources::ResourceSet;
use harefield::domain::retained::Retained;
use harefield::domain::revision::Revision;

proptest! {
    #![proptest_config(cases(1500))]

    /// In whatever order changes are written, lost and received: no edition goes back, no known
    /// evacuation is missed, and no upstream that left is queried again. Once everybody has written
    /// again, exactly what was confirmed is in force.
    #[test]
    fn nothing_forgotten(steps in proptest::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
            world.check()?;
        }
        world.settle();
        world.check()?;
        let expected = ResourceSet::parse(&world.platform.truth).expect("it is good");
        for daemon in &world.daemons {
            prop_assert_eq!(daemon.config.revision(), Some(world.platform.at()));
            prop_assert_eq!(&**daemon.config.set(), &expected);
        }
    }
}

#[test]
fn read_as_far_knows_better() {
    // A daemon that was paused at revision 40 holds values that were removed by revision 50. A
    // daemon that has read that far accepts none of them, and the paused one gives them up; a
    // daemon that has read less accepts them.
    let held: Items = [
        ("upstreams/u".into(), entry(1, 1, false).into()),
        ("evacuations/z".into(), "{}".into()),
        ("catalogs/operator".into(), r#"{"edition":4}"#.into()),
    ]
    .into();
    let nothing = Items::new();
    let enter = |number, held| Retained::default().enter(2, Revision::new(1, number), held, &nothing);
    let (behind, mut ahead, mut new) = (enter(40, &held), enter(50, &nothing), Retained::empty(2));
    new.merge(&behind, &nothing);
    assert_eq!(new.values, behind.values);
    ahead.merge(&behind, &nothing);
    let kept: Vec<&str> = ahead.values.keys().map(|key| &**key).collect();
    assert_eq!(kept, ["catalogs/operator"], "the highest edition of a catalog stays");
    let mut behind = behind;
    behind.merge(&ahead, &nothing);
    assert_eq!(behind.values, ahead.values);
    assert_eq!(behind.history, ahead.history);
}

//! Eras of the platform, on decisions alone: drawn histories of writes and copies, against a
//! model of what was confirmed that never forgets.

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

    /// Whatever is written, lost and heard in which order: no edition goes back, no evacuation
    /// that is known is missed, nobody that left is asked again, and once all have written
    /// again, everything that was confirmed is in force, and nothing else.
    #[test]
    fn nothing_forgotten(steps in proptest::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in steps {
            world.take(step);
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
    // A daemon that stood still since revision 40 has what was gone by 50: one that has read
    // that far takes none of it, and it gives it up; one that has read less takes it.
    let held: Items = [
        ("upstreams/u".into(), entry(1, 1, false).into()),
        ("evacuations/z".into(), "{}".into()),
        ("catalogs/operator".into(), r#"{"edition":4}"#.into()),
    ]
    .into();
    let nothing = Items::new();
    let enter = |number, held| Retained::default().enter(2, Revision::new(1, number), held, &nothing);
    let (behind, mut ahead, mut started) = (enter(40, &held), enter(50, &nothing), Retained::nothing(2));
    started.join(&behind, &nothing);
    assert_eq!(started.kept, behind.kept);
    ahead.join(&behind, &nothing);
    let kept: Vec<&str> = ahead.kept.keys().map(|key| &**key).collect();
    assert_eq!(kept, ["catalogs/operator"], "of catalogs the highest edition stays");
    let mut behind = behind;
    behind.join(&ahead, &nothing);
    assert_eq!(behind.kept, ahead.kept);
    assert_eq!(behind.context, ahead.context);
}

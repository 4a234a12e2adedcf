//! What the `info` log tells operators of the causes of a bad day.

use tidelatch_standin::World;

#[test]
fn a_controller_that_was_paused_says_so() {
    // Guard: `lease lost` alone did not tell a pause from a cut from the state service.
    let mut world = World::new();
    world.run(3000);
    world.freeze(1);
    world.run(10_000);
    assert!(!world.trace().contains("this process was paused"));
    world.thaw(1);
    world.run(1000);
    let told = world.trace().lines().filter(|l| l.contains("this process was paused"));
    let told: Vec<&str> = told.collect();
    assert_eq!(told.len(), 1, "{}", world.trace());
    assert!(told.iter().all(|l| l.contains("berth-1")), "{told:?}");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

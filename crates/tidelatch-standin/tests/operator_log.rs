//! The `info` log names the causes of faults to operators.

use tidelatch_standin::World;

/// Guards against a lost lease whose cause is not logged: `lease lost` alone did not tell a pause of the process from a
/// disconnection from the state service.
#[test]
fn a_paused_controller_logs_the_pause_once() {
    let mut world = World::new();
    world.run_for(3000);
    world.pause(1);
    world.run_for(10_000);
    assert!(!world.trace().contains("this process was paused"));
    world.resume(1);
    world.run_for(1000);
    let pause_lines = world
        .trace()
        .lines()
        .filter(|line| line.contains("this process was paused"));
    let pause_lines: Vec<&str> = pause_lines.collect();
    assert_eq!(pause_lines.len(), 1, "{}", world.trace());
    assert!(
        pause_lines.iter().all(|line| line.contains("berth-1")),
        "{pause_lines:?}"
    );
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

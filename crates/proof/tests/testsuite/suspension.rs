//! Suspension of a machine: the monotonic clock stops while the wall clock
//! advances, and rights must have expired when the process resumes.

use waxwingusher_proof::fleet::HOSTS;
use waxwingusher_proof::{Action, Fleet};

#[test]
fn loans_end_while_a_machine_is_suspended() {
    for host in 0..HOSTS {
        let mut fleet = Fleet::new(host as u64);
        for action in [
            Action::Load {
                ms: 4_000,
                per_s: 120,
            },
            Action::Pause {
                host,
                is_suspended: true,
            },
            Action::Wait { ms: 14_000 },
            Action::Resume(host),
            Action::Wait { ms: 1_000 },
        ] {
            action.apply(&mut fleet);
        }
        assert_eq!(fleet.oracle.violations(), [], "host {host}");
    }
}

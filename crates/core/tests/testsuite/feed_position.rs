//! Positions of different eras are never compared by revision.

use waxwingusher_core::FeedPosition;

#[test]
fn a_later_era_is_ahead_although_its_revision_is_lower() {
    let before = FeedPosition::new(1, 500);
    let after = FeedPosition::new(2, 480);
    assert!(after > before);
    assert!(!after.covers(before));
    assert!(!before.covers(after));
    assert!(after.covers(FeedPosition::new(2, 480)));
    assert!(!after.covers(FeedPosition::new(2, 481)));
}

#[test]
fn a_position_without_an_era_has_the_wire_form_of_its_revision() {
    assert_eq!(u64::from(FeedPosition::new(0, 77)), 77);
    for position in [FeedPosition::new(0, 0), FeedPosition::new(9, 1 << 40)] {
        assert_eq!(FeedPosition::from(u64::from(position)), position);
    }
}

//! The soak's checker itself: for each promise on versions one history that breaks it
//! and one that just holds, and who is in touch.

mod soak_checks;
mod soak_history;
mod soak_writing;

use rstest::rstest;
use soak_checks::{CONTACT, Promise};
use soak_history::{ProcessChange, Side, StoreState, What, WrittenKind};
use soak_writing::{ENTRY, GATE, Writing};

/// Version 2 is acknowledged at 5 s; a call on its route at some time gets 404.
fn not_found_at(ms: u64, more: impl FnOnce(&mut Writing)) -> Vec<Promise> {
    let mut writing = Writing::new();
    writing.version(5_000, 2, &[1, 2], WrittenKind::Newest);
    writing.call(ms, "/v2/", 404);
    more(&mut writing);
    writing.broken()
}

#[rstest]
#[case::at_the_bound(6_999, vec![])]
#[case::after_it(7_001, vec![Promise::VersionInForce])]
fn a_version_is_in_force_in_time(#[case] ms: u64, #[case] broken: Vec<Promise>) {
    assert_eq!(not_found_at(ms, |_| {}), broken);
}

/// Trouble of the entry that ends or happens `ms` after the beginning.
#[rstest]
#[case::killed(|writing: &mut Writing, ms| { writing.process(ms - 50, ENTRY, ProcessChange::Killed).process(ms, ENTRY, ProcessChange::Started); })]
#[case::held(|writing: &mut Writing, ms| { writing.process(ms - 50, ENTRY, ProcessChange::Held).process(ms, ENTRY, ProcessChange::Continued); })]
#[case::link(|writing: &mut Writing, ms| {
    for (ms, disturbed) in [(ms - 50, true), (ms, false)] {
        writing.at(ms, What::Link { node: ENTRY, side: Side::Store, disturbed });
    }
})]
#[case::store_down(|writing: &mut Writing, ms| {
    writing.at(ms - 50, What::Store(StoreState::Down)).at(ms, What::Store(StoreState::Sound));
})]
#[case::store_unstable(|writing: &mut Writing, ms| {
    writing.at(ms - 50, What::Store(StoreState::RefusesSome)).at(ms, What::Store(StoreState::Sound));
})]
#[case::store_forgot(|writing: &mut Writing, ms| { writing.at(ms, What::Store(StoreState::Forgot)); })]
#[case::machine_slowed(|writing: &mut Writing, ms| { writing.at(ms, What::NotScheduled { micros: 400_000 }); })]
fn trouble_counts_for_the_time_of_contact(#[case] trouble: fn(&mut Writing, u64)) {
    let asked = 8_000;
    let contact = CONTACT.as_millis() as u64;
    let within = not_found_at(asked, |writing| trouble(writing, asked - contact + 1));
    assert_eq!(within, []);
    let before = not_found_at(asked, |writing| trouble(writing, asked - contact - 1));
    assert_eq!(before, [Promise::VersionInForce]);
}

#[test]
fn trouble_of_another_node_excuses_nothing() {
    let broken = not_found_at(8_000, |writing| {
        writing.process(6_000, GATE, ProcessChange::Killed).process(
            6_500,
            GATE,
            ProcessChange::Started,
        );
    });
    assert_eq!(broken, [Promise::VersionInForce]);
}

/// While the store refuses some, a version may take longer, and not for ever.
#[rstest]
#[case::within_the_stretch(11_999, vec![])]
#[case::after_it(12_001, vec![Promise::VersionInForce])]
fn an_unstable_store_stretches_the_bound(#[case] ms: u64, #[case] broken: Vec<Promise>) {
    let found = not_found_at(ms, |writing| {
        writing.at(4_000, What::Store(StoreState::RefusesSome));
    });
    assert_eq!(found, broken);
}

#[test]
fn a_dropped_route_is_not_served_after_the_bound() {
    let served_at = |ms| {
        let mut writing = Writing::new();
        writing.version(5_000, 2, &[2], WrittenKind::Newest);
        writing.call(ms, "/v1/", 200);
        writing.broken()
    };
    assert_eq!(served_at(6_999), []);
    assert_eq!(served_at(7_001), [Promise::VersionInForce]);
}

#[test]
fn a_version_that_an_invalid_document_replaced_at_once_need_not_be_found() {
    let mut writing = Writing::new();
    writing.version(5_000, 2, &[1, 2], WrittenKind::Newest);
    writing.version(5_500, 3, &[], WrittenKind::Invalid);
    writing.call(8_000, "/v2/", 404);
    assert_eq!(writing.broken(), []);
}

/// Version 2 has shown itself, and then version 1 does.
fn older_after_newer(between: impl FnOnce(&mut Writing)) -> Vec<Promise> {
    let mut writing = Writing::new();
    writing.version(1_000, 2, &[1, 2], WrittenKind::Newest);
    writing.call(1_100, "/v2/", 200);
    between(&mut writing);
    writing.call(1_300, "/v2/", 404);
    writing.broken()
}

#[test]
fn no_older_version_within_one_life() {
    assert_eq!(older_after_newer(|_| {}), [Promise::NeverOlder]);
    let another_life = older_after_newer(|writing| {
        writing
            .process(1_150, ENTRY, ProcessChange::Killed)
            .process(1_200, ENTRY, ProcessChange::Started);
    });
    assert_eq!(another_life, []);
}

#[test]
fn a_call_that_was_under_way_tells_nothing_about_older_versions() {
    let mut writing = Writing::new();
    writing.version(1_000, 2, &[1, 2], WrittenKind::Newest);
    writing.call(1_100, "/v2/", 200);
    writing.sent(1_105, "id", "/v2/").answered(1_200, "id", 404);
    assert_eq!(writing.broken(), []);
}

#[test]
fn an_invalid_document_is_not_taken() {
    let mut without_routes = Writing::new();
    without_routes
        .without_routes(1_000, 2)
        .call(1_100, "/look/", 404);
    assert_eq!(without_routes.broken(), [Promise::InvalidNotTaken]);
    let mut marked = Writing::new();
    marked.version(1_000, 2, &[1, 2], WrittenKind::Invalid);
    marked.call(1_100, "/v2/", 200);
    assert_eq!(marked.broken(), [Promise::InvalidNotTaken]);
    let mut after_newer = Writing::new();
    after_newer
        .version(1_000, 2, &[1, 2], WrittenKind::Newest)
        .call(1_100, "/v2/", 200)
        .without_routes(1_200, 3)
        .call(1_300, "/v2/", 404);
    assert_eq!(after_newer.broken(), [Promise::InvalidNotTaken]);
    let mut refused = Writing::new();
    refused.version(1_000, 2, &[1, 2], WrittenKind::Invalid);
    refused.call(1_100, "/v2/", 404).call(1_200, "/look/", 200);
    assert_eq!(refused.broken(), []);
}

#[test]
fn what_every_version_allows_is_not_denied() {
    let answered = |status| {
        let mut writing = Writing::new();
        writing.call(1_000, "/look/", status);
        writing.broken()
    };
    assert_eq!(answered(404), [Promise::NotDenied]);
    assert_eq!(answered(503), []);
}

/// 100 calls each on a first and on an added route, of which some are served.
#[rstest]
#[case::a_quarter(25, vec![])]
#[case::less(24, vec![Promise::AddedRouteServed])]
fn added_routes_are_served(#[case] served: u64, #[case] broken: Vec<Promise>) {
    let mut writing = Writing::new();
    writing.version(1_000, 2, &[1, 2], WrittenKind::Newest);
    for number in 0..100 {
        let ms = 4_000 + number * 10;
        let status = if number < served { 200 } else { 503 };
        writing.call(ms, "/look/", 200).call(ms, "/v2/", status);
    }
    assert_eq!(writing.broken(), broken);
}

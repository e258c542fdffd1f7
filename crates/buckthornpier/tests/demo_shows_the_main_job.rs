//! The demonstration runs to its end and tells of a one-time request that ran once.

mod support;

#[test]
fn demonstration_ends_well_and_shows_each_step() {
    let end = support::expect(0, &["demo"]);
    for step in 1..=6 {
        assert!(end.out.contains(&format!("\n{step}. ")), "{}", end.out);
    }
    assert!(end.out.contains("ledger: ran it 1 times"), "{}", end.out);
    assert!(end.out.contains("ledger: ran it 0 times"), "{}", end.out);
    assert!(end.out.ends_with("Done.\n"), "{}", end.out);
    assert!(!end.out.contains("ran it 2 times"), "{}", end.out);
}

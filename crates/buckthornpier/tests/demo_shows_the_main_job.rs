//! `demo` runs to its end and shows that a one-time request sent twice ran once.

mod support;

#[test]
fn demonstration_succeeds_and_shows_each_step() {
    let output = support::expect(0, &["demo"]);
    for step in 1..=6 {
        assert!(
            output.out.contains(&format!("\n{step}. ")),
            "{}",
            output.out
        );
    }
    assert!(
        output.out.contains("ledger: ran it 1 times"),
        "{}",
        output.out
    );
    assert!(
        output.out.contains("ledger: ran it 0 times"),
        "{}",
        output.out
    );
    assert!(output.out.ends_with("Done.\n"), "{}", output.out);
    assert!(!output.out.contains("ran it 2 times"), "{}", output.out);
}

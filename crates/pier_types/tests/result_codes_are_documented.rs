//! The page of result codes lists every code as the code itself tells it.

#[path = "../examples/result_codes/render.rs"]
mod render;

use std::collections;

use pier_types::codes;

#[test]
fn page_matches_the_codes() {
    let page = include_str!("../../../docs/RESULT-CODES.md");
    assert_eq!(
        page,
        render::render(),
        "write the page anew: its head says how"
    );
}

#[test]
fn numbers_are_unique_and_ascend() {
    let numbers = codes::ResultCode::ALL.iter().map(|code| code.number());
    let numbers = numbers.collect::<Vec<_>>();
    assert!(numbers.is_sorted());
    let unique = numbers.iter().collect::<collections::BTreeSet<_>>();
    assert_eq!(unique.len(), numbers.len());
}

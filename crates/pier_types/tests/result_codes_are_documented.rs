//! The page of result codes matches the codes in the source.

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
        "the page is out of date; regenerate it as its first lines say"
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

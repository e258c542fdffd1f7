//! Checks that the page of the matrix is up to date and names tests that exist.

use std::{fs, path};

use pier_matrix::cells;

fn root() -> &'static path::Path {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn declared_cells() -> cells::DeclaredCells {
    let text = fs::read_to_string(root().join("cells.ini")).unwrap();
    cells::DeclaredCells::parse(&text).unwrap()
}

#[test]
fn the_page_is_in_step_with_the_cases() {
    let red = fs::read_to_string(root().join("../../KNOWN-RED.txt")).unwrap_or_default();
    let states = declared_cells()
        .states(&root().join("cases"), &red)
        .unwrap();
    let wanted = cells::FaultPage::new(states).to_markdown();
    let found = fs::read_to_string(root().join("../../docs/FAULTS.md")).unwrap();
    assert!(
        found == wanted,
        "docs/FAULTS.md is out of date: cargo run -p pier_matrix --example write_fault_page"
    );
}

#[test]
fn every_test_that_proves_a_cell_exists() {
    for proof in declared_cells().tests() {
        let (file, name) = proof.split_once("::").unwrap();
        let path = root().join("..").join(file);
        let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{proof}: {error}"));
        assert!(
            text.contains(&format!("fn {name}(")),
            "{proof} does not exist"
        );
    }
}

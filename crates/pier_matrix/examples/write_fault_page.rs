//! Writes `docs/FAULTS.md` from the case files and `cells.ini`.
//!
//! `cargo run -p pier_matrix --example write_fault_page`

use std::{fs, path};

use pier_matrix::cells;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let declared: cells::DeclaredCells =
        cells::DeclaredCells::parse(&fs::read_to_string(root.join("cells.ini"))?)?;
    let red = fs::read_to_string(root.join("../../KNOWN-RED.txt")).unwrap_or_default();
    let states = declared.states(&root.join("cases"), &red)?;
    let page = cells::FaultPage::new(states).to_markdown();
    fs::write(root.join("../../docs/FAULTS.md"), page)?;
    Ok(())
}

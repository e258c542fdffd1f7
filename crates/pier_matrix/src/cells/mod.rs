//! The rows and columns of the matrix, and the page generated from them.

mod cell_key;
mod cell_state;
mod declared_cells;
mod fault_column;
mod fault_page;
mod promise_row;

pub use cell_key::CellKey;
pub use cell_state::CellState;
pub use declared_cells::DeclaredCells;
pub use fault_column::FaultColumn;
pub use fault_page::FaultPage;
pub use promise_row::PromiseRow;

//! Nodes, fake targets and a fake platform in one process.

mod bench_document;
mod bench_node;
mod bench_target;
mod node_plan;
mod node_view;
mod test_bench;

pub use bench_document::{BEARER_KEY, BenchDocument};
pub use bench_node::BenchNode;
pub use bench_target::BenchTarget;
use node_plan::NodePlan;
pub use node_view::node_view;
pub use test_bench::TestBench;

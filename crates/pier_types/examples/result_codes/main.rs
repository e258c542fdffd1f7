//! Prints `docs/RESULT-CODES.md`.

mod render;

fn main() {
    print!("{}", render::render());
}

//! Measures the slopes of `docs/CAPACITY.md`.

/// Prints the slopes.
pub fn run() {
    println!("no slope is measured yet");
}

//! Slopes for `docs/CAPACITY.md`: each measured at three or more sizes.

mod bytes;
mod cpu;
mod fit;
mod memory;
mod model;
mod sample;

pub use bytes::table as bytes_table;

/// Everything, as the page holds it.
pub fn all() -> String {
    let bytes = bytes::measure();
    let cpu = cpu::measure();
    let memory = memory::measure();
    let mut text = bytes::table();
    text.push('\n');
    text.push_str(&cpu::table(&cpu));
    text.push('\n');
    text.push_str(&memory::table(&memory));
    text.push('\n');
    text.push_str(&model::table(&bytes, &cpu, &memory));
    text
}

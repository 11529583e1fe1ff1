//! Memory of the state, by what the allocator hands out.

use super::bytes::bucket;
use super::cpu;
use super::fit::Line;
use portrack::gateway::{KeyDigest, Organisation, Organisations};
use portrack::node::Input;
use portrack::settings::Book;
use portrack::types::Time;
use portrack::wire::FetchEntry;
use stats_alloc::Region;

/// Bytes of one kind of state, by count.
pub struct Memory {
    /// What is held.
    pub name: &'static str,
    /// Bytes by count.
    pub line: Line,
}

/// Bytes that `make` leaves allocated.
fn held<T>(make: impl FnOnce() -> T) -> f64 {
    let region = Region::new(crate::ALLOCATOR);
    let made = make();
    let change = region.change();
    drop(made);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

fn line(name: &'static str, sizes: &[usize], one: impl Fn(usize) -> f64) -> Memory {
    let points: Vec<_> = sizes.iter().map(|size| (*size as f64, one(*size))).collect();
    Memory { name, line: Line::through(&points) }
}

/// All of them.
pub fn measure() -> Vec<Memory> {
    vec![
        line("member", &[30, 120, 360], |n| held(|| cpu::node(n, 0))),
        line("engine in the view, 16 adapters held", &[60, 240, 960], |n| held(|| cpu::view(n))),
        line("adapter in the settings, one rule", &[1_000, 4_000, 10_000], |n| held(|| book(n))),
        line("pin at an owner", &[100, 400, 1_600], |n| held(|| cpu::owner(n))),
        line("key of an organisation, 20 each", &[1_000, 10_000, 50_000], |n| {
            held(|| organisations(n))
        }),
        line("request that seeks a place", &[100, 400, 1_600], |n| held(|| seeking(n))),
    ]
}

/// Buckets of 40 adapters, as 10,000 adapters make them.
fn book(adapters: usize) -> Book {
    let mut book = Book::default();
    for at in 0..adapters / 40 {
        let (key, value) = (format!("adapters/{at:02x}"), bucket(40));
        book.apply(FetchEntry { key, revision: at as u64 + 1, value });
    }
    book
}

/// Keys of organisations, 20 each.
fn organisations(keys: usize) -> Organisations {
    let mut all = Organisations::default();
    for at in 0..keys / 20 {
        let name = format!("organisation-{at}").into();
        let digests = (0..20).map(|nth| KeyDigest::of(&format!("key-{at}-{nth}")));
        all.add(Organisation { name, priority: None, quota: None, allowed_regions: None }, digests);
    }
    all
}

fn seeking(count: usize) -> portrack::Node {
    let mut node = cpu::node(30, 240);
    for at in 0..count {
        let spec = cpu::spec(at);
        node.on(Time(1_200), Input::Begin { token: portrack::reserve::Token(at as u64), spec });
    }
    node
}

/// The line of a kind.
pub fn find<'a>(all: &'a [Memory], name: &str) -> &'a Line {
    &all.iter().find(|memory| memory.name.starts_with(name)).expect("it is measured").line
}

/// The slopes as a table.
pub fn table(all: &[Memory]) -> String {
    let mut text = String::from(
        "| state | fixed bytes | bytes each | worst fit |\n| --- | --- | --- | --- |\n",
    );
    for memory in all {
        let Line { fixed, slope, worst } = memory.line;
        let worst = worst * 100.0;
        text.push_str(&format!("| {} | {fixed:.0} | {slope:.0} | {worst:.0}% |\n", memory.name));
    }
    text
}

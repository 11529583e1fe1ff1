//! Days that put each kind of trouble at a busy moment, alone, twice and overlapping with others.

mod day;
mod kinds;

use day::Variant;
use std::path::Path;

/// Writes the days of one kind of deployment into a folder, a file each.
///
/// `engines` and `plain` are the services as the site file names them, `class` a kind of request.
pub fn write(folder: &Path, engines: &str, plain: &str, class: &str) -> std::io::Result<usize> {
    std::fs::create_dir_all(folder)?;
    let mut written = 0;
    for kind in kinds::all(engines, plain, class) {
        for variant in Variant::ALL {
            let name = format!("{}-{}", kind.name, variant.name());
            let text = day::day(&name, &kind, variant, written as u64);
            std::fs::write(folder.join(format!("{name}.toml")), text)?;
            written += 1;
        }
    }
    Ok(written)
}

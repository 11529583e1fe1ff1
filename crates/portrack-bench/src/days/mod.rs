//! Days that put each kind of trouble at a busy moment: alone, twice, in series and overlapping with
//! others.

mod day;
mod kinds;
mod organisations;

use day::Variant;
use std::path::Path;

/// Writes the days of one kind of deployment into a folder, a file each.
///
/// `engines` and `plain` are the services as the site file names them, `class` a kind of request. With
/// `organisations`, callers show keys there.
pub fn write(
    folder: &Path,
    engines: &str,
    plain: &str,
    class: &str,
    organisations: bool,
) -> std::io::Result<usize> {
    std::fs::create_dir_all(folder)?;
    let kinds = kinds::all(engines, plain, class);
    let first = kinds.iter().flat_map(|kind| Variant::FIRST.map(|variant| (kind, variant)));
    let series = kinds.iter().map(|kind| (kind, Variant::Series));
    let mut written = 0;
    for (kind, variant) in first.chain(series) {
        let name = format!("{}-{}", kind.name, variant.name());
        let text = day::day(&name, kind, variant, written as u64);
        std::fs::write(folder.join(format!("{name}.toml")), text)?;
        written += 1;
    }
    if organisations {
        for (name, text) in organisations::days(written) {
            std::fs::write(folder.join(format!("{name}.toml")), text)?;
            written += 1;
        }
    }
    Ok(written)
}

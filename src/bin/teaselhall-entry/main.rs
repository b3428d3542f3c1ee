//! The entry process.

fn main() -> std::process::ExitCode {
    teaselhall::process::run("teaselhall-entry", teaselhall::entry::run)
}

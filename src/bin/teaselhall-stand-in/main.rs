//! Stand-in of the platform, for development and tests only.

fn main() -> std::process::ExitCode {
    teaselhall::process::run("teaselhall-stand-in", teaselhall::stand_in::run)
}
